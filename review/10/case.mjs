/**
 * A request that crashes the replicas of one service comes again and again. The same caller sends a
 * sound request with the same path and body to another host, whose route leads to another service.
 * Counts how often the crashing request reaches replicas later than `contactMs` after its third
 * crash.
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
const REPLICA_COUNT = 6;
const CAPACITY = 6;
const AWAY_MS = 3_000;
const WORK_MS = 40;
/** Time between two tries of the client that sends the request. */
const CRASHING_INTERVAL_MS = 700;
const SOUND_INTERVAL_MS = 400;
const PLAY_MS = 20_000;
/** The rule allows three retries later than `contactMs` after the third crash. */
const MAX_LATE_RETRIES = 3;
const RESPONSIBLE_CRASHES = 3;

const ORDER_HOST = 'orders.example';
const STOCK_HOST = 'stock.example';
const PATH = '/items/17';
const KEY = 'key-of-the-shop';

const configuration = {
  version: 7,
  routes: [createRoute(ORDER_HOST, 'order-desk'), createRoute(STOCK_HOST, 'stock-desk')],
  services: [createService('order-desk'), createService('stock-desk')],
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
/** Times at which the request has crashed a replica, and at which it has reached one. */
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
  await startReplicas(keepers, 'order-desk', handleOrder);
  await startReplicas(keepers, 'stock-desk', handleStock);
  await waitUntil(() => areReady(gateways), 15_000, 'gateways that are ready and serve');
  // All machines are in touch.
  await delay(bounds.contactMs);
  await play(gateways);
  return judge();
}

async function startReplicas(keepers, service, handle) {
  for (let index = 0; index < REPLICA_COUNT; index += 1) {
    const zone = `zone-${'abc'[index % 3]}`;
    const options = { host: '127.0.0.1', service, zone, capacity: CAPACITY };
    replicas.push(await startReplica({ ...options, keepers, handle, record }));
  }
}

async function areReady(gateways) {
  for (const gateway of gateways) {
    const { status } = await send(gateway.readiness, { path: '/turmericrack/readyz' });
    if (status !== 200) return false;
    const answer = await sendTo(STOCK_HOST, gateway);
    if (answer.status !== 200) return false;
  }
  return true;
}

async function play(gateways) {
  const endAt = performance.now() + PLAY_MS;
  const playing = playSound(gateways, endAt);
  for (let turn = 0; performance.now() < endAt; turn += 1) {
    if (hasTrouble) void sendCrashing(gateways[turn % gateways.length]);
    await delay(CRASHING_INTERVAL_MS);
  }
  await playing;
}

async function playSound(gateways, endAt) {
  for (let turn = 0; performance.now() < endAt; turn += 1) {
    void sendTo(STOCK_HOST, gateways[turn % gateways.length]).then(({ status }) => {
      if (status === 200) sound.answers += 1;
    });
    await delay(SOUND_INTERVAL_MS);
  }
}

async function sendCrashing(gateway) {
  const id = createAttemptId();
  record(`request ${id}, which crashes replicas, is sent to ${gateway.name}`);
  const { status, error } = await sendTo(ORDER_HOST, gateway, id);
  record(`request ${id} gets ${error ?? status}`);
}

function sendTo(host, { http }, id = createAttemptId()) {
  const headers = {
    Host: host,
    'Turmericrack-Attempt-Id': id,
    'Turmericrack-Deadline-Ms': '1500',
    'Turmericrack-Key': KEY,
  };
  return send(http, { path: PATH, headers, timeoutMs: 1_500 });
}

function handleOrder({ attemptId, id, replica }) {
  const time = performance.now();
  arrivedAt.push(time);
  crashedAt.push(time);
  record(`request ${attemptId} reaches replica ${id} of order-desk, which runs it`);
  replica.crash(AWAY_MS);
}

function handleStock({ reply }) {
  setTimeout(() => reply(200, 'in stock'), WORK_MS);
}

function judge() {
  const third = crashedAt[RESPONSIBLE_CRASHES - 1];
  const exits = [...deployment.keepers, ...deployment.gateways].flatMap(({ ownExits }) => ownExits);
  record(`sound requests answered: ${sound.answers}; processes that ended: ${exits.length}`);
  if (third === undefined) {
    record(`crashes: ${crashedAt.length}; the rule asks for nothing`);
    if (sound.answers === 0) throw new Error('no sound request was answered');
    return 0;
  }
  const late = arrivedAt.filter((time) => time > third + bounds.contactMs).length;
  record(`crashes: ${crashedAt.length}; late retries: ${late} (${MAX_LATE_RETRIES} allowed)`);
  return late > MAX_LATE_RETRIES ? 1 : 0;
}

function createRoute(host, service) {
  return {
    name: service,
    host,
    pathPrefix: '/items/',
    kind: 'idempotent',
    timeoutMs: 1_500,
    sloMs: 386,
    priority: 1,
    service,
    attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
  };
}

function createService(name) {
  return { name, healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false };
}
