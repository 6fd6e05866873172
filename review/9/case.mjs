/**
 * One part of a prompt crashes each replica that begins to write an answer on it: the first event of
 * the answer is out, then the replica is gone. Requests with that part come again and again, no two
 * alike. Counts how many reach replicas later than `contactMs` after the fifth crash.
 */

import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { runCase } from '../lib-2/caseRun.mjs';
import { createAttemptId, replaceConfiguration, send } from '../lib-2/client.mjs';
import { bounds, delay, startDeployment, waitUntil } from '../lib-2/deployment.mjs';
import { createRecord } from '../lib-2/record.mjs';
import { startReplica } from '../lib-2/replica.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const REPLICA_COUNT = 8;
const CAPACITY = 11;
const AWAY_MS = 3_000;
const EVENT_COUNT = 8;
const EVENT_INTERVAL_MS = 20;
const FIRST_EVENT_MS = 60;
/** Time between the first event of an answer and the crash: the event has left the machine. */
const CRASH_DELAY_MS = 5;
const CRASHING_INTERVAL_MS = 700;
const SOUND_INTERVAL_MS = 100;
const PLAY_MS = 20_000;
const DEADLINE_MS = 8_000;
/** The rule allows three requests later than `contactMs` after the fifth crash. */
const MAX_LATE_REQUESTS = 3;
const COUNTED_CRASHES = 5;

const HOST = 'counter.example';
const KEY = 'key-of-the-shop';
const FIRST_PART = '5c1e07a2:60';
const CRASHING_PART = 'badbad01:240';

const configuration = {
  version: 7,
  routes: [
    {
      name: 'counter-query',
      host: HOST,
      pathPrefix: '/queries/',
      kind: 'streaming',
      timeoutMs: DEADLINE_MS,
      sloMs: 300,
      priority: 1,
      service: 'assistant',
      attempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      itlTargetMs: 300,
    },
  ],
  services: [
    {
      name: 'assistant',
      healthPath: '/healthz',
      maxConns: 370,
      protocol: 'h1',
      tls: false,
      backend: { capacity: CAPACITY, kvCapacity: 444_000, models: [{ name: 'm' }] },
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'shop', apiKeys: [KEY], priority: 1 }],
};

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
let deployment;
const replicas = [];
const crashedAt = [];
const arrivedAt = [];
const sound = { answers: 0 };

await runCase(record, run, cleanUp);

async function cleanUp() {
  for (const replica of replicas) replica.stop();
  await deployment?.stop();
}

async function run() {
  deployment = await startDeployment({ gatewayCount: 2, record });
  const { keepers, gateways } = deployment;
  await replaceConfiguration(keepers, configuration, record, delay);
  for (let index = 0; index < REPLICA_COUNT; index += 1) {
    const zone = `zone-${'abc'[index % 3]}`;
    const options = { host: '127.0.0.1', service: 'assistant', zone, capacity: CAPACITY };
    replicas.push(await startReplica({ ...options, keepers, handle, record }));
  }
  await waitUntil(() => areReady(gateways), 15_000, 'gateways that are ready and serve');
  // All machines are in touch.
  await delay(bounds.contactMs);
  await play(gateways);
  return judge();
}

async function areReady(gateways) {
  for (const gateway of gateways) {
    const { status } = await send(gateway.readiness, { path: '/turmericrack/readyz' });
    if (status !== 200) return false;
    const answer = await sendQuery(gateway, 'a0000000:300');
    if (answer.status !== 200) return false;
  }
  return true;
}

async function play(gateways) {
  const endAt = performance.now() + PLAY_MS;
  const playing = playSound(gateways, endAt);
  for (let turn = 0; performance.now() < endAt; turn += 1) {
    void sendWithPart(gateways[turn % gateways.length]);
    await delay(CRASHING_INTERVAL_MS);
  }
  await playing;
}

async function playSound(gateways, endAt) {
  for (let turn = 0; performance.now() < endAt; turn += 1) {
    void sendQuery(gateways[turn % gateways.length], 'a0000000:300').then(({ status, body }) => {
      if (status === 200 && body.includes(`id: ${EVENT_COUNT}\n`)) sound.answers += 1;
    });
    await delay(SOUND_INTERVAL_MS);
  }
}

async function sendWithPart(gateway) {
  const id = createAttemptId();
  record(`request ${id} with the part is sent to ${gateway.name}`);
  const { status, error } = await sendQuery(gateway, CRASHING_PART, id);
  record(`request ${id} gets ${error ?? status}`);
}

function sendQuery({ http }, part, id = createAttemptId()) {
  const body = JSON.stringify({ query: id });
  const headers = {
    Host: HOST,
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Turmericrack-Attempt-Id': id,
    'Turmericrack-Deadline-Ms': String(DEADLINE_MS),
    'Turmericrack-Key': KEY,
    'Turmericrack-Model': 'm',
    'Turmericrack-Token-Usage': '400,80',
    'Turmericrack-Prefix-Hash': `${FIRST_PART},${part},${id.slice(0, 8)}:100`,
  };
  return send(http, { method: 'POST', path: '/queries/1', headers, body, timeoutMs: DEADLINE_MS });
}

function handle({ request, response, attemptId, id, replica }) {
  const parts = request.headers['turmericrack-prefix-hash'] ?? '';
  const hasPart = parts.includes(CRASHING_PART);
  if (hasPart) {
    arrivedAt.push(performance.now());
    record(`request ${attemptId} with the part reaches replica ${id}`);
  }
  setTimeout(() => {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Turmericrack-Attempt-Id': attemptId,
      'Turmericrack-Response-Signature': `${id}.${attemptId}`,
    });
    writeEvent(response, 1);
    if (hasPart && hasTrouble) setTimeout(crash, CRASH_DELAY_MS);
  }, FIRST_EVENT_MS);

  function crash() {
    if (!replica.isUp || response.destroyed) return;
    crashedAt.push(performance.now());
    record(`replica ${id} has begun to write an answer to ${attemptId}`);
    replica.crash(AWAY_MS);
  }
}

function writeEvent(response, number) {
  if (response.destroyed) return;
  response.write(`id: ${number}\ndata: tokens of event ${number}\n\n`);
  if (number === EVENT_COUNT) response.end();
  else setTimeout(() => writeEvent(response, number + 1), EVENT_INTERVAL_MS);
}

function judge() {
  const exits = [...deployment.keepers, ...deployment.gateways].flatMap(({ ownExits }) => ownExits);
  record(`sound requests answered: ${sound.answers}; processes that ended: ${exits.length}`);
  const fifth = crashedAt[COUNTED_CRASHES - 1];
  if (fifth === undefined) {
    record(`crashes: ${crashedAt.length}; the rule asks for nothing`);
    if (sound.answers === 0) throw new Error('no sound request was answered');
    return 0;
  }
  const late = arrivedAt.filter((time) => time > fifth + bounds.contactMs).length;
  record(`crashes: ${crashedAt.length}; late requests: ${late} (${MAX_LATE_REQUESTS} allowed)`);
  return late > MAX_LATE_REQUESTS ? 1 : 0;
}
