/** Memory of a gateway behind which endpoints send without end and callers stop reading. */

import assert from 'node:assert/strict';
import { after, before, describe, it, type TestContext } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import { endlessKinds, type EndlessKind } from '../fixtures/endlessAnswers.js';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  gatewayMemoryMb,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import { readPeakKb, startProcess, type TestProcess } from '../fixtures/processes.js';

const MEMORY_KB = gatewayMemoryMb * 1_024;
const CALLER_COUNT = 400;
const MANY_CALLERS = 800;
/** Callers of one endless answer each that read what comes. */
const MIXED_CALLERS_PER_KIND = 20;
/** Time without a write by the endpoint after which no caller takes anything any more. */
const QUIET_MS = 1_500;
const MIN_DURATION_MS = 4_000;
const MAX_DURATION_MS = 45_000;
const SOUND_INTERVAL_MS = 100;
/** Connections that sound callers have open before the others come. */
const SOUND_CONNECTIONS = 80;
/** Until then their callers wait. */
const SOUND_LIMIT_MS = 5_000;
const SLOTS = 2_000;
/** Largest body that the table allows. */
const BODY_BYTES = 4 * 1_024 * 1_024;
const UPLOAD_COUNT = 200;

/** Table with a pool that sends without end, besides the sound one. */
function createTable(): ReturnType<typeof createTableBody> {
  const table = addRoutes(createTableBody(1), [
    { name: 'endless', service: 'endless', fields: { timeoutMs: 60_000 } },
    {
      name: 'stream',
      service: 'endless',
      fields: { timeoutMs: 60_000, kind: 'streaming', resumable: false },
    },
    {
      name: 'resumable',
      service: 'endless',
      fields: { timeoutMs: 60_000, kind: 'streaming', resumable: true },
    },
  ]);
  const services = table.services as { maxConns: number }[];
  const limits = { ...(table.limits as object), maxBodyBytes: BODY_BYTES };
  return {
    ...table,
    limits,
    services: services.map((service) => ({ ...service, maxConns: SLOTS })),
  };
}

describe('the memory of a gateway stays within its VM', () => {
  let deployment: GatewayDeployment;
  let endless: TestProcess;
  let isStopped = false;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: SLOTS, workMs: 5 },
    ]);
    assert.equal(await deployment.declare(createTable()), 200);
    endless = startProcess('endless', 'dist/run/test/fakes/endlessEndpoint.mjs', []);
    await waitFor('the endpoint', () => endless.output.length > 0);
    void announceRegularly(Number(endless.output[0]));
    await deployment.waitServing();
  });

  after(async () => {
    isStopped = true;
    await endless.kill();
    await deployment.stop();
  });

  async function announceRegularly(port: number): Promise<void> {
    const bornAtMs = Date.now();
    for (let sequence = 1; !isStopped; sequence += 1) {
      const heartbeat = {
        service: 'endless',
        address: `127.0.0.1:${port}`,
        zone: 'local',
        version: 'v1',
        capacity: SLOTS,
        state: 'ready',
        warmupLeftMs: 0,
        seq: sequence,
        born: bornAtMs,
      };
      await deployment.postHeartbeat(0, 'endless-a', JSON.stringify(heartbeat)).catch(() => 0);
      await delay(400);
    }
  }

  /** Sends sound requests until the endpoint can write no more; returns those that were not served in time. */
  async function callMeanwhile(name: string): Promise<string[]> {
    const problems: string[] = [];
    const calls: Promise<void>[] = [];
    const startedAt = performance.now();
    let lines = 0;
    let writtenAt = startedAt;
    const isDone = (): boolean => {
      const now = performance.now();
      if (endless.output.length > lines) writtenAt = now;
      lines = endless.output.length;
      const isQuiet = now - writtenAt > QUIET_MS && now - startedAt > MIN_DURATION_MS;
      return isQuiet || now - startedAt > MAX_DURATION_MS;
    };
    for (let index = 0; !isDone(); index += 1) {
      calls.push(callOnce(`${name}-${index}`, problems));
      await delay(SOUND_INTERVAL_MS);
    }
    await Promise.all(calls);
    return problems;
  }

  async function callOnce(id: string, problems: string[]): Promise<void> {
    const startedAt = performance.now();
    const { status } = await deployment.call(0, '/work/1', id).catch(() => ({ status: 0 }));
    const tookMs = Math.round(performance.now() - startedAt);
    if (status !== 200 || tookMs > SOUND_LIMIT_MS) problems.push(`${id}: ${status} ${tookMs} ms`);
  }

  async function check(
    test: TestContext,
    name: string,
    paths: readonly { path: string; count: number }[],
    bodyBytes?: number,
  ): Promise<void> {
    await deployment.getProcess('gateway-0').kill();
    deployment.restart('gateway-0');
    await deployment.waitServing();
    await Promise.all(
      Array.from({ length: SOUND_CONNECTIONS }, (_unused, index) =>
        deployment.call(0, '/work/1', `${name}-first-${index}`),
      ),
    );
    const gateway = deployment.getProcess('gateway-0');
    const address = deployment.getGatewayAddress(0);
    const program = bodyBytes === undefined ? 'stoppedCallers' : 'slowUploads';
    const callers = paths.map(({ path, count }) =>
      startProcess(path, `dist/run/test/fakes/${program}.mjs`, [
        address,
        path,
        String(count),
        String(bodyBytes ?? 0),
      ]),
    );
    try {
      const problems = await callMeanwhile(name);
      assert.ok(gateway.isRunning, `the gateway ended: ${gateway.output.slice(-3).join('\n')}`);
      const peakKb = readPeakKb(gateway);
      test.diagnostic(`${Math.round(peakKb / 1_024)} MB at most`);
      assert.ok(peakKb < MEMORY_KB, `${Math.round(peakKb / 1_024)} MB`);
      assert.deepEqual(problems, []);
    } finally {
      await Promise.all(callers.map((caller) => caller.kill()));
    }
  }

  const cases: [string, string][] = [
    ['a body', '/endless/1?body'],
    ['events', '/resumable/1?events'],
    ['an event without end', '/resumable/1?event'],
    // The gateway ran out of heap by one object for each chunk.
    ['a body in chunks of one byte', '/endless/1?shortChunks'],
    ['events in chunks of one byte', '/resumable/1?shortEvents'],
    ['an event without end in chunks of one byte', '/resumable/1?shortChunks'],
    ['a stream in chunks of one byte that is not split', '/stream/1?shortChunks'],
  ];
  for (const [name, path] of cases) {
    it(`while callers do not read ${name}`, (test) =>
      check(test, name, [{ path, count: CALLER_COUNT }]));

    it(`while ${MANY_CALLERS} callers do not read ${name}`, (test) =>
      check(test, `${name}-many`, [{ path, count: MANY_CALLERS }]));
  }

  it('while callers send large bodies without their end', (test) =>
    check(test, 'uploads', [{ path: '/work/1', count: UPLOAD_COUNT }], BODY_BYTES));

  it('while an endpoint sends each kind of bytes without end', (test) => {
    const toPath = (kind: EndlessKind): string =>
      ['events', 'event', 'comments', 'shortEvents', 'shortChunks'].includes(kind)
        ? `/resumable/1?${kind}`
        : `/endless/1?${kind}`;
    return check(
      test,
      'all kinds',
      endlessKinds.map((kind) => ({ path: toPath(kind), count: MIXED_CALLERS_PER_KIND })),
    );
  });
});
