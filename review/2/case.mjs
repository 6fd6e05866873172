/** LOST: one heartbeat of another writer, whose address cannot be read, ends all gateways again and again. */

import { performance } from 'node:perf_hooks';
import { Agent, request as sendRequest } from 'node:http';
import { CONTACT_MS, delay, HOST, runCase, startDeployment } from '../lib/deployment.mjs';
import { sendHeartbeat, startReplica } from '../lib/replica.mjs';
import { createRoute, createService, createTable } from '../lib/table.mjs';

const CLIENTS = 28;
const LOAD_MS = 12_000;
const RESTART_MS = 500;
const WAIT_MS = 1_500;
/** A client whose connection was refused tries again later. */
const BACKOFF_MS = 500;
/** Longest pause of a client between two requests. */
const PAUSE_MS = 150;
/** No port has this number. */
const FOREIGN_ADDRESS = '127.0.0.1:80800';

await runCase(import.meta.dirname, async ({ record, hasTrouble, onEnd }) => {
  const deployment = await startDeployment(record, { gatewayCount: 2 });
  let isOver = false;
  onEnd(deployment.stop);
  onEnd(() => {
    isOver = true;
  });
  deployment.startAll();
  const route = createRoute('issue', 'desk', {
    kind: 'non_idempotent',
    timeoutMs: 1_500,
    attempts: 1,
  });
  await deployment.declare(createTable(1, [route], [createService('desk')]));
  const replicas = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const plan = { id, service: 'desk', capacity: 6, workMs: 300 };
    const replica = await startReplica(record, deployment.controlAddresses(), plan);
    onEnd(replica.close);
    replicas.push(replica);
  }
  await deployment.waitReady();
  const ends = new Map(deployment.gateways.map((id) => [id, 0]));
  for (const id of deployment.gateways) void keepRunning(id);
  await delay(2 * CONTACT_MS);
  const counts = { answered: 0, refused: 0, failed: 0, broken: 0, cut: [] };
  const clients = Array.from({ length: CLIENTS }, (_unused, index) => runClient(index, counts));
  await delay(2_000);
  if (hasTrouble) await announceForeign();
  await Promise.all(clients);
  const ran = new Set(replicas.flatMap(({ runs }) => runs.map(({ attemptId }) => attemptId)));
  const lost = counts.cut.filter((attempt) => ran.has(attempt));
  record.add('requests', { ...counts, cut: counts.cut.length, lost: lost.length });
  record.add('gateways that ended by themselves', Object.fromEntries(ends));
  return lost.length > 3;

  /** The platform starts a process that has ended again after a short delay. */
  async function keepRunning(id) {
    while (!isOver) {
      await deployment.waitEnded(id);
      if (isOver) return;
      ends.set(id, ends.get(id) + 1);
      await delay(RESTART_MS);
      if (!isOver) deployment.start(id);
    }
  }

  async function announceForeign() {
    const body = JSON.stringify({
      service: 'desk',
      address: FOREIGN_ADDRESS,
      zone: 'zone-1',
      version: 'v1',
      capacity: 6,
      state: 'ready',
      warmupLeftMs: 0,
      seq: 1,
      born: Date.now(),
    });
    const [address] = deployment.controlAddresses();
    const { status } = await sendHeartbeat(address, 'x-1', body);
    record.add('heartbeat of another writer', { status, address: FOREIGN_ADDRESS });
  }

  /** A client that sends one request after the other on kept connections. */
  async function runClient(index, totals) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const end = performance.now() + LOAD_MS;
    for (let number = 0; performance.now() < end; number += 1) {
      const gateway = deployment.gateways[(index + number) % 2];
      const attempt = `${index}-${number}-${Math.random().toString(16).slice(2, 8)}`;
      const answer = await sendKept(agent, gateway, attempt);
      record.add('answer', { gateway, attempt, ...answer });
      if (answer.end === 'complete' && answer.status === 200) totals.answered += 1;
      else if (answer.end === 'complete' && answer.status === 503) totals.refused += 1;
      else if (answer.end === 'complete') totals.failed += 1;
      else if (answer.isKept) totals.cut.push(attempt);
      else totals.broken += 1;
      await delay(answer.end === 'complete' ? PAUSE_MS * Math.random() : BACKOFF_MS);
    }
    agent.destroy();
  }

  function sendKept(agent, gateway, attempt) {
    const [host, port] = deployment.at(gateway, 'http').split(':');
    const headers = {
      Host: HOST,
      'Turmericrack-Attempt-Id': attempt,
      'Turmericrack-Deadline-Ms': String(WAIT_MS),
      'Content-Length': '2',
    };
    const options = {
      agent,
      host,
      port,
      method: 'POST',
      path: '/issue/1',
      headers,
      timeout: WAIT_MS + 200,
    };
    return new Promise((done) => {
      const outgoing = sendRequest(options, (incoming) => {
        incoming.resume();
        incoming.on('end', () => done({ status: incoming.statusCode, end: 'complete' }));
        incoming.on('error', () => done({ status: incoming.statusCode, end: 'broken' }));
      });
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => done({ status: 0, end: 'broken', isKept: outgoing.reusedSocket }));
      outgoing.end('{}');
    });
  }
});
