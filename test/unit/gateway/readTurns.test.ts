/** How long responses that arrive without a pause hold up everything else. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createReadPacer } from '../../../src/common/readPacer.js';
import {
  createEndpointClient,
  type EndpointClient,
  type EndpointRequest,
} from '../../../src/gateway/endpointClient.js';
import { waitFor } from '../../fixtures/deployment.js';
import { chunkedHead } from '../../fixtures/endlessCases.js';
import { startPouringEndpoint } from '../../fixtures/pouringEndpoint.js';

const RESPONSE_COUNT = 10;
const WRITTEN_BYTES = 16 * 1024 * 1024;
/** The most chunks of one byte that a read of 16 KiB brings. */
const CHUNKS_OF_READ = 2_730;
/** The turn of one response, and the last part of the one before it. */
const MAX_CHUNKS_OF_TURN = 2 * CHUNKS_OF_READ;
const MIN_TURNS = 50;
/** Chunks after which a response is given up, within a read. */
const GIVEN_UP_AFTER = 10_000;

const request: EndpointRequest = {
  method: 'GET',
  target: '/',
  headers: ['Host', 'a.example'],
  body: undefined,
};

interface Observation {
  /** Chunks in this turn of the event loop. */
  chunks: number;
  /** Responses that have not ended. */
  open: number;
}

/** Reads endless responses in chunks; returns the chunks read in each turn of the event loop. */
async function readChunks(chunkBytes: number): Promise<number[]> {
  const piece = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const endpoint = await startPouringEndpoint(chunkedHead, piece, WRITTEN_BYTES);
  const now = (): number => performance.now();
  const client = createEndpointClient(endpoint.address, now, createReadPacer(now));
  const turns: number[] = [];
  const seen = { chunks: 0, open: RESPONSE_COUNT };
  for (let index = 0; index < RESPONSE_COUNT; index += 1) send(client, seen);
  while (seen.open > 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    turns.push(seen.chunks);
    seen.chunks = 0;
  }
  client.close();
  endpoint.close();
  return turns;
}

function send(client: EndpointClient, seen: Observation): void {
  client.send(request, {
    onHead() {},
    onData() {
      seen.chunks += 1;
      return true;
    },
    onEnd: () => assert.fail('the response has no end'),
    onUnsendable: (reason) => assert.fail(reason),
    onFailure() {
      seen.open -= 1;
    },
  });
}

describe('endpoints that send short chunks without a pause', () => {
  // Chunks of one byte were read for 100 ms and more before anything else had its turn.
  for (const chunkBytes of [1, 10]) {
    it(`are read one after the other, a read in a turn: chunks of ${chunkBytes}`, async () => {
      const turns = (await readChunks(chunkBytes)).filter((count) => count > 0);
      assert.ok(turns.length > MIN_TURNS);
      const most = Math.max(...turns);
      assert.ok(most <= MAX_CHUNKS_OF_TURN, `${most} chunks in a turn`);
    });
  }

  it('are closed at once when their response is given up', async () => {
    const endpoint = await startPouringEndpoint(chunkedHead, '1\r\nx\r\n', WRITTEN_BYTES);
    const client = createEndpointClient(endpoint.address, () => performance.now());
    let chunks = 0;
    let chunksAfterAbort = 0;
    const exchange = client.send(request, {
      onHead() {},
      onData() {
        chunks += 1;
        if (chunks > GIVEN_UP_AFTER) chunksAfterAbort += 1;
        else if (chunks === GIVEN_UP_AFTER) exchange.abort();
        return true;
      },
      onEnd: () => assert.fail('the response has no end'),
      onUnsendable: (reason) => assert.fail(reason),
      onFailure: (_wasSent, reason) => assert.fail(reason),
    });
    await waitFor('the endpoint to be closed', () => chunks > 0 && endpoint.answering === 0);
    assert.equal(chunksAfterAbort, 0);
    assert.ok(endpoint.written < WRITTEN_BYTES);
    client.close();
    endpoint.close();
  });
});
