/** Stand-in for a replica of a service: its heartbeats, its crashes, and its answers to requests. */

import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { send } from './client.mjs';
import { delay } from './deployment.mjs';

const HEARTBEAT_MS = 1_200;
const RETRY_MS = 200;

/**
 * Starts a replica on a port of `host`. `handle` gets each request other than those of the health
 * path; it may answer it, or crash the replica.
 */
export async function startReplica(options) {
  const { host, service, zone, keepers, capacity, handle, record } = options;
  const sockets = new Set();
  let incarnation;
  let timer;
  let isStopped = false;
  let version = options.version ?? 'v1';
  /** Until then, nothing that the replica sends reaches a machine that serves control. */
  let cutUntil = 0;
  const server = createServer(receive);
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => sockets.delete(socket));
  });
  await listen(0);
  const { port } = server.address();
  const replica = {
    address: `${host}:${port}`,
    get id() {
      return incarnation.id;
    },
    get isUp() {
      return server.listening;
    },
    get version() {
      return version;
    },
    /** Cuts the replica off from control, but not from the machines that send it requests. */
    cutFromControl(forMs) {
      record(`replica ${incarnation.id} is cut off from control for ${forMs} ms`);
      cutUntil = performance.now() + forMs;
    },
    crash,
    stop,
  };
  begin();
  return replica;

  function listen(wanted) {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(wanted, host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  function begin(knownId) {
    const id = knownId ?? `i-${randomBytes(4).toString('hex')}`;
    incarnation = { id, born: Date.now(), seq: 0 };
    record(`replica ${id} starts at ${host}:${port}, version ${version}`);
    void beat(incarnation);
    timer = setInterval(() => void beat(incarnation), HEARTBEAT_MS);
  }

  async function beat(own) {
    if (performance.now() < cutUntil) return;
    own.seq += 1;
    const body = JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone,
      version,
      capacity,
      state: 'ready',
      warmupLeftMs: 0,
      seq: own.seq,
      born: own.born,
    });
    const path = `/turmericrack/replicas/${own.id}/heartbeat`;
    const headers = { 'Content-Type': 'application/json', 'Content-Length': body.length };
    for (const { admin } of keepers) {
      if (isStopped || incarnation !== own || !server.listening) return;
      const { status } = await send(admin, {
        method: 'POST',
        path,
        headers,
        body,
        timeoutMs: 1_000,
      });
      if (own.seq === 1 && status === 200) record(`replica ${own.id} is registered, ${version}`);
      if (status === 200) return;
      await delay(RETRY_MS);
    }
  }

  function receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => answer(request, response, Buffer.concat(chunks)));
  }

  function answer(request, response, body) {
    const { id } = incarnation;
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Turmericrack-Replica-Id': id });
      response.end();
      return;
    }
    const attemptId = request.headers['turmericrack-attempt-id'] ?? '';
    if (request.headers['turmericrack-expect-replica'] !== id) {
      response.writeHead(421, { 'Turmericrack-Attempt-Id': attemptId });
      response.end();
      return;
    }
    handle({ request, response, body, attemptId, id, version, reply, replica });

    function reply(status, text, headers = {}) {
      response.writeHead(status, {
        'Turmericrack-Attempt-Id': attemptId,
        'Turmericrack-Response-Signature': `${id}.${attemptId}`,
        'Content-Length': Buffer.byteLength(text),
        ...headers,
      });
      response.end(text);
    }
  }

  /**
   * Ends the process of the replica: its connections are reset, and it is back after `awayMs`, under
   * a new id or the one that it had.
   */
  function crash(awayMs, next = {}) {
    if (!server.listening) return;
    record(`replica ${incarnation.id} crashes`);
    clearInterval(timer);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
    setTimeout(() => void restart(next), awayMs);
  }

  async function restart({ keepsId = false, nextVersion = version }) {
    if (isStopped) return;
    await listen(port);
    version = nextVersion;
    begin(keepsId ? incarnation.id : undefined);
  }

  function stop() {
    isStopped = true;
    clearInterval(timer);
    server.close();
    for (const socket of sockets) socket.destroy();
  }
}
