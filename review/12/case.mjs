/**
 * Replicas in trouble answer streams with bytes that are no event and do not end, in short chunks,
 * until the gateway closes. Requests of other callers, which a sound service runs, have to be answered.
 */

import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { createBuyers, orderRoute, orderService } from '../lib-4/buyers.mjs';
import { createAttemptId, send } from '../lib-4/client.mjs';
import { createDeployment } from '../lib-4/deployment.mjs';
import { readMemoryMb } from '../lib-4/memory.mjs';
import { configure, createConfiguration, createRoute } from '../lib-4/operator.mjs';
import { isTroubled, runCase } from '../lib-4/record.mjs';
import { startReplica } from '../lib-4/replica.mjs';

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
/** Callers that place orders, and the work of an order. */
const BUYERS = 8;
const WORK_MS = 10_000;
/** Time in which the long orders have been passed on. */
const SETTLE_MS = 500;
const SAMPLE_MS = 250;

await runCase('review/12', async (record, atEnd) => {
  const deployment = await createDeployment({ gateways: 1, memoryMb: MEMORY_MB });
  atEnd(deployment.stop);
  for (const machine of deployment.machines) deployment.start(machine, true);
  const routes = [
    createRoute('explain', { service: 'model', kind: 'streaming', resumable: true }),
    orderRoute,
  ];
  await configure(deployment, createConfiguration(1, routes, [{ name: 'model' }, orderService]));
  const buyers = createBuyers(WORK_MS);
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
  replicas.push(await buyers.startReplica(deployment));
  atEnd(() => Promise.all(replicas.map((replica) => replica.close())));
  await deployment.waitUntilReady();
  await delay(1_500);
  const [gateway] = deployment.list('gateway');

  let isOver = false;
  let peakMb = 0;
  const sampling = sample();
  const buying = buyers.run(gateway.http, BUYERS);
  await delay(SETTLE_MS);
  times.startedAt = performance.now();
  const streams = Array.from({ length: STREAM_CALLERS }, explain);
  await Promise.race([delay(TROUBLE_MS + AFTER_MS), gateway.exited]);
  isOver = true;
  buyers.stop();
  await Promise.all([sampling, buying, ...streams]);
  const seconds = ((performance.now() - times.startedAt) / 1_000).toFixed(1);
  record.note(
    `streams over ${seconds} s: ${complete} complete, ${incomplete} not; ${spoiled} spoiled`,
  );
  record.note(`the gateway took ${peakMb} MB at most`);
  for (const end of gateway.ends) {
    const reason = gateway.output.findLast((line) => line.includes('FATAL')) ?? '';
    record.note(`the gateway ended (${end}) ${reason}`);
  }
  buyers.judge(record);

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
