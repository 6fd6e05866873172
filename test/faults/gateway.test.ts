/** Gateways and keepers as processes: what callers and endpoints see while parts fail or leave. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  createGatewayDeployment,
  createTableBody,
  drainLimitMs,
  type GatewayAnswer,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

/** Time of one request at an endpoint, in milliseconds. */
const WORK_MS = 150;
/** Time within which an accepted table has to be in force at every gateway. */
const CONVERGE_LIMIT_MS = 2_000;
/** Time within which an endpoint that leaves gets nothing new. */
const LEAVE_LIMIT_MS = 2_000;
const CALLERS = 6;
const UNREAD_CALLS = 3_000;
const NOT_READY_LIMIT_MS = 1_000;
/** Time that a balancer takes to send no more connections to a gateway that is not ready. */
const BALANCER_LAG_MS = 2_000;

let nextCall = 0;

describe('gateways', () => {
  let deployment: GatewayDeployment;
  let revision = 1;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: 8, workMs: WORK_MS },
      { id: 'desk-b', pool: 'desk', slots: 8, workMs: WORK_MS },
    ]);
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitReady();
    await waitServing(0);
    await waitServing(1);
  });

  after(() => deployment.stop());

  function call(gateway: number, path = '/work/1'): Promise<GatewayAnswer> {
    nextCall += 1;
    return deployment.call(gateway, path, `call-${nextCall}`);
  }

  async function tryGetStatus(gateway: number, path: string): Promise<number | undefined> {
    try {
      return (await call(gateway, path)).status;
    } catch {
      return undefined;
    }
  }

  async function waitServing(gateway: number): Promise<void> {
    await waitFor(
      `gateway ${gateway} serves`,
      async () => (await tryGetStatus(gateway, '/work/1')) === 200,
    );
  }

  async function changeTable(): Promise<string> {
    revision += 1;
    assert.equal(await deployment.declare(createTableBody(revision)), 200);
    return `/new-${revision}/1`;
  }

  /** Callers that go on until stopped, on connections that they keep. */
  function startLoad(gateway: number) {
    let isRunning = true;
    const statuses: number[] = [];
    const failures: string[] = [];
    const run = async () => {
      while (isRunning) {
        nextCall += 1;
        const id = `load-${nextCall}`;
        try {
          const answer = await deployment.call(gateway, '/work/load', id);
          statuses.push(answer.status);
          const isWhole = answer.status !== 200 || answer.body === `answer to ${id}`;
          if (!isWhole) failures.push(`${id} got ${answer.body}`);
        } catch (caught) {
          const { code } = caught as { code?: string };
          if (code === 'ECONNREFUSED') return;
          failures.push(`${id}: ${code} ${String(caught)}`);
        }
      }
    };
    const callers = Array.from({ length: CALLERS }, run);
    return {
      statuses,
      failures,
      async stop() {
        isRunning = false;
        await Promise.all(callers);
      },
    };
  }

  it('serves calls of all gateways, and refuses truthfully what it does not know', async () => {
    for (const gateway of [0, 1]) {
      const answer = await call(gateway);
      assert.equal(answer.status, 200);
      assert.equal(answer.body, `answer to call-${nextCall}`);
      assert.equal((await call(gateway, '/elsewhere/')).status, 404);
    }
  });

  it('sends nothing for callers who have left before their request is read', async () => {
    const gateway = deployment.getProcess('gateway-0');
    gateway.signal('SIGSTOP');
    const ids = Array.from({ length: 20 }, (_unused, index) => `left-${index}`);
    await Promise.all(ids.map((id) => deployment.callAndDisconnect(0, '/work/1', id)));
    gateway.signal('SIGCONT');
    await delay(500);
    const arrived = deployment.endpoints.flatMap(({ arrivals }) => arrivals);
    assert.deepEqual(
      ids.filter((id) => arrived.includes(id)),
      [],
    );
  });

  it('refuses an invalid table, which changes nothing', async () => {
    const table = { ...createTableBody(revision + 100), routes: 'none' };
    assert.equal(await deployment.declare(table), 400);
    assert.equal(await deployment.tryReadRevision(0), revision);
  });

  it('stops without cutting a request off while callers keep their connections', async () => {
    const load = startLoad(0);
    await delay(500);
    const stopped = deployment.getProcess('gateway-0');
    const startedAt = performance.now();
    stopped.signal('SIGTERM');
    await waitFor('the gateway is not ready', async () => !(await deployment.isReady(0)));
    assert.ok(performance.now() - startedAt < NOT_READY_LIMIT_MS);
    // Callers that keep connections go on until their balancer has noticed.
    await delay(BALANCER_LAG_MS);
    await load.stop();
    assert.equal(await stopped.exited, 0);
    assert.ok(performance.now() - startedAt < drainLimitMs);
    assert.deepEqual(load.failures, []);
    assert.deepEqual([...new Set(load.statuses)], [200]);
    deployment.restart('gateway-0');
    await deployment.waitReady();
    await waitServing(0);
  });

  it('sends nothing to an endpoint soon after its leaving is acknowledged', async () => {
    const load = startLoad(1);
    const leaving = await deployment.startEndpoint({
      id: 'desk-c',
      pool: 'desk',
      slots: 8,
      workMs: WORK_MS,
    });
    await waitFor('the endpoint is used', () => leaving.arrivals.length > 0);
    await leaving.drain();
    await delay(LEAVE_LIMIT_MS);
    const arrived = leaving.arrivals.length;
    await delay(1_000);
    assert.equal(leaving.arrivals.length, arrived);
    await load.stop();
    assert.deepEqual(load.failures, []);
  });

  it('follows a new table though its connections to the keepers are silent', async () => {
    for (const proxy of deployment.listProxies('gateway-1')) proxy.blackhole();
    const path = await changeTable();
    const acceptedAt = performance.now();
    await waitFor('the new route', async () => (await tryGetStatus(1, path)) === 200);
    assert.ok(performance.now() - acceptedAt < CONVERGE_LIMIT_MS);
  });

  it('accepts a table though all connections among the keepers are silent', async () => {
    for (const id of deployment.keeperIds) {
      for (const proxy of deployment.listProxies(id)) proxy.blackhole();
    }
    const path = await changeTable();
    const acceptedAt = performance.now();
    for (const gateway of [0, 1]) {
      await waitFor('the new route', async () => (await tryGetStatus(gateway, path)) === 200);
    }
    assert.ok(performance.now() - acceptedAt < CONVERGE_LIMIT_MS);
  });

  it('goes on, and stops, while nobody reads what it prints', async () => {
    deployment.getProcess('gateway-1').stopReading();
    // Each of these calls leaves a line, together several times what the pipe holds.
    const fill = async () => {
      for (let count = 0; count < UNREAD_CALLS / CALLERS; count += 1) {
        assert.equal((await call(1, '/elsewhere/')).status, 404);
      }
    };
    await Promise.all(Array.from({ length: CALLERS }, fill));
    assert.equal((await call(1)).status, 200);
    const stopped = deployment.getProcess('gateway-1');
    stopped.signal('SIGTERM');
    await waitFor('the end of the process', () => !stopped.isRunning, drainLimitMs);
    deployment.restart('gateway-1');
    await waitServing(1);
  });

  it('keeps its table while all keepers are killed, which lose nothing acknowledged', async () => {
    const path = await changeTable();
    await waitFor('the new route', async () => (await tryGetStatus(0, path)) === 200);
    await Promise.all(deployment.keeperIds.map((id) => deployment.getProcess(id).kill()));
    assert.equal((await call(0, path)).status, 200);
    for (const id of deployment.keeperIds) deployment.restart(id);
    await waitFor(
      'a keeper reads back',
      async () => (await deployment.tryReadRevision(0)) !== undefined,
    );
    assert.equal(await deployment.tryReadRevision(0), revision);
    assert.equal((await call(0, path)).status, 200);
  });

  it('serves soon after everything was killed at once', async () => {
    const path = `/new-${revision}/1`;
    const ids = [...deployment.keeperIds, ...deployment.gatewayIds];
    await Promise.all(ids.map((id) => deployment.getProcess(id).kill()));
    for (const id of ids) deployment.restart(id);
    for (const gateway of [0, 1]) {
      await waitFor('no answer is made up', async () => {
        const status = await tryGetStatus(gateway, path);
        assert.ok(status === undefined || status === 503 || status === 200, `status ${status}`);
        return status === 200;
      });
    }
  });
});
