/** LOST: a gateway that was told to stop accepts a request and cuts it off before it is answered. */

import { performance } from 'node:perf_hooks';
import { Agent, request as sendRequest } from 'node:http';
import { CONTACT_MS, delay, HOST, runCase, startDeployment } from '../lib/deployment.mjs';
import { startReplica } from '../lib/replica.mjs';
import { createRoute, createService, createTable } from '../lib/table.mjs';

const CLIENTS = 8;
/** The first requests of the clients last from before the SIGTERM until 4.4 s after it. */
const STREAM = { eventCount: 50, intervalMs: 100 };
const LEAD_MS = 700;
/** Time between the first requests of two clients. */
const STAGGER_MS = 37;
/** The second requests: 80 tokens of output in events of 6 tokens, each within the route's target. */
const SHORT_STREAM = { eventCount: 14, intervalMs: 270 };
const SHORT_TIMEOUT_MS = 8_000;

await runCase(import.meta.dirname, async ({ record, hasTrouble, onEnd }) => {
  const deployment = await startDeployment(record, { gatewayCount: 2 });
  onEnd(deployment.stop);
  deployment.startAll();
  const backend = {
    capacity: 10,
    kvCapacity: 600_000,
    kvTokenBytes: 131_072,
    models: [{ name: 'm' }],
  };
  const routes = [
    createRoute('explain', 'engine', {
      kind: 'streaming',
      timeoutMs: 12_000,
      itlTargetMs: 400,
      sticky: true,
      attempts: 1,
    }),
    createRoute('label', 'labels', {
      kind: 'streaming',
      timeoutMs: SHORT_TIMEOUT_MS,
      itlTargetMs: 300,
      sticky: true,
      attempts: 1,
    }),
  ];
  const services = [createService('engine', { backend }), createService('labels', { backend })];
  await deployment.declare(createTable(1, routes, services));
  const plans = [
    { id: 'i-1', service: 'engine', capacity: 10, workMs: 30, stream: STREAM },
    { id: 'i-2', service: 'engine', capacity: 10, workMs: 30, stream: STREAM },
    { id: 'i-3', service: 'labels', capacity: 10, workMs: 200, stream: SHORT_STREAM },
    { id: 'i-4', service: 'labels', capacity: 10, workMs: 200, stream: SHORT_STREAM },
  ];
  const replicas = [];
  for (const plan of plans) {
    const replica = await startReplica(record, deployment.controlAddresses(), plan);
    onEnd(replica.close);
    replicas.push(replica);
  }
  await deployment.waitReady();
  await delay(2 * CONTACT_MS);
  let stoppedAt = performance.now() + LEAD_MS;
  const clients = Array.from({ length: CLIENTS }, (_unused, index) => runClient(index));
  await delay(LEAD_MS);
  stoppedAt = performance.now();
  if (hasTrouble) deployment.signal('edge-1', 'SIGTERM');
  const labels = await Promise.all(clients);
  const ran = new Set(replicas.flatMap(({ runs }) => runs.map(({ attemptId }) => attemptId)));
  const lost = labels.filter(({ attempt, end }) => end === 'broken' && ran.has(attempt));
  const answered = labels.filter(({ end, status }) => end === 'complete' && status === 200);
  const refused = labels.filter(({ end, status }) => end === 'complete' && status === 503);
  record.add('requests after the SIGTERM', {
    all: labels.length,
    answered: answered.length,
    refused: refused.length,
    lost: lost.length,
  });
  return lost.length > 0;

  /** Receives a long stream, and then asks for a short one on the same connection. */
  async function runClient(index) {
    await delay(index * STAGGER_MS);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const streamed = await sendKept(agent, `s-${index}`, {
      path: '/explain/1',
      waitMs: 12_000,
      headers: { 'Turmericrack-Model': 'm', 'Turmericrack-Token-Usage': '700,300' },
    });
    const sentMs = Math.round(performance.now() - stoppedAt);
    const label = await sendKept(agent, `l-${index}`, {
      path: '/label/1',
      waitMs: SHORT_TIMEOUT_MS,
      headers: { 'Turmericrack-Model': 'm', 'Turmericrack-Token-Usage': '1460,80' },
    });
    const endMs = Math.round(performance.now() - stoppedAt);
    record.add('answer', { attempt: streamed.attempt, status: streamed.status, end: streamed.end });
    record.add('answer', { ...label, sentMs, endMs });
    agent.destroy();
    return label;
  }

  function sendKept(agent, attempt, { path, waitMs, headers }) {
    const [host, port] = deployment.at('edge-1', 'http').split(':');
    const allHeaders = {
      Host: HOST,
      'Turmericrack-Attempt-Id': attempt,
      'Turmericrack-Deadline-Ms': String(waitMs),
      'Content-Length': '2',
      ...headers,
    };
    const options = {
      agent,
      host,
      port,
      method: 'POST',
      path,
      headers: allHeaders,
      timeout: waitMs + 500,
    };
    return new Promise((done) => {
      const outgoing = sendRequest(options, (incoming) => {
        const { statusCode: status } = incoming;
        incoming.resume();
        incoming.on('end', () =>
          done({ attempt, status, end: 'complete', isKept: outgoing.reusedSocket }),
        );
        incoming.on('error', () =>
          done({ attempt, status, end: 'broken', isKept: outgoing.reusedSocket }),
        );
      });
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () =>
        done({ attempt, status: 0, end: 'broken', isKept: outgoing.reusedSocket }),
      );
      outgoing.end('{}');
    });
  }
});
