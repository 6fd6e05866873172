/** A replica of a service: announces itself to the system and serves what `serve` says. */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { callControl } from './operator.mjs';

const HEARTBEAT_MS = 1_200;
const RETRY_MS = 100;

/**
 * Starts a replica. `serve(request, response, body)` answers each request that is meant for it;
 * `runs` lists what began to run.
 */
export async function startReplica(deployment, plan, serve) {
  const { service, capacity = 10, zone = 'zone-a', ip = '127.0.0.1' } = plan;
  const sockets = new Set();
  const replica = {
    id: plan.id,
    version: plan.version ?? 'v1',
    state: 'ready',
    born: Date.now(),
    seq: 0,
    isClosed: false,
    isSilent: false,
    /** Extra fields of each heartbeat. */
    fields: {},
    runs: [],
    address: '',
    beat,
    deregister,
    sockets,
    close,
    crash,
    restart,
  };
  let server = createHttp();
  await listen(0);
  const { port } = server.address();
  replica.address = `${ip}:${port}`;
  void beatRegularly();
  return replica;

  function createHttp() {
    const created = createServer((request, response) => void handle(request, response));
    created.keepAliveTimeout = 20_000;
    created.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => sockets.delete(socket));
    });
    return created;
  }

  function listen(at) {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(at, ip, resolve);
    });
  }

  async function handle(request, response) {
    response.on('error', () => {});
    const id = request.headers['turmericrack-attempt-id'];
    const expected = request.headers['turmericrack-expect-replica'];
    response.setHeader('Turmericrack-Attempt-Id', id ?? '');
    if (expected !== undefined && expected !== replica.id) {
      request.resume();
      response.writeHead(421, { 'Turmericrack-Not-Executed': '1' });
      response.end();
      return;
    }
    const chunks = [];
    request.on('error', () => {});
    request.on('data', (chunk) => chunks.push(chunk));
    request.once('end', () => serve(request, response, Buffer.concat(chunks), replica));
  }

  async function beat() {
    replica.seq += 1;
    const message = {
      service,
      address: replica.address,
      zone,
      version: replica.version,
      capacity,
      state: replica.state,
      warmupLeftMs: 0,
      seq: replica.seq,
      born: replica.born,
      ...replica.fields,
    };
    return send(`/turmericrack/replicas/${replica.id}/heartbeat`, message);
  }

  async function deregister() {
    replica.seq += 1;
    const message = { seq: replica.seq, born: replica.born };
    return send(`/turmericrack/replicas/${replica.id}/deregister`, message);
  }

  /** Calls one control address after the other; returns the one that acknowledged. */
  async function send(path, message) {
    for (const address of deployment.controls) {
      const acknowledgement = await callControl(address, path, message);
      if (acknowledgement?.status === 200) return address;
    }
    return undefined;
  }

  async function beatRegularly() {
    while (!replica.isClosed) {
      const isSent = replica.isSilent || (await beat()) !== undefined;
      await delay(isSent ? HEARTBEAT_MS : RETRY_MS);
    }
  }

  async function crash() {
    replica.isSilent = true;
    const closed = new Promise((resolve) => {
      server.close(resolve);
    });
    for (const socket of sockets) socket.resetAndDestroy();
    await closed;
  }

  async function restart() {
    server = createHttp();
    await listen(port);
    replica.born = Date.now();
    replica.seq = 0;
    replica.isSilent = false;
  }

  async function close() {
    replica.isClosed = true;
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** Answers with success and the signature. */
export function answer(response, body, headers = {}) {
  response.writeHead(200, { 'Turmericrack-Response-Signature': 'sound', ...headers });
  response.end(body);
}
