/** Heartbeats that another writer than an endpoint sends to a keeper, to real processes. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import { heartbeat, oddHeartbeats } from '../fixtures/oddHeartbeats.js';

const CALL_COUNT = 20;
/** Time in which a heartbeat reaches all gateways. */
const SPREAD_MS = 500;
describe('a heartbeat of another writer', () => {
  let deployment: GatewayDeployment;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: 8, workMs: 20 },
    ]);
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitServing();
  });

  after(() => deployment.stop());

  // One such heartbeat ended each gateway at its next request, or kept keepers from sending anything.
  it('ends no process and keeps no news of others back', async () => {
    const statuses = new Map<string, number>();
    for (const [index, [oddity, body]] of Object.entries(oddHeartbeats).entries()) {
      for (const keeper of deployment.keeperIds.keys()) {
        statuses.set(oddity, await deployment.postHeartbeat(keeper, `foreign-${index}`, body));
      }
    }
    const longId = 'x'.repeat(300);
    statuses.set('long id', await deployment.postHeartbeat(0, longId, JSON.stringify(heartbeat)));
    await checkServing('/work/1', 'old');
    assert.equal(await deployment.declare(createTableBody(2)), 200);
    await waitFor('the table to be in force', async () => {
      const answers = await Promise.all([0, 1].map((gateway) => tryCall(gateway)));
      return answers.every((status) => status === 200);
    });
    await deployment.startEndpoint({ id: 'desk-b', pool: 'desk', slots: 8, workMs: 20 });
    const [, added] = deployment.endpoints;
    await waitFor('calls at the new endpoint', async () => {
      await checkServing('/new-2/1', 'new');
      return (added?.arrivals.length ?? 0) > 0;
    });
    for (const id of [...deployment.keeperIds, ...deployment.gatewayIds]) {
      assert.equal(deployment.getProcess(id).isRunning, true, id);
    }
    for (const [oddity, status] of statuses) assert.equal(status, 400, oddity);
  });

  // The registry took the address and the id away from the endpoint, which then got no request.
  it('that names an unknown service takes no endpoint out of use', async () => {
    const [endpoint] = deployment.endpoints;
    const born = Date.now() + 60_000;
    const body = { ...heartbeat, service: 'unknown', address: endpoint?.address, born };
    for (const id of ['foreign', 'desk-a']) {
      assert.equal(await deployment.postHeartbeat(0, id, JSON.stringify(body)), 200);
    }
    const countBefore = endpoint?.arrivals.length ?? 0;
    await delay(SPREAD_MS);
    await checkServing('/work/1', 'unknown');
    assert.ok((endpoint?.arrivals.length ?? 0) > countBefore);
  });

  async function tryCall(gateway: number): Promise<number> {
    return (await deployment.call(gateway, '/new-2/1', `try-${gateway}`)).status;
  }

  /** Sends more calls at once than one endpoint has slots. */
  async function checkServing(path: string, prefix: string): Promise<void> {
    const calls = Array.from({ length: CALL_COUNT }, (_unused, number) =>
      deployment.call(number % 2, path, `${prefix}-${number}`),
    );
    const answers = await Promise.all(calls);
    assert.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
  }
});
