/** Which callers are closed while a gateway holds too much for those that do not read. */

import assert from 'node:assert/strict';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { delay } from '../../../src/common/delay.js';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { createUnreadResponses } from '../../../src/gateway/unreadResponses.js';
import { waitFor } from '../../fixtures/deployment.js';

/** Holds 2 MiB. */
const MEMORY_MB = 32;
/** More than the kernel takes for a caller that does not read. */
const RESPONSE_BYTES = 24 * 1024 * 1024;
/** Holds one response, and not two. */
const MEMORY_OF_ONE_MB = 12 * 30;
const READ_INTERVAL_MS = 100;
const DURATION_MS = 6_000;
/** Shorter than the time without progress after which a caller is closed. */
const SHORT_TIME_MS = 1_000;
const PAUSE_MS = 60_000;

/** A server that ends each response at once, other than those to `/slow`, which never end. */
interface TestServer {
  /** Fields of the logged events. */
  events: Record<string, unknown>[];
  /** Lets the clock pass while nothing runs. */
  pause(milliseconds: number): void;
  /** Sends requests in one write and reads nothing. */
  openCaller(...paths: string[]): Socket;
  isClosed(path: string): boolean;
  stop(): void;
}

async function startTestServer(memoryMb = MEMORY_MB): Promise<TestServer> {
  const events: Record<string, unknown>[] = [];
  const responses = new Map<string, ServerResponse>();
  const callers: Socket[] = [];
  let pausedMs = 0;
  const unread = createUnreadResponses({
    logger: { event: (name, fields) => void events.push({ name, ...fields }) },
    now: () => performance.now() + pausedMs,
    heldBytes: createClientMemory({ memoryMb }).responses,
    onClosed() {},
  });
  const server = createServer((request, response) => {
    responses.set(request.url ?? '', response);
    if (request.url === '/slow') return;
    response.end(Buffer.alloc(RESPONSE_BYTES));
    unread.watch(response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    events,
    pause(milliseconds) {
      pausedMs += milliseconds;
    },
    openCaller(...paths) {
      const socket = connect(port, '127.0.0.1');
      callers.push(socket);
      socket.on('error', () => {});
      socket.pause();
      socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`).join(''));
      return socket;
    },
    isClosed(path) {
      const response = responses.get(path);
      return response !== undefined && unread.wasClosed(response);
    },
    stop() {
      unread.close();
      for (const caller of callers) caller.destroy();
      server.close();
    },
  };
}

describe('callers that do not read', () => {
  let server: TestServer | undefined;

  afterEach(() => server?.stop());

  it('are closed while too much is held, and none that reads a little now and then', async () => {
    server = await startTestServer();
    const { isClosed } = server;
    server.openCaller('/stopped');
    const slow = server.openCaller('/little');
    const timer = setInterval(() => slow.read(), READ_INTERVAL_MS);
    try {
      await delay(DURATION_MS);
      assert.deepEqual([isClosed('/stopped'), isClosed('/little')], [true, false]);
    } finally {
      clearInterval(timer);
    }
  });

  // A pause of the process counted as time in which they had read nothing.
  it('are not closed after a pause of the process, until they have read nothing since', async () => {
    server = await startTestServer();
    const { isClosed } = server;
    server.openCaller('/stopped');
    await delay(SHORT_TIME_MS);
    server.pause(PAUSE_MS);
    await delay(SHORT_TIME_MS);
    assert.equal(isClosed('/stopped'), false);
    await waitFor('its connection to be closed', () => isClosed('/stopped'), DURATION_MS);
  });

  // Each response of a connection that was closed was logged.
  it('are logged once for a connection, however many responses it carries', async () => {
    server = await startTestServer();
    const { events, isClosed } = server;
    server.openCaller('/a', '/b', '/c');
    await waitFor('the connection to be closed', () => isClosed('/a'), DURATION_MS);
    await delay(SHORT_TIME_MS);
    assert.ok(isClosed('/b') && isClosed('/c'));
    assert.equal(events.length, 1, JSON.stringify(events));
    assert.ok(Number(events[0]?.unsentBytes) > 2 * RESPONSE_BYTES);
  });

  // The response that waits behind another one counted as one that its caller does not read.
  it('are closed before one whose responses wait behind a slow one', async () => {
    server = await startTestServer(MEMORY_OF_ONE_MB);
    const { isClosed } = server;
    server.openCaller('/slow', '/behind');
    server.openCaller('/stopped');
    await delay(DURATION_MS);
    assert.deepEqual([isClosed('/stopped'), isClosed('/behind')], [true, false]);
  });
});
