/**
 * Three replicas of a service crash behind a cut from control, and start again under the ids that they
 * had, with the next version of their software. Gateways reach them all the while. Then four more
 * replicas crash, and the streams that break off there go on. Counts the streams that hold events
 * from replicas of two versions.
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
const REPLICA_COUNT = 16;
const CAPACITY = 11;
/** `srv_cut` with `how = "reborn"` at its dose: `share = 0.2` at most, `for_s = 5`. */
const CUT_COUNT = 3;
const CUT_MS = 5_000;
/** Time from the crash of a replica to its next start. */
const AWAY_MS = 2_000;
/** `srv_crash` as on the users' days: `share = 0.25`, `for_s = 2.0`, here of 4 replicas. */
const CRASH_COUNT = 4;
const CRASH_AFTER_MS = 4_700;
const EVENT_COUNT = 40;
const EVENT_INTERVAL_MS = 60;
const FIRST_EVENT_MS = 60;
const STREAM_INTERVAL_MS = 20;
const CALM_MS = 5_000;
const END_MS = 6_000;
const DEADLINE_MS = 8_000;
/** The rule allows two streams. */
const MAX_MIXED_STREAMS = 2;

const HOST = 'draft.example';
const KEY = 'key-of-the-shop';

const configuration = {
  version: 7,
  routes: [
    {
      name: 'restock-draft',
      host: HOST,
      pathPrefix: '/drafts/',
      kind: 'streaming',
      timeoutMs: DEADLINE_MS,
      sloMs: 600,
      priority: 0,
      service: 'assistant',
      attempts: 2,
      public: false,
      sticky: true,
      resumable: true,
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
const streams = { answered: 0, broken: 0, mixed: 0 };

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
  const playing = play(gateways, CALM_MS + CRASH_AFTER_MS + END_MS);
  await delay(CALM_MS);
  if (hasTrouble) cutReborn();
  await delay(CRASH_AFTER_MS);
  for (const replica of replicas.slice(-CRASH_COUNT)) replica.crash(AWAY_MS);
  await playing;
  return judge();
}

function cutReborn() {
  for (const replica of replicas.slice(0, CUT_COUNT)) {
    replica.cutFromControl(CUT_MS);
    replica.crash(AWAY_MS, { keepsId: true, nextVersion: 'v2' });
  }
}

async function areReady(gateways) {
  for (const gateway of gateways) {
    const { status } = await send(gateway.readiness, { path: '/turmericrack/readyz' });
    if (status !== 200) return false;
    const answer = await sendDraft(gateway, createAttemptId());
    if (answer.status !== 200) return false;
  }
  return true;
}

async function play(gateways, lengthMs) {
  const endAt = performance.now() + lengthMs;
  const open = [];
  for (let turn = 0; performance.now() < endAt; turn += 1) {
    open.push(playStream(gateways[turn % gateways.length]));
    await delay(STREAM_INTERVAL_MS);
  }
  await Promise.all(open);
}

async function playStream(gateway) {
  const id = createAttemptId();
  const { status, body = '', error } = await sendDraft(gateway, id);
  const versions = new Set([...body.matchAll(/^data: (\S+) /gm)].map(([, version]) => version));
  const isWhole = body.includes(`id: ${EVENT_COUNT}\n`);
  if (status === 200 && isWhole) streams.answered += 1;
  else streams.broken += 1;
  if (versions.size > 1) streams.mixed += 1;
  const seen = [...versions].join(' and ');
  record(`stream ${id} of ${gateway.name}: ${error ?? status}, whole: ${isWhole}, ${seen}`);
}

function sendDraft({ http }, id) {
  const body = JSON.stringify({ draft: id });
  const headers = {
    Host: HOST,
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Turmericrack-Attempt-Id': id,
    'Turmericrack-Deadline-Ms': String(DEADLINE_MS),
    'Turmericrack-Key': KEY,
    'Turmericrack-Model': 'm',
    'Turmericrack-Token-Usage': '400,80',
    'Turmericrack-Prefix-Hash': `5c1e07a2:60,${id.slice(0, 8)}:340`,
  };
  return send(http, { method: 'POST', path: '/drafts/1', headers, body, timeoutMs: DEADLINE_MS });
}

function handle({ request, response, attemptId, id, version }) {
  const last = Number(request.headers['last-event-id'] ?? 0);
  if (last > 0) record(`stream ${attemptId} goes on after event ${last} at ${id}, ${version}`);
  setTimeout(() => {
    if (response.destroyed) return;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Turmericrack-Attempt-Id': attemptId,
      'Turmericrack-Response-Signature': `${id}.${attemptId}`,
    });
    writeEvent(response, last + 1, version);
  }, FIRST_EVENT_MS);
}

function writeEvent(response, number, version) {
  if (response.destroyed) return;
  response.write(`id: ${number}\ndata: ${version} tokens of event ${number}\n\n`);
  if (number === EVENT_COUNT) response.end();
  else setTimeout(() => writeEvent(response, number + 1, version), EVENT_INTERVAL_MS);
}

function judge() {
  const exits = [...deployment.keepers, ...deployment.gateways].flatMap(({ ownExits }) => ownExits);
  const { answered, broken, mixed } = streams;
  record(`processes that ended: ${exits.length}; streams answered: ${answered}, broken: ${broken}`);
  record(`streams of two versions: ${mixed} (${MAX_MIXED_STREAMS} allowed)`);
  if (answered === 0) throw new Error('no stream was answered');
  return mixed > MAX_MIXED_STREAMS ? 1 : 0;
}
