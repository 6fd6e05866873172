/**
 * Replicas in trouble answer streams with bytes that are no event and do not end, in short chunks,
 * until the gateway closes. Requests of other callers, which a sound service runs, have to be answered.
 */

import { Buffer } from 'node:buffer';
import { readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import {
  createAttemptId,
  encodeRequest,
  openConnection,
  readResponse,
  send,
} from '../lib-4/client.mjs';
import { createDeployment } from '../lib-4/deployment.mjs';
import { configure, createConfiguration, createRoute } from '../lib-4/operator.mjs';
import { isTroubled, runCase } from '../lib-4/record.mjs';
import { answer, startReplica } from '../lib-4/replica.mjs';

/** Memory of the larger edge machine of the sheet. */
const MEMORY_MB = 310;
const REPLICAS = 7;
/** Of 20 answers of the replica in trouble, so many are spoiled (0.45). */
const SPOILED_OF_20 = 9;
/** Callers of streams, one at a time each. */
const STREAM_CALLERS = 63;
const STREAM_DEADLINE_MS = 12_000;
/** Time for which streams are spoiled, as on the sheet. */
const TROUBLE_MS = 6_500;
/** Time after it in which the spoiled streams go on. */
const AFTER_MS = 6_000;
/** Bytes of a chunk. */
const CHUNK_BYTES = 1;
const WRITE_BYTES = 16 * 1_024;
const SOUND_EVENTS = 4;
const EVENT_GAP_MS = 40;
/** Callers of a sound service, on connections that they keep. */
const CALLERS = 8;
/** Work of the first order of each connection, and of those that follow. */
const FIRST_WORK_MS = 50;
const WORK_MS = 10_000;
/** The rule is broken by more than so many requests. */
const MAX_CUT_OFF = 3;
const ORDER_DEADLINE_MS = 15_000;
/** Time in which the callers' orders have been passed on. */
const SETTLE_MS = 500;
const SAMPLE_MS = 250;

await runCase('review/12', async (record, atEnd) => {
  const deployment = await createDeployment({ gateways: 1, memoryMb: MEMORY_MB });
  atEnd(deployment.stop);
  for (const machine of deployment.machines) deployment.start(machine, true);
  const routes = [
    createRoute('explain', { service: 'model', kind: 'streaming', resumable: true }),
    createRoute('order', {
      service: 'app',
      kind: 'non_idempotent',
      timeoutMs: 15_000,
      attempts: 1,
    }),
  ];
  await configure(deployment, createConfiguration(1, routes, [{ name: 'model' }, { name: 'app' }]));
  const times = { startedAt: Number.POSITIVE_INFINITY };
  let spoiled = 0;
  let complete = 0;
  let incomplete = 0;
  const replicas = [];
  for (let index = 0; index < REPLICAS; index += 1) {
    const plan = { id: `i-model-${index}`, service: 'model', capacity: 10 };
    const isInTrouble = isTroubled && index === 0;
    replicas.push(await startReplica(deployment, plan, createStreams(isInTrouble)));
  }
  const passedOn = new Set();
  const app = { id: 'i-app', service: 'app', capacity: 10 };
  replicas.push(await startReplica(deployment, app, serveOrder));
  atEnd(() => Promise.all(replicas.map((replica) => replica.close())));
  await deployment.waitUntilReady();
  await delay(1_500);
  const [gateway] = deployment.list('gateway');

  let isOver = false;
  let peakMb = 0;
  const cutOff = [];
  let answered = 0;
  const sampling = sample();
  const callers = Array.from({ length: CALLERS }, placeOrders);
  await delay(SETTLE_MS);
  times.startedAt = performance.now();
  const streams = Array.from({ length: STREAM_CALLERS }, explain);
  await Promise.race([delay(TROUBLE_MS + AFTER_MS), gateway.exited]);
  isOver = true;
  await Promise.all([sampling, ...streams, ...callers]);
  const seconds = ((performance.now() - times.startedAt) / 1_000).toFixed(1);
  record.note(
    `streams over ${seconds} s: ${complete} complete, ${incomplete} not; ${spoiled} spoiled`,
  );
  record.note(`the gateway took ${peakMb} MB at most`);
  record.note(
    `orders: ${answered} answered; passed on and cut off: ${cutOff.join(', ') || 'none'}`,
  );
  for (const end of gateway.ends) {
    const reason = gateway.output.findLast((line) => line.includes('FATAL')) ?? '';
    record.note(`the gateway ended (${end}) ${reason}`);
  }
  if (cutOff.length > MAX_CUT_OFF) {
    record.breaks(`${cutOff.length} requests passed on to a sound replica ended without an answer`);
  }

  /** Asks for one stream after the other. */
  async function explain() {
    while (!isOver) {
      try {
        const request = {
          path: '/explain/',
          id: createAttemptId(),
          deadlineMs: STREAM_DEADLINE_MS,
        };
        const { status, end } = await send(gateway.http, request);
        if (status === 200 && end === 'complete') complete += 1;
        else incomplete += 1;
      } catch {
        incomplete += 1;
        await delay(SAMPLE_MS);
      }
    }
  }

  /** Serves streams; a part of them is spoiled while the trouble lasts. */
  function createStreams(isInTrouble) {
    let count = 0;
    return (_request, response) => {
      const elapsedMs = performance.now() - times.startedAt;
      const isSpoiled = count % 20 < SPOILED_OF_20 && elapsedMs >= 0 && elapsedMs < TROUBLE_MS;
      count += 1;
      if (!isInTrouble || !isSpoiled) {
        writeEvents(response);
        return;
      }
      spoiled += 1;
      pour(response);
    };
  }

  async function serveOrder(request, response) {
    passedOn.add(request.headers['turmericrack-attempt-id']);
    await delay(request.url === '/order/first' ? FIRST_WORK_MS : WORK_MS);
    if (!response.destroyed) answer(response, 'placed');
  }

  /** Sends one order after the other on one connection until it ends. */
  async function placeOrders() {
    const socket = await openConnection(gateway.http);
    for (let count = 0; !isOver && !socket.destroyed; count += 1) {
      const id = createAttemptId();
      const path = count === 0 ? '/order/first' : '/order/next';
      const response = readResponse(socket);
      socket.write(encodeRequest({ method: 'POST', path, id, deadlineMs: ORDER_DEADLINE_MS }));
      const { status, end } = await response;
      if (end === 'complete') {
        answered += 1;
      } else if (count > 0 && status === undefined && passedOn.has(id)) {
        // The connection counts as kept from its second request on.
        cutOff.push(id);
      }
    }
    socket.destroy();
  }

  async function sample() {
    while (!isOver) {
      peakMb = Math.max(peakMb, readMemoryMb(gateway));
      await delay(SAMPLE_MS);
    }
  }
});

function beginStream(response) {
  response.writeHead(200, {
    'Turmericrack-Response-Signature': 'sound',
    'Content-Type': 'text/event-stream',
  });
  response.flushHeaders();
}

/** Writes chunks that never end an event, as fast as they are read. */
function pour(response) {
  const { socket } = response;
  beginStream(response);
  const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
  const bytes = Buffer.from(chunk.repeat(Math.floor(WRITE_BYTES / chunk.length)));
  write();

  function write() {
    while (!socket.destroyed) {
      if (!socket.write(bytes)) {
        socket.once('drain', write);
        return;
      }
    }
  }
}

async function writeEvents(response) {
  beginStream(response);
  for (let id = 1; id <= SOUND_EVENTS; id += 1) {
    response.write(`id: ${id}\ndata: some tokens\n\n`);
    await delay(EVENT_GAP_MS);
  }
  response.end();
}

/** Memory of a process; 0 if it has ended. */
function readMemoryMb({ child }) {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    return Math.round(Number(/VmRSS:\s*(\d+)/.exec(status)?.[1] ?? 0) / 1_024);
  } catch {
    return 0;
  }
}
