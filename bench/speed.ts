/**
 * Measures the overhead of an entry and an agent, compared with direct calls to the same fake
 * engine in the same run.
 * Usage: npm run bench:speed
 */

import { once } from 'node:events';
import { Pool } from 'undici';
import { createDeployment, delay, type Deployment } from '../test/fixtures/deployment.js';
import { createBaseTicketToml, createEnginePlan, getTeamKey } from '../test/fixtures/workloads.js';
import {
  createDurationHistogram,
  printResult,
  readCpuUs,
  readResidentMiB,
  type DurationHistogram,
} from './measure.js';

const MEASUREMENT_SECONDS = 8;
const CONCURRENCY = 32;
const STREAM_COUNT = 40;
const STREAM_TOKENS = 1_500;
const WAITING_REQUESTS = 1_000;
const SETTLE_MS = 1_500;

const smallBody = JSON.stringify({
  model: 'instant',
  max_tokens: 4,
  stream: true,
  messages: [{ role: 'user', content: 'Grade this cashew lot' }],
});

function createBody(changes: object): string {
  return JSON.stringify({ ...(JSON.parse(smallBody) as object), ...changes });
}

interface Target {
  pool: Pool;
  headers: Record<string, string>;
}

function createTarget(url: string): Target {
  const headers = {
    authorization: `Bearer ${getTeamKey('sorters')}`,
    'content-type': 'application/json',
    'x-useful-ms': '120000',
  };
  return { pool: new Pool(url, { connections: 128, bodyTimeout: 0, headersTimeout: 0 }), headers };
}

/** Sends one call. Resolves to the time to the first byte of the body, in milliseconds. */
async function send(target: Target, body: string, id: string): Promise<number> {
  const startedAt = performance.now();
  const response = await target.pool.request({
    path: '/v1/chat/completions',
    method: 'POST',
    headers: { ...target.headers, 'x-request-id': id },
    body,
  });
  let firstMs = 0;
  response.body.once('data', () => {
    firstMs = performance.now() - startedAt;
  });
  await once(response.body, 'end');
  if (response.statusCode !== 200) throw new TypeError(`status ${response.statusCode}`);
  return firstMs;
}

let callCount = 0;

function nextId(): string {
  callCount += 1;
  return `bench-${callCount}`;
}

/** Sends calls without a pause, CONCURRENCY at a time. Resolves to the calls per second. */
async function measureThroughput(target: Target): Promise<number> {
  let done = 0;
  const endAt = performance.now() + MEASUREMENT_SECONDS * 1_000;
  const sendUntilEnd = async () => {
    while (performance.now() < endAt) {
      await send(target, smallBody, nextId());
      done += 1;
    }
  };
  const startedAt = performance.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, sendUntilEnd));
  return done / ((performance.now() - startedAt) / 1_000);
}

/** Sends calls at a fixed rate. Resolves to their times to the first byte. */
async function measureFirstByte(target: Target, perSecond: number): Promise<DurationHistogram> {
  const durations = createDurationHistogram();
  const calls: Promise<void>[] = [];
  const total = perSecond * MEASUREMENT_SECONDS;
  const startedAt = performance.now();
  for (let sent = 0; sent < total; sent += 1) {
    const dueAt = startedAt + (sent * 1_000) / perSecond;
    const waitMs = dueAt - performance.now();
    if (waitMs > 1) await delay(waitMs);
    calls.push(send(target, smallBody, nextId()).then((firstMs) => durations.add(firstMs)));
  }
  await Promise.all(calls);
  return durations;
}

async function measureCpuPerEvent(deployment: Deployment, target: Target): Promise<void> {
  const body = createBody({ model: 'kernel-lm', max_tokens: STREAM_TOKENS });
  const roles = ['entry-0', 'engine-b'];
  const before = roles.map((id) => readCpuUs(deployment.getProcess(id).pid));
  const streams = Array.from({ length: STREAM_COUNT }, () => send(target, body, nextId()));
  await Promise.all(streams);
  const events = STREAM_COUNT * STREAM_TOKENS;
  for (const [index, role] of ['entry', 'agent'].entries()) {
    const { pid } = deployment.getProcess(roles[index] ?? '');
    const used = readCpuUs(pid) - (before[index] ?? 0);
    printResult(`${role}_cpu_per_event`, used / events, 'us', 'target under 10');
  }
}

async function measureMemory(deployment: Deployment, target: Target): Promise<void> {
  const ids: [string, string][] = [
    ['entry', 'entry-0'],
    ['agent', 'engine-c'],
    ['keeper', 'keeper-0'],
  ];
  const idle = ids.map(([, id]) => readResidentMiB(deployment.getProcess(id).pid));
  const body = createBody({ model: 'assistant' });
  const calls = Array.from({ length: WAITING_REQUESTS }, () =>
    send(target, body, nextId()).catch(() => 0),
  );
  await delay(SETTLE_MS);
  for (const [index, [role, id]] of ids.entries()) {
    const waiting = readResidentMiB(deployment.getProcess(id).pid);
    printResult(
      `${role}_resident_idle`,
      idle[index] ?? 0,
      'MiB',
      role === 'agent' ? 'target under 64' : undefined,
    );
    printResult(
      `${role}_resident_1000_waiting`,
      waiting,
      'MiB',
      role === 'agent' ? 'target under 64' : undefined,
    );
  }
  await deployment.control('engine-c', { slowdown: 0.001 });
  await Promise.all(calls);
}

const deployment = await createDeployment({
  keepers: 1,
  entries: 1,
  endpoints: [
    createEnginePlan('engine-a', 'instant', { slots: 256, instant: true }),
    createEnginePlan('engine-b', 'kernel-lm', { slots: 64, decodeRate: 150 }),
    createEnginePlan('engine-c', 'assistant-fleet', { slots: 1, decodeRate: 0.2 }),
  ],
});
try {
  await deployment.waitReady();
  await deployment.applyTicket(createBaseTicketToml());
  await deployment.applyTicket(
    'number = 2\n[[pool]]\nname = "instant"\nkind = "engine"\nmodels = ["instant"]\n',
  );
  const viaEntry = createTarget(deployment.entryUrl());
  const direct = createTarget(deployment.endpointUrl('engine-a'));
  await measureMemory(deployment, viaEntry);
  await measureCpuPerEvent(deployment, viaEntry);
  await measureOverhead(deployment, direct, viaEntry);
} finally {
  await deployment.stop();
}

async function measureOverhead(
  running: Deployment,
  direct: Target,
  viaEntry: Target,
): Promise<void> {
  const entryPid = running.getProcess('entry-0').pid;
  const agentPid = running.getProcess('engine-a').pid;
  const directRate = await measureThroughput(direct);
  const before = [readCpuUs(entryPid), readCpuUs(agentPid)];
  const startedAt = performance.now();
  const rate = await measureThroughput(viaEntry);
  const requests = (rate * (performance.now() - startedAt)) / 1_000;
  printResult('entry_requests', rate, 'per_second', `direct ${directRate.toFixed(0)}`);
  printResult('entry_cpu_per_request', (readCpuUs(entryPid) - (before[0] ?? 0)) / requests, 'us');
  printResult('agent_cpu_per_request', (readCpuUs(agentPid) - (before[1] ?? 0)) / requests, 'us');
  const half = Math.round(rate / 2);
  const directTimes = await measureFirstByte(direct, half);
  const times = await measureFirstByte(viaEntry, half);
  for (const percentile of [50, 99]) {
    const added = times.getPercentile(percentile) - directTimes.getPercentile(percentile);
    const target = percentile === 50 ? 2 : 10;
    const comparison = `direct ${directTimes.getPercentile(percentile).toFixed(2)}, target under ${target}`;
    printResult(`added_first_token_p${percentile}_at_${half}_per_second`, added, 'ms', comparison);
  }
}
