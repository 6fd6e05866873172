/** A sound replica: it announces itself, serves requests and records what it runs. */

import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { delay, getFreePort, HEARTBEAT_MS, send } from './deployment.mjs';

/**
 * Starts a replica. `plan` holds `id`, `service`, `capacity`, `version`, `workMs`, and for streams
 * `stream` with `eventCount` and `intervalMs`.
 */
export async function startReplica(record, controlAddresses, plan) {
  const sockets = new Set();
  /** What ran, by attempt id. */
  const runs = [];
  let { version = 'v1' } = plan;
  const state = 'ready';
  let sequence = 0;
  let bornAt = Date.now();
  let isUp = true;
  let isClosed = false;
  let heartbeatsFrom = 0;
  let next = Math.floor(Math.random() * controlAddresses.length);
  const server = createServer((request, response) => void serve(request, response));
  server.keepAliveTimeout = 30_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await listen(plan.port ?? (await getFreePort()));
  const { port } = server.address();
  const address = `127.0.0.1:${port}`;
  void announceRegularly();

  return {
    id: plan.id,
    address,
    runs,
    get version() {
      return version;
    },
    isReadyAt: () => state === 'ready' && isUp,
    crash,
    restart,
    async close() {
      isClosed = true;
      if (isUp) await crash();
    },
  };

  function listen(listenPort) {
    return new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(listenPort, '127.0.0.1', () => done());
    });
  }

  /** Ends the process of the replica: resets its connections and accepts no new ones. */
  async function crash() {
    isUp = false;
    record.add('replica crashes', { id: plan.id, version });
    const closed = new Promise((done) => {
      server.close(done);
    });
    for (const socket of sockets) socket.resetAndDestroy();
    await closed;
  }

  /** Starts the replica again at its address and under its id; it knows nothing of before. */
  async function restart({ nextVersion = version, firstHeartbeatMs = 0 } = {}) {
    version = nextVersion;
    bornAt = Date.now();
    sequence = 0;
    heartbeatsFrom = performance.now() + firstHeartbeatMs;
    await listen(port);
    isUp = true;
    record.add('replica starts again', { id: plan.id, version });
  }

  async function serve(request, response) {
    const { headers, method, url } = request;
    if (url === '/healthz') {
      response.writeHead(200, { 'Turmericrack-Replica-Id': plan.id });
      response.end();
      return;
    }
    const attemptId = headers['turmericrack-attempt-id'];
    const startedVersion = version;
    request.resume();
    if ((headers['turmericrack-expect-replica'] ?? plan.id) !== plan.id) {
      response.writeHead(421, { 'Turmericrack-Attempt-Id': attemptId });
      response.end();
      return;
    }
    runs.push({
      attemptId,
      at: performance.now(),
      path: url,
      team: headers['turmericrack-tenant'],
    });
    record.add('run begins', { replica: plan.id, version, attempt: attemptId, method, url });
    await delay(plan.workMs ?? 0);
    if (response.destroyed) return;
    response.writeHead(200, {
      'Turmericrack-Attempt-Id': attemptId,
      'Turmericrack-Response-Signature': `signed.${plan.id}.${attemptId}`,
      ...(plan.stream === undefined ? {} : { 'Content-Type': 'text/event-stream' }),
    });
    if (plan.stream === undefined) response.end(`answer to ${attemptId}`);
    else await writeStream(response, Number(headers['last-event-id'] ?? 0), startedVersion);
    record.add('run ends', { replica: plan.id, attempt: attemptId, cut: response.destroyed });
  }

  async function writeStream(response, after, startedVersion) {
    const { eventCount, intervalMs } = plan.stream;
    for (let id = after + 1; id <= eventCount; id += 1) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: ${startedVersion} ${plan.id}\n\n`);
      if (id < eventCount) await delay(intervalMs);
    }
    response.end();
  }

  async function announceRegularly() {
    while (!isClosed) {
      if (isUp && performance.now() >= heartbeatsFrom) {
        await announce();
        await delay(HEARTBEAT_MS);
      } else await delay(20);
    }
  }

  /** Sends a heartbeat to one node after the other, until one acknowledges it. */
  async function announce() {
    sequence += 1;
    const body = JSON.stringify({
      service: plan.service,
      address,
      zone: 'zone-1',
      version,
      capacity: plan.capacity,
      state,
      warmupLeftMs: 0,
      phase: 'unified',
      models: [{ name: 'm', version: 1, loras: [] }],
      seq: sequence,
      born: bornAt,
    });
    for (let tries = 0; tries < controlAddresses.length; tries += 1) {
      const answer = await sendHeartbeat(
        controlAddresses[next % controlAddresses.length],
        plan.id,
        body,
      );
      if (answer.status === 200) {
        record.add('heartbeat', { replica: plan.id, version, state, status: 200 });
        return;
      }
      next += 1;
    }
  }
}

export function sendHeartbeat(address, id, body) {
  const headers = { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) };
  const path = `/turmericrack/replicas/${id}/heartbeat`;
  return send({ address, method: 'POST', path, headers, body });
}
