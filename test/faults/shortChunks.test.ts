/** Sound endpoints that write in short chunks, behind a real gateway, for callers that read slowly. */

import assert from 'node:assert/strict';
import { get, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { splitAddress } from '../../src/common/settings.js';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import {
  startRawPlatformEndpoint,
  type RawPlatformEndpoint,
  type RawRequest,
} from '../fixtures/rawPlatformEndpoint.js';

/** Size of a response: a plain one is passed on as it arrives after 256 KiB. */
const RESPONSE_BYTES = 400 * 1024;
const EVENT_BYTES = 100;
const CHUNK_SIZES = [1, 2, 7, 100, 1_000];
/** Responses of each kind and size at once. */
const CALLERS = 3;
/** Time in which a slow caller reads nothing, at intervals of so many bytes. */
const PAUSE_MS = 20;
const PAUSE_BYTES = 64 * 1024;
const DEADLINE_MS = 30_000;

const body = createBody();

/** Numbered events, which are also the body of plain responses. */
function createBody(): string {
  const events = Array.from({ length: RESPONSE_BYTES / EVENT_BYTES }, (_unused, index) =>
    `id: ${index + 1}\ndata: `.padEnd(EVENT_BYTES - 2, 'x').concat('\n\n'),
  );
  return events.join('');
}

/** Serves `/ROUTE/SIZE` in chunks of that size. */
function serve({ target, callId }: RawRequest, socket: Socket): void {
  const [, , size = '1'] = target.split('/');
  const chunkBytes = Number(size);
  const head = [
    'HTTP/1.1 200 OK',
    'Transfer-Encoding: chunked',
    `Turmericrack-Attempt-Id: ${callId}`,
    'Turmericrack-Response-Signature: 3e1b.07.5a2',
    '\r\n',
  ].join('\r\n');
  const chunks: string[] = [];
  for (let at = 0; at < body.length; at += chunkBytes) {
    const chunk = body.slice(at, at + chunkBytes);
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  socket.write(`${head}${chunks.join('')}0\r\n\r\n`);
}

async function readSlowly(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let pausedAt = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes - pausedAt < PAUSE_BYTES) continue;
    pausedAt = bytes;
    await delay(PAUSE_MS);
  }
  return Buffer.concat(chunks).toString();
}

describe('responses in short chunks', () => {
  let deployment: GatewayDeployment;
  let endpoint: RawPlatformEndpoint;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: 8, workMs: 5 },
    ]);
    const fields = { timeoutMs: DEADLINE_MS };
    const table = addRoutes(createTableBody(1), [
      { name: 'plain', service: 'short', fields },
      { name: 'whole', service: 'short', fields: { ...fields, kind: 'streaming' } },
      {
        name: 'resumable',
        service: 'short',
        fields: { ...fields, kind: 'streaming', resumable: true },
      },
    ]);
    assert.equal(await deployment.declare(table), 200);
    endpoint = await startRawPlatformEndpoint(
      deployment,
      { id: 'short-a', pool: 'short', slots: 100 },
      serve,
    );
    await deployment.waitServing();
  });

  after(async () => {
    endpoint.close();
    await deployment.stop();
  });

  function call(path: string, id: string): Promise<string> {
    const { host, port } = splitAddress(deployment.getGatewayAddress(0));
    const headers = {
      host: 'a.example',
      'turmericrack-attempt-id': id,
      'turmericrack-deadline-ms': String(DEADLINE_MS),
    };
    return new Promise((resolve, reject) => {
      const request = get({ host, port, path, headers, agent: false }, (response) => {
        if (response.statusCode === 200) readSlowly(response).then(resolve, reject);
        else reject(new Error(`status ${response.statusCode}`));
      });
      request.on('error', reject);
    });
  }

  // Guards a sound endpoint against what bounds one in trouble.
  for (const route of ['plain', 'whole', 'resumable']) {
    it(`reach their callers whole and in order: ${route}`, async () => {
      const calls = CHUNK_SIZES.flatMap((size) =>
        Array.from({ length: CALLERS }, (_unused, index) =>
          call(`/${route}/${size}`, `${route}-${size}-${index}`),
        ),
      );
      for (const text of await Promise.all(calls)) assert.ok(text === body, `${text.length} bytes`);
    });
  }
});
