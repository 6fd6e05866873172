/** CONFIG: heartbeats of another writer cut all gateways off from new configurations. */

import { performance } from 'node:perf_hooks';
import {
  CONTACT_MS,
  CONVERGE_MS,
  delay,
  HEARTBEAT_MS,
  HOST,
  runCase,
  send,
  startDeployment,
  waitFor,
} from '../lib/deployment.mjs';
import { sendHeartbeat, startReplica } from '../lib/replica.mjs';
import { createRoute, createService, createTable } from '../lib/table.mjs';

const PROBE_COUNT = 5;

await runCase(import.meta.dirname, async ({ record, hasTrouble, onEnd }) => {
  const deployment = await startDeployment(record, { gatewayCount: 2 });
  onEnd(deployment.stop);
  deployment.startAll();
  const services = [createService('desk')];
  await deployment.declare(
    createTable(1, [createRoute('old', 'desk'), createRoute('dropped', 'desk')], services),
  );
  const replicas = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const plan = { id, service: 'desk', capacity: 6, workMs: 20 };
    const replica = await startReplica(record, deployment.controlAddresses(), plan);
    onEnd(replica.close);
    replicas.push(replica);
  }
  await deployment.waitReady();
  for (const gateway of deployment.gateways) {
    await waitFor('calls to be served', async () => (await call(gateway, 'old')) === 200);
  }
  let isOver = false;
  onEnd(() => {
    isOver = true;
  });
  if (hasTrouble) void announceForeign();
  // Longer than the contact time, so that every machine is in touch.
  await delay(2 * CONTACT_MS);
  await deployment.declare(
    createTable(2, [createRoute('old', 'desk'), createRoute('new', 'desk')], services),
  );
  const acknowledgedAt = performance.now();
  await delay(CONVERGE_MS + 200);
  let brokenCount = 0;
  for (let round = 0; round < PROBE_COUNT; round += 1) {
    for (const gateway of deployment.gateways) {
      const status = await call(gateway, 'new');
      const sinceMs = Math.round(performance.now() - acknowledgedAt);
      record.add('request on the new route', { gateway, status, sinceMs });
      if (status === 404) brokenCount += 1;
      const droppedStatus = await call(gateway, 'dropped');
      record.add('request on the dropped route', { gateway, status: droppedStatus, sinceMs });
      if (droppedStatus === 200) brokenCount += 1;
    }
    await delay(1_000);
  }
  for (const keeper of deployment.keepers) {
    record.add('configuration read', { keeper, version: await deployment.readVersion(keeper) });
  }
  record.add('requests handled as only version 1 allows', { count: brokenCount });
  return brokenCount > 0;

  /** Another writer announces something else than a replica, about as often as a replica does. */
  async function announceForeign() {
    let next = 0;
    while (!isOver) {
      const address = deployment.controlAddresses()[next % 3];
      next += 1;
      const body = JSON.stringify({
        service: 'mailer',
        address: '127.0.0.1:9',
        zone: 'zone-1',
        version: '7',
        capacity: 1,
        state: 'ready',
        // The Unix time at which the warm-up ends, where replicas state a duration.
        warmupLeftMs: Date.now() + 5_000,
        seq: next,
        born: Date.now() - 60_000,
      });
      const { status } = await sendHeartbeat(address, 'mailer-1', body);
      record.add('heartbeat of another writer', { address, status });
      await delay(HEARTBEAT_MS);
    }
  }

  async function call(gateway, route) {
    const id = Math.random().toString(16).slice(2);
    const answer = await send({
      address: deployment.at(gateway, 'http'),
      path: `/${route}/1`,
      headers: { Host: HOST, 'Turmericrack-Attempt-Id': id, 'Turmericrack-Deadline-Ms': '1500' },
      timeoutMs: 1_600,
    });
    record.add('answer', { gateway, route, attempt: id, status: answer.status, end: answer.end });
    return answer.status;
  }
});
