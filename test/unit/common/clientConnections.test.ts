/** Requests within the limits on clients, on connections that send them in unusual ways. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import polka from 'polka';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { readBody, startServer, type RunningServer } from '../../../src/common/httpServer.js';
import { delay, waitFor } from '../../fixtures/deployment.js';
import { getFreePort } from '../../fixtures/ports.js';

const BODY_BYTES = 4 * 1024 * 1024;
const REQUESTS = 1_000;
const MAX_PIPELINED = 8;
const SHORT_TIME_MS = 300;

describe('clients of a server with limits', () => {
  let server: RunningServer | undefined;
  let socket: Socket | undefined;

  afterEach(async () => {
    socket?.destroy();
    await server?.close();
  });

  async function start(
    handle: (request: IncomingMessage, response: ServerResponse) => void,
    clientMemoryMb?: number,
  ) {
    const events: string[] = [];
    const logger = { event: (name: string) => void events.push(name) };
    const memory = createClientMemory({ clientMemoryMb, logger });
    const port = await getFreePort();
    const app = polka().use((request, response) => handle(request, response));
    const clients = { memory, maxPipelinedRequests: MAX_PIPELINED };
    server = await startServer(app, { logger, address: `127.0.0.1:${port}`, clients });
    socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    const client = { socket, received: '', memory, events };
    socket.on('data', (bytes) => {
      client.received += bytes.toString('latin1');
    });
    await once(socket, 'connect');
    return client;
  }

  function createRequests(count: number): string {
    return Array.from(
      { length: count },
      (_unused, index) => `GET /${index} HTTP/1.1\r\nHost: a.example\r\n\r\n`,
    ).join('');
  }

  it('get an answer to a body of 4 MiB in chunks of one byte, which is counted until then', async () => {
    const client = await start((request, response) => {
      void readBody(request, BODY_BYTES).then((body) => response.end(String(body.length)));
    });
    client.socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n');
    client.socket.write(`${'1\r\nx\r\n'.repeat(BODY_BYTES)}0\r\n\r\n`);
    await waitFor('the answer', () => client.received.includes(String(BODY_BYTES)), 60_000);
    assert.deepEqual(client.events, []);
    client.socket.destroy();
    await waitFor('nothing to be held', () => client.memory.total === 0);
  });

  // A body that nobody waits for any more kept the room and the turn of the next ones.
  it('that leave in the middle of a body end its reading', async () => {
    let failures = 0;
    const client = await start((request) => {
      void readBody(request, BODY_BYTES).catch(() => {
        failures += 1;
      });
    });
    client.socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\npart');
    await delay(SHORT_TIME_MS);
    client.socket.destroy();
    await waitFor('the failure', () => failures === 1);
    await waitFor('nothing to be held', () => client.memory.total === 0);
  });

  // A connection that is not read further must not stay so.
  it('get all answers to more pipelined requests than may run, in their order', async () => {
    let running = 0;
    let mostRunning = 0;
    const client = await start((request, response) => {
      running += 1;
      mostRunning = Math.max(mostRunning, running);
      response.once('close', () => {
        running -= 1;
      });
      setImmediate(() => response.end(`path ${request.url};`));
    });
    client.socket.write(createRequests(REQUESTS));
    await waitFor('the answers', () => client.received.includes(`path /${REQUESTS - 1};`));
    const paths = [...client.received.matchAll(/path \/(\d+);/g)].map(([, path]) => Number(path));
    assert.deepEqual(
      paths,
      Array.from({ length: REQUESTS }, (_unused, index) => index),
    );
    assert.ok(mostRunning <= MAX_PIPELINED, `${mostRunning} at once`);
  });

  it('have pipelined requests with bodies read although the limit is reached', async () => {
    const client = await start((request, response) => {
      void readBody(request, BODY_BYTES).then((body) => response.end(`${body.toString()};`));
    });
    for (let index = 0; index < 4 * MAX_PIPELINED; index += 1) {
      client.socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nbo');
      await delay(1);
      client.socket.write('dy2');
    }
    await waitFor(
      'the answers',
      () => client.received.split('body2;').length - 1 === 4 * MAX_PIPELINED,
    );
  });

  it('are closed with one event when their requests exceed the account, and have not run', async () => {
    let started = 0;
    const client = await start(() => {
      started += 1;
    }, 4);
    client.socket.write(createRequests(REQUESTS));
    await once(client.socket, 'close');
    await delay(SHORT_TIME_MS);
    assert.deepEqual(client.events, ['clientClosed']);
    assert.ok(started <= MAX_PIPELINED, `${started} started`);
    assert.equal(client.memory.total, 0);
  });
});
