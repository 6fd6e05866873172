/**
 * A machine of the core is replaced: its successor is added first, and after `syncS` and longer the
 * old machine is removed, without a SIGTERM. Right after that two other machines lose their disks, as
 * many as are to be borne at once. Reads the acknowledged configuration at all machines that are left.
 */

import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { runCase } from '../lib-2/caseRun.mjs';
import { replaceConfiguration, send } from '../lib-2/client.mjs';
import { bounds, delay, startDeployment, waitUntil } from '../lib-2/deployment.mjs';
import { createRecord } from '../lib-2/record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Twice `syncS`: the removed machine does not count as lost any more. */
const SUCCESSOR_MS = 2 * 1_000 * bounds.syncS;
/** Time from the removal to the loss of the disks. */
const LOSS_AFTER_MS = 1_500;
/** "To be borne at once: the loss of 2 of those with a disk" */
const LOST_DISKS = 2;
const DOWN_MS = 1_000;
/** Time in which all machines of the first start become voters. */
const VOTERS_MS = 10_000;
/** Time without any disruption in which the configuration is read; `recoveryS` is 15. */
const READ_MS = 30_000;
const READ_INTERVAL_MS = 500;
const READ_TIMEOUT_MS = 1_000;

const configuration = {
  version: 7,
  routes: [
    {
      name: 'stock-check',
      host: 'stock.example',
      pathPrefix: '/items/',
      kind: 'idempotent',
      timeoutMs: 1_500,
      sloMs: 386,
      priority: 1,
      service: 'stock-desk',
      attempts: 2,
      public: false,
      sticky: false,
      resumable: false,
    },
  ],
  services: [
    { name: 'stock-desk', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'shop', apiKeys: ['key-of-the-shop'], priority: 1 }],
};

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
let deployment;

await runCase(record, run, cleanUp);

async function cleanUp() {
  await deployment?.stop();
}

async function run() {
  deployment = await startDeployment({ spareCount: 1, gatewayCount: 1, record });
  const { keepers, spares } = deployment;
  const [removed, ...others] = keepers;
  const wiped = others.slice(0, LOST_DISKS);
  const [successor] = spares;
  await replaceConfiguration(keepers, configuration, record, delay);
  await delay(VOTERS_MS);
  successor.start(false);
  await delay(SUCCESSOR_MS);
  const left = [...others, successor];
  await waitUntil(() => readAtAll(left), 5_000, 'the configuration at all machines');
  record(`${removed.name} is removed`);
  removed.kill();
  await delay(LOSS_AFTER_MS);
  if (hasTrouble) await Promise.all(wiped.map((machine) => machine.loseDisk(DOWN_MS)));
  return judge(left);
}

async function readAtAll(machines) {
  const answers = await Promise.all(machines.map(read));
  return answers.every((isRead) => isRead);
}

/** Whether a machine answers with the acknowledged configuration. */
async function read({ admin, name }) {
  const path = '/turmericrack/config/read';
  const { status, error, body } = await send(admin, { path, timeoutMs: READ_TIMEOUT_MS });
  const version = status === 200 ? JSON.parse(body).version : undefined;
  record(`a read at ${name} gets ${error ?? status}, version ${version ?? 'none'}`);
  return version === configuration.version;
}

async function judge(machines) {
  const endAt = performance.now() + READ_MS;
  let answered = 0;
  let last = false;
  while (performance.now() < endAt) {
    const answers = await Promise.all(machines.map(read));
    last = answers.some((isRead) => isRead);
    if (last) answered += 1;
    await delay(READ_INTERVAL_MS);
  }
  record(`rounds of reads with the acknowledged configuration: ${answered}; in the last: ${last}`);
  return last ? 0 : 1;
}
