/**
 * Runs gateways and keepers as processes and checks what callers and endpoints observe while
 * processes are stopped or killed, endpoints leave, and connections silently drop traffic.
 */

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

/** Processing time of one request at an endpoint. */
const WORK_MS = 150;
/** Time within which an accepted table must be in force at every gateway. */
const CONVERGENCE_LIMIT_MS = 2_000;
/** Time after which an endpoint that has left must get no new requests. */
const LEAVE_LIMIT_MS = 2_000;
const CALLER_COUNT = 6;
const UNREAD_OUTPUT_CALL_COUNT = 3_000;
const NOT_READY_LIMIT_MS = 1_000;
/** Time until a load balancer stops opening connections to a gateway that is not ready. */
const BALANCER_LAG_MS = 2_000;

let lastCallNumber = 0;

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
    await waitUntilServing(0);
    await waitUntilServing(1);
  });

  after(() => deployment.stop());

  function call(gateway: number, path = '/work/1'): Promise<GatewayAnswer> {
    lastCallNumber += 1;
    return deployment.call(gateway, path, `call-${lastCallNumber}`);
  }

  async function tryGetStatus(gateway: number, path: string): Promise<number | undefined> {
    try {
      return (await call(gateway, path)).status;
    } catch {
      return undefined;
    }
  }

  async function waitUntilServing(gateway: number): Promise<void> {
    await waitFor(
      `gateway ${gateway} to serve calls`,
      async () => (await tryGetStatus(gateway, '/work/1')) === 200,
    );
  }

  async function changeTable(): Promise<string> {
    revision += 1;
    assert.equal(await deployment.declare(createTableBody(revision)), 200);
    return `/new-${revision}/1`;
  }

  /** Sends calls on persistent connections until stopped. */
  function startLoad(gateway: number) {
    let isRunning = true;
    const statuses: number[] = [];
    const failures: string[] = [];
    const run = async () => {
      while (isRunning) {
        lastCallNumber += 1;
        const id = `load-${lastCallNumber}`;
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
    const callers = Array.from({ length: CALLER_COUNT }, run);
    return {
      statuses,
      failures,
      async stop() {
        isRunning = false;
        await Promise.all(callers);
      },
    };
  }

  it('serves calls at all gateways, and answers 404 for paths without a route', async () => {
    for (const gateway of [0, 1]) {
      const answer = await call(gateway);
      assert.equal(answer.status, 200);
      assert.equal(answer.body, `answer to call-${lastCallNumber}`);
      assert.equal((await call(gateway, '/elsewhere/')).status, 404);
    }
  });

  it('does not forward requests whose callers disconnected before they were read', async () => {
    const gateway = deployment.getProcess('gateway-0');
    gateway.signal('SIGSTOP');
    const ids = Array.from({ length: 20 }, (_unused, index) => `left-${index}`);
    const bodies = ['', 'a body'];
    const calls = ids.map((id, index) =>
      deployment.callAndDisconnect(0, '/work/1', id, bodies[index % bodies.length]),
    );
    await Promise.all(calls);
    gateway.signal('SIGCONT');
    await delay(500);
    const arrived = deployment.endpoints.flatMap(({ arrivals }) => arrivals);
    assert.deepEqual(
      ids.filter((id) => arrived.includes(id)),
      [],
    );
  });

  it('refuses an invalid table and keeps the one in force', async () => {
    const table = { ...createTableBody(revision + 100), routes: 'none' };
    assert.equal(await deployment.declare(table), 400);
    assert.equal(await deployment.tryReadRevision(0), revision);
  });

  it('completes all requests when stopped while callers keep their connections open', async () => {
    const load = startLoad(0);
    await delay(500);
    const stopped = deployment.getProcess('gateway-0');
    const startedAt = performance.now();
    stopped.signal('SIGTERM');
    await waitFor('the gateway to be not ready', async () => !(await deployment.isReady(0)));
    assert.ok(performance.now() - startedAt < NOT_READY_LIMIT_MS);
    // Callers with open connections go on until the load balancer has seen that it is not ready.
    await delay(BALANCER_LAG_MS);
    await load.stop();
    assert.equal(await stopped.exited, 0);
    assert.ok(performance.now() - startedAt < drainLimitMs);
    assert.deepEqual(load.failures, []);
    assert.deepEqual([...new Set(load.statuses)], [200]);
    deployment.restart('gateway-0');
    await deployment.waitReady();
    await waitUntilServing(0);
  });

  it('sends no requests to an endpoint soon after its leave request is acknowledged', async () => {
    const load = startLoad(1);
    const leaving = await deployment.startEndpoint({
      id: 'desk-c',
      pool: 'desk',
      slots: 8,
      workMs: WORK_MS,
    });
    await waitFor('requests at the endpoint', () => leaving.arrivals.length > 0);
    await leaving.drain();
    await delay(LEAVE_LIMIT_MS);
    const arrived = leaving.arrivals.length;
    await delay(1_000);
    assert.equal(leaving.arrivals.length, arrived);
    await load.stop();
    assert.deepEqual(load.failures, []);
  });

  it('applies a new table while its open connections to keepers drop all traffic', async () => {
    for (const proxy of deployment.listProxies('gateway-1')) proxy.blackhole();
    const path = await changeTable();
    const acceptedAt = performance.now();
    await waitFor('the new route', async () => (await tryGetStatus(1, path)) === 200);
    assert.ok(performance.now() - acceptedAt < CONVERGENCE_LIMIT_MS);
  });

  it('applies a new table while all open connections of keepers drop all traffic', async () => {
    for (const id of deployment.keeperIds) {
      for (const proxy of deployment.listProxies(id)) proxy.blackhole();
    }
    const path = await changeTable();
    const acceptedAt = performance.now();
    for (const gateway of [0, 1]) {
      await waitFor('the new route', async () => (await tryGetStatus(gateway, path)) === 200);
    }
    assert.ok(performance.now() - acceptedAt < CONVERGENCE_LIMIT_MS);
  });

  it('keeps serving, and stops, while nobody reads its output', async () => {
    deployment.getProcess('gateway-1').stopReading();
    // Each of these calls logs a line; together they exceed the pipe's capacity several times.
    const fill = async () => {
      for (let count = 0; count < UNREAD_OUTPUT_CALL_COUNT / CALLER_COUNT; count += 1) {
        assert.equal((await call(1, '/elsewhere/')).status, 404);
      }
    };
    await Promise.all(Array.from({ length: CALLER_COUNT }, fill));
    assert.equal((await call(1)).status, 200);
    const stopped = deployment.getProcess('gateway-1');
    stopped.signal('SIGTERM');
    await waitFor('the process to exit', () => !stopped.isRunning, drainLimitMs);
    assert.equal(stopped.exitCode, 0);
    deployment.restart('gateway-1');
    await waitUntilServing(1);
  });

  it('keeps its table while all keepers are killed, and the keepers keep what they accepted', async () => {
    const path = await changeTable();
    await waitFor('the new route', async () => (await tryGetStatus(0, path)) === 200);
    await Promise.all(deployment.keeperIds.map((id) => deployment.getProcess(id).kill()));
    assert.equal((await call(0, path)).status, 200);
    for (const id of deployment.keeperIds) deployment.restart(id);
    await waitFor(
      'a keeper to return the table',
      async () => (await deployment.tryReadRevision(0)) !== undefined,
    );
    assert.equal(await deployment.tryReadRevision(0), revision);
    assert.equal((await call(0, path)).status, 200);
  });

  it('serves soon after all processes were killed, and answers only 503 until then', async () => {
    const path = `/new-${revision}/1`;
    const ids = [...deployment.keeperIds, ...deployment.gatewayIds];
    await Promise.all(ids.map((id) => deployment.getProcess(id).kill()));
    for (const id of ids) deployment.restart(id);
    for (const gateway of [0, 1]) {
      await waitFor('the route to be served again', async () => {
        const status = await tryGetStatus(gateway, path);
        assert.ok(status === undefined || status === 503 || status === 200, `status ${status}`);
        return status === 200;
      });
    }
  });
});
