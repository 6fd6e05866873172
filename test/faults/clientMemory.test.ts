/**
 * Memory of gateways and keepers whose clients send many header lines, bodies in odd chunks or many
 * pipelined requests. Such clients ended processes: they ran out of memory.
 */

import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { after, before, describe, it, type TestContext } from 'node:test';
import { request } from 'undici';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  createGatewayDeployment,
  createTableBody,
  gatewayMemoryMb,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import { readPeakKb, startProcess } from '../fixtures/processes.js';

const CLIENT_COUNT = 60;
/** Bound on the memory of each process; its heap is limited as well. */
const MEMORY_KB = gatewayMemoryMb * 1_024;
const CLIENT_MEMORY_MB = 24;
/** A process has about 60 descriptors without clients. */
const MAX_DESCRIPTORS = CLIENT_COUNT + 120;
const MAX_BODY_BYTES = 4 * 1_024 * 1_024;
const SAMPLE_INTERVAL_MS = 100;
const CROWD_TIMEOUT_MS = 12_000;

type Port = 'callers' | 'readiness' | 'control' | 'operators';

/** What a crowd sends, to which port, and with which method and path. */
const crowds: [string, Port, string, string, string][] = [
  ['many short header lines', 'callers', 'shortLines', 'POST', '/work/1'],
  ['many odd header lines', 'callers', 'oddLines', 'POST', '/work/1'],
  ['large chunks', 'callers', 'largeChunks', 'POST', '/work/1'],
  ['chunks of one byte', 'callers', 'tinyChunks', 'POST', '/work/1'],
  ['pipelined requests with answers unread', 'callers', 'pipelined', 'GET', '/work/1'],
  ['many odd header lines', 'readiness', 'oddLines', 'POST', '/'],
  ['chunks of one byte', 'readiness', 'tinyChunks', 'POST', '/'],
  ['pipelined requests with answers unread', 'readiness', 'pipelined', 'GET', '/'],
  ['many odd header lines', 'control', 'oddLines', 'POST', '/turmericrack/config/replace'],
  ['large chunks', 'control', 'largeChunks', 'POST', '/turmericrack/config/replace'],
  ['chunks of one byte', 'control', 'tinyChunks', 'POST', '/turmericrack/config/replace'],
  ['heartbeats of one byte', 'control', 'tinyChunks', 'POST', '/turmericrack/replicas/x/heartbeat'],
  [
    'pipelined requests with answers unread',
    'control',
    'pipelined',
    'GET',
    '/turmericrack/config/read',
  ],
  ['chunks of one byte', 'operators', 'tinyChunks', 'POST', '/v1/tickets'],
  ['pipelined requests with answers unread', 'operators', 'pipelined', 'GET', '/healthz'],
];

describe('clients do not make a process run out of memory', () => {
  let deployment: GatewayDeployment;

  before(async () => {
    deployment = await createGatewayDeployment(
      [{ id: 'desk-a', pool: 'desk', slots: 100, workMs: 5 }],
      { common: { clientMemoryMb: CLIENT_MEMORY_MB } },
    );
    const table = createTableBody(1);
    const limits = { ...(table.limits as object), maxBodyBytes: MAX_BODY_BYTES };
    assert.equal(await deployment.declare({ ...table, limits }), 200);
    await deployment.waitServing();
  });

  after(() => deployment.stop());

  for (const [name, port, kind, method, path] of crowds) {
    it(`with ${name} at the port of ${port}`, (test) => check(test, port, [method, path, kind]));
  }

  async function check(test: TestContext, port: Port, sent: readonly string[]): Promise<void> {
    const isGateway = port === 'callers' || port === 'readiness';
    const id = isGateway ? 'gateway-0' : 'keeper-0';
    await deployment.getProcess(id).kill();
    deployment.restart(id);
    const { address, isServing } = getTarget(port);
    await waitFor(`${id} to serve`, isServing);
    const subject = deployment.getProcess(id);
    const crowd = startProcess(port, 'dist/run/test/fakes/clientCrowd.mjs', [
      address,
      ...sent,
      String(CLIENT_COUNT),
    ]);
    try {
      let descriptors = 0;
      let peakKb = 0;
      const endAt = performance.now() + CROWD_TIMEOUT_MS;
      while (subject.isRunning && crowd.output.length === 0 && performance.now() < endAt) {
        await delay(SAMPLE_INTERVAL_MS);
        if (!subject.isRunning) break;
        descriptors = Math.max(descriptors, readdirSync(`/proc/${subject.pid}/fd`).length);
        peakKb = readPeakKb(subject);
      }
      test.diagnostic(`${Math.round(peakKb / 1_024)} MB, ${descriptors} descriptors at most`);
      await waitFor('an answer or the end', async () => !subject.isRunning || isServing());
      assert.ok(subject.isRunning, `the process ended: ${subject.output.slice(-3).join('\n')}`);
      peakKb = readPeakKb(subject);
      assert.ok(peakKb < MEMORY_KB, `${Math.round(peakKb / 1_024)} MB`);
      assert.ok(descriptors < MAX_DESCRIPTORS, `${descriptors} descriptors`);
    } finally {
      await crowd.kill();
    }
  }

  /** Returns where a crowd sends its requests, and whether an ordinary request is served there. */
  function getTarget(port: Port): { address: string; isServing(): Promise<boolean> } {
    switch (port) {
      case 'callers': {
        const address = deployment.getGatewayAddress(0);
        return { address, isServing: () => isAnswered(address, '/work/1') };
      }
      case 'readiness': {
        const address = deployment.getReadyAddress(0);
        return { address, isServing: () => isAnswered(address, '/') };
      }
      case 'control': {
        const address = deployment.getControlAddress(0);
        return { address, isServing: () => isAnswered(address, '/turmericrack/config/read') };
      }
      default: {
        const address = deployment.getOperatorAddress(0);
        return { address, isServing: () => isAnswered(address, '/healthz') };
      }
    }
  }

  async function isAnswered(address: string, path: string): Promise<boolean> {
    try {
      const response = await request(`http://${address}${path}`, {
        headers: { host: 'a.example', 'turmericrack-attempt-id': 'ordinary' },
        signal: AbortSignal.timeout(5_000),
        reset: true,
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
});
