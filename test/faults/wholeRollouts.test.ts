/** Rollouts by order through real keepers and gateways, with callers all the time. */

import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

const settings = { maxShare: 0.1, maxExcess: 50, revertMs: 5_000 };
const DURATION_S = 12;
const CALL_INTERVAL_MS = 12;
const HEARTBEAT_INTERVAL_MS = 400;

/** An endpoint of the new version, which answers with this status. */
async function startNewVersion(deployment: GatewayDeployment, pool: string, status: number) {
  let arrived = 0;
  const server: Server = createServer((call, response) => {
    arrived += 1;
    response.writeHead(status, {
      'Turmericrack-Attempt-Id': call.headers['turmericrack-attempt-id'] ?? '',
      'Turmericrack-Response-Signature': '3e1b.07.5a2',
    });
    response.end('answer');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  const born = Date.now();
  let seq = 0;
  const announce = (): void => {
    seq += 1;
    const body = {
      service: pool,
      address: `127.0.0.1:${port}`,
      zone: 'local',
      version: 'v2',
      capacity: 20,
      state: 'ready',
      warmupLeftMs: 0,
      seq,
      born,
    };
    void deployment.postHeartbeat(0, `${pool}-2`, JSON.stringify(body));
  };
  announce();
  const timer = setInterval(announce, HEARTBEAT_INTERVAL_MS);
  return {
    get arrived() {
      return arrived;
    },
    close() {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

describe('a rollout by order', () => {
  let deployment: GatewayDeployment;
  let isCalling = false;
  let called = 0;

  before(async () => {
    const endpoint = { slots: 20, workMs: 5 };
    deployment = await createGatewayDeployment(
      [
        { ...endpoint, id: 'good-1', pool: 'good' },
        { ...endpoint, id: 'bad-1', pool: 'bad' },
      ],
      { rollout: settings },
    );
    const table = createTableBody(1);
    const [route] = table.routes as object[];
    const [service] = table.services as object[];
    const names = ['good', 'bad'];
    const routes = names.map((name) => ({
      ...route,
      name,
      pathPrefix: `/${name}/`,
      service: name,
    }));
    const services = names.map((name) => ({ ...service, name }));
    assert.equal(await deployment.declare({ ...table, routes, services }), 200);
    await deployment.waitReady();
  });

  after(async () => {
    isCalling = false;
    await deployment.stop();
  });

  async function callAllTheTime(pool: string): Promise<void> {
    isCalling = true;
    while (isCalling) {
      called += 1;
      const id = `${pool}-${called}`;
      void deployment.call(called % 2, `/${pool}/1`, id).catch(() => {});
      await delay(CALL_INTERVAL_MS);
    }
  }

  async function order(pool: string): Promise<void> {
    const url = `http://${deployment.getControlAddress(1)}/turmericrack/rollouts/begin`;
    const body = JSON.stringify({ service: pool, to: 'v2', durationS: DURATION_S });
    await waitFor('the order', async () => {
      const response = await request(url, { method: 'POST', body });
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  async function readState(pool: string): Promise<string> {
    const url = `http://${deployment.getControlAddress(2)}/turmericrack/rollouts/${pool}/read`;
    const response = await request(url);
    return ((await response.body.json()) as { state: string }).state;
  }

  /** Waits until the rollout has ended, and returns its state and the requests that were sent. */
  async function runRollout(pool: string): Promise<{ state: string; sent: number }> {
    void callAllTheTime(pool);
    await delay(1_000);
    await order(pool);
    const calledBefore = called;
    await waitFor('the end', async () => (await readState(pool)) !== 'in_progress');
    return { state: await readState(pool), sent: called - calledBefore };
  }

  // Keepers and gateways were built and tested apart from each other.
  it('moves all requests to a good version by its deadline', async () => {
    const version = await startNewVersion(deployment, 'good', 200);
    const { state } = await runRollout('good');
    assert.equal(state, 'completed');
    const [old] = deployment.endpoints;
    await delay(500);
    const oldArrivals = old?.arrivals.length;
    const newArrivals = version.arrived;
    await delay(1_000);
    assert.equal(old?.arrivals.length, oldArrivals, 'nothing more to the old version');
    assert.ok(version.arrived > newArrivals);
    isCalling = false;
    version.close();
  });

  it('is reverted if the new version fails, after few requests', async () => {
    const version = await startNewVersion(deployment, 'bad', 500);
    const { state, sent } = await runRollout('bad');
    assert.equal(state, 'reverted');
    assert.ok(version.arrived <= settings.maxShare * sent + settings.maxExcess);
    await delay(500);
    const arrivals = version.arrived;
    await delay(1_000);
    assert.equal(version.arrived, arrivals, 'nothing more to the reverted version');
    isCalling = false;
    version.close();
  });
});
