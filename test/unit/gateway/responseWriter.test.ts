/** Responses whose first bytes are held back until others know where their stream began. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { awaitTurns } from '../../../src/common/eventLoop.js';
import { createResponseWriter, type ResponseWriter } from '../../../src/gateway/responseWriter.js';
import { waitFor } from '../../fixtures/deployment.js';
import { measureHeldBytes } from '../../fixtures/heldMemory.js';

/** Turns of the event loop in which bytes that are not held reach a caller on loopback. */
const TURNS_TO_ARRIVE = 50;
/** More than a connection takes without telling its writer to wait. */
const LARGE_EVENT = Buffer.alloc(64 * 1024, 'x');
/** What one read from an endpoint may bring in chunks of one byte. */
const CHUNKS_OF_READ = 2_730;
const RESPONSE_COUNT = 20;
/** Several times what a response passes on before its endpoint has to wait. */
const MAX_HELD_BYTES = 128 * 1024;
const HEAD = { status: 200, headers: ['Content-Type', 'text/event-stream'] };

interface HeldResponse {
  writer: ResponseWriter;
  ready: Promise<void>;
  release(): void;
  drains: number;
}

/** Sends `count` requests on one connection; returns what arrives and the responses to them. */
async function startResponses(context: TestContext, count: number) {
  const held: HeldResponse[] = [];
  const server = createServer((_request, response) => held.push(hold(response)));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n'.repeat(count));
  context.after(() => {
    socket.destroy();
    server.close();
  });
  await waitFor('the requests', () => held.length === count);
  return { held, getText: () => Buffer.concat(chunks).toString() };
}

function hold(response: ServerResponse): HeldResponse {
  let release = (): void => {};
  const ready = new Promise<void>((resolve) => {
    release = resolve;
  });
  const state = { ready, release, drains: 0 };
  const writer = createResponseWriter(
    {
      unread: { watch() {} },
      shouldClose: () => false,
      onDrain() {
        state.drains += 1;
      },
    },
    response,
  );
  return Object.assign(state, { writer });
}

function start({ writer, ready }: HeldResponse): void {
  writer.holdUntil(ready);
  writer.start(HEAD as unknown as Parameters<ResponseWriter['start']>[0]);
}

describe('a response that is held', () => {
  it('reaches the caller when it is released, however large', async (context) => {
    const { held, getText } = await startResponses(context, 1);
    const [first] = held;
    assert.ok(first !== undefined);
    start(first);
    assert.equal(first.writer.write(LARGE_EVENT), false);
    await awaitTurns(TURNS_TO_ARRIVE);
    assert.equal(getText(), '');
    first.release();
    await waitFor('the event', () => getText().includes(LARGE_EVENT.toString()));
    // What the endpoint sends is read again.
    assert.equal(first.drains, 1);
  });

  it('reaches the caller when it ends, and leaves the next one held', async (context) => {
    const { held, getText } = await startResponses(context, 2);
    const [first, second] = held;
    assert.ok(first !== undefined && second !== undefined);
    start(first);
    first.writer.write(Buffer.from('one'));
    first.writer.end();
    await waitFor('the first response', () => getText().includes('one'));
    start(second);
    second.writer.write(Buffer.from('two'));
    first.release();
    await awaitTurns(TURNS_TO_ARRIVE);
    assert.ok(!getText().includes('two'));
    second.release();
    await waitFor('the second response', () => getText().includes('two'));
  });
});

describe('a response in short chunks whose caller does not read', () => {
  // Each chunk was several entries in the queue of the socket, which counted as some bytes.
  it('holds little more than its bytes, and arrives whole', async (context) => {
    const text = 'abcdefghij'.repeat(CHUNKS_OF_READ);
    const responses = await Promise.all(
      Array.from({ length: RESPONSE_COUNT }, () => startResponses(context, 1)),
    );
    const heldBytes = measureHeldBytes(() => {
      for (const { held } of responses) writeShortChunks(held[0], text);
    });
    const ownBytes = heldBytes / RESPONSE_COUNT;
    assert.ok(ownBytes < MAX_HELD_BYTES, `${Math.round(ownBytes / 1_024)} KB each`);
    for (const { held, getText } of responses) {
      held[0]?.writer.end();
      await waitFor('the end', () => getText().endsWith('\r\n0\r\n\r\n'));
      const body = getText().slice(getText().indexOf('\r\n\r\n') + 4);
      assert.equal(decodeChunks(body), text);
    }
  });
});

/** Writes a text in chunks of one byte until the endpoint has to wait, then one more read. */
function writeShortChunks(response: HeldResponse | undefined, text: string): void {
  assert.ok(response !== undefined);
  start(response);
  const { writer } = response;
  let rest = CHUNKS_OF_READ;
  let written = 0;
  let isWritable = true;
  for (const chunk of createChunks(text)) {
    isWritable = writer.write(chunk) && isWritable;
    written += 1;
    if (!isWritable) rest -= 1;
    if (rest === 0) break;
  }
  assert.equal(isWritable, false);
  writer.write(Buffer.from(text.slice(written)));
}

function* createChunks(text: string): Generator<Buffer> {
  const bytes = Buffer.from(text);
  for (let at = 0; at < bytes.length; at += 1) yield bytes.subarray(at, at + 1);
}

/** Decodes a body in chunks. */
function decodeChunks(body: string): string {
  const parts: string[] = [];
  for (let at = 0; ;) {
    const sizeEnd = body.indexOf('\r\n', at);
    const size = Number.parseInt(body.slice(at, sizeEnd), 16);
    if (size === 0) return parts.join('');
    parts.push(body.slice(sizeEnd + 2, sizeEnd + 2 + size));
    at = sizeEnd + 2 + size + 2;
  }
}
