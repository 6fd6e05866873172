/**
 * A replica of a service as a process of its own. It announces itself to the keepers, answers
 * requests as its plan says, and appends what it runs to a file, one JSON object a line.
 *
 * Plan: id, service, version, address, zone, slots, control (addresses), recordPath, workMs,
 * events (of a stream; 0 for a plain answer), eventMs, isFramed (whether answers have chunks),
 * crashPart (of prompts), firstBeatAfterMs, slowShare, slowTimes, failShare, failStatus.
 */
import { setImmediate, setTimeout } from 'node:timers';
import { appendFileSync } from 'node:fs';
import { createServer, request as sendRequest } from 'node:http';
import process from 'node:process';

const HEARTBEAT_MS = 1_200;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const plan = JSON.parse(process.argv[2]);
const { id, service, version, address, control } = plan;
const born = Date.now();
let seq = 0;
let state = 'ready';
let active = 0;
let nextKeeper = 0;

function delay(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function record(kind, fields) {
  const line = JSON.stringify({ at: Date.now(), replica: id, version, kind, ...fields });
  appendFileSync(plan.recordPath, `${line}\n`);
}

function post(keeper, path, body) {
  const [host, port] = keeper.split(':');
  return new Promise((resolve) => {
    const request = sendRequest(
      {
        host,
        port,
        path,
        method: 'POST',
        agent: false,
        headers: { 'Content-Type': 'application/json' },
        signal: globalThis.AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode === 200));
        response.on('error', () => resolve(false));
      },
    );
    request.on('error', () => resolve(false));
    request.end(JSON.stringify(body));
  });
}

async function beat() {
  seq += 1;
  const body = {
    service,
    address,
    zone: plan.zone ?? 'zone-a',
    version,
    capacity: plan.slots,
    state,
    warmupLeftMs: 0,
    seq,
    born,
  };
  for (let attempt = 0; attempt < control.length; attempt += 1) {
    const isAcknowledged = await post(
      control[nextKeeper % control.length],
      `/turmericrack/replicas/${id}/heartbeat`,
      body,
    );
    if (isAcknowledged) {
      record('beat', { state, seq });
      return true;
    }
    nextKeeper += 1;
  }
  return false;
}

async function beatRegularly() {
  await delay(plan.firstBeatAfterMs ?? 0);
  while (true) {
    await beat();
    await delay(HEARTBEAT_MS);
  }
}

function createHead(callId) {
  const load = `${active},0,${plan.slots}`;
  return {
    'Turmericrack-Attempt-Id': callId,
    'Turmericrack-Response-Signature': `3e1b.${id}.${version}`,
    'Turmericrack-Replica-Load': load,
    ...(plan.events > 0 ? { 'Content-Type': 'text/event-stream' } : {}),
  };
}

/** Ends the process at once, as a crash does; the kernel closes its connections. */
function crash(callId) {
  record('crash', { call: callId });
  process.kill(process.pid, 'SIGKILL');
}

function crashes(request) {
  const parts = String(request.headers['turmericrack-prefix-hash'] ?? '').split(',');
  return parts.slice(0, -1).some((part) => part.split(':')[0] === plan.crashPart);
}

function getWorkMs() {
  const isSlow = Math.random() < (plan.slowShare ?? 0);
  return { isSlow, workMs: plan.workMs * (isSlow ? plan.slowTimes : 1) };
}

async function serve(request, response) {
  const callId = request.headers['turmericrack-attempt-id'];
  const expected = request.headers['turmericrack-expect-replica'];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { 'Turmericrack-Attempt-Id': callId });
    response.end();
    return;
  }
  for await (const part of request) void part;
  if (active >= plan.slots + (plan.queue ?? 24)) {
    record('shed', { call: callId });
    response.writeHead(503, {
      'Turmericrack-Attempt-Id': callId,
      'Turmericrack-Not-Executed': '1',
    });
    response.end();
    return;
  }
  active += 1;
  response.once('close', () => {
    active -= 1;
  });
  const { isSlow, workMs } = getWorkMs();
  const isFailing = Math.random() < (plan.failShare ?? 0);
  const isCrashing = crashes(request);
  record('run', {
    call: callId,
    path: request.url,
    team: request.headers['turmericrack-tenant'] ?? '',
    after: request.headers['last-event-id'] ?? '',
    isBad: isSlow || isFailing,
    isCrashing,
  });
  await delay(workMs);
  if (response.destroyed) return;
  if (isFailing) {
    response.writeHead(plan.failStatus ?? 500, createHead(callId));
    response.end('failed');
    return;
  }
  const isFramed = plan.isFramed ?? true;
  if (!isFramed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, createHead(callId));
  if (!(plan.events > 0)) {
    response.end(`answer of ${id} to ${callId}`);
    return;
  }
  response.flushHeaders();
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  for (let event = first; event <= plan.events; event += 1) {
    if (response.destroyed) return;
    if (isCrashing) {
      response.write(`id: ${event}\nda`);
      // What has been written is on its way before the process is gone.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      crash(callId);
      return;
    }
    response.write(`id: ${event}\ndata: ${version} ${id}\n\n`);
    await delay(plan.eventMs ?? 20);
  }
  response.end();
}

process.on('message', (message) => {
  if (message.kind === 'drain') {
    state = 'draining';
    void beat();
  }
});
process.on('disconnect', () => process.exit(0));
const server = createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 10_000;
const [host, port] = address.split(':');
server.listen(Number(port), host, () => {
  record('start', { born });
  process.send?.({ kind: 'listening' });
  void beatRegularly();
});
