/** Endpoints state in their responses that they leave, or that they want no requests for a while. */

import assert from 'node:assert/strict';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import type { FakePlatformEndpoint } from '../fixtures/fakePlatformEndpoint.js';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import { startLoad, type Load } from '../fixtures/load.js';

/** Time after which an endpoint that leaves must get no new requests. */
const LEAVE_LIMIT_MS = 2_000;
const OBSERVED_MS = 1_500;
const REFUSING_S = 4;
/** Time after a refusal from which on requests to its endpoint count. */
const REFUSAL_LAG_MS = 500;
const MAX_SENDS_PER_GATEWAY = 2;

describe('an endpoint that states something in its responses', () => {
  let deployment: GatewayDeployment;
  let stating: FakePlatformEndpoint;
  let load: Load | undefined;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'sound', pool: 'desk', slots: 8, workMs: 10 },
    ]);
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitServing();
  });

  beforeEach(async () => {
    const id = `stating-${deployment.endpoints.length}`;
    stating = await deployment.startEndpoint({ id, pool: 'desk', slots: 8, workMs: 10 });
  });

  afterEach(async () => {
    load?.stop();
    await stating.close();
  });

  after(() => deployment.stop());

  function countArrivals(from: number): number {
    return stating.arrivedAt.filter((at) => at >= from).length;
  }

  it('gets no more requests when it says that it leaves, not from any gateway', async () => {
    load = startLoad(deployment, [0, 1]);
    await waitFor('requests at the endpoint', () => stating.arrivals.length > 20);
    load.stop();
    stating.startLeaving();
    // Only one gateway hears of it.
    load = startLoad(deployment, [0]);
    await delay(LEAVE_LIMIT_MS);
    load.stop();
    const from = performance.now();
    load = startLoad(deployment, [0, 1]);
    await delay(OBSERVED_MS);
    assert.equal(countArrivals(from), 0);
  });

  it('gets no more requests for as long as it wants when it turns one away', async () => {
    load = startLoad(deployment, [0, 1]);
    await waitFor('requests at the endpoint', () => stating.arrivals.length > 20);
    const from = performance.now();
    stating.startRefusing(REFUSING_S);
    await delay(REFUSING_S * 1_000);
    const allowed = deployment.gatewayIds.length * MAX_SENDS_PER_GATEWAY;
    const arrivals = countArrivals(from + REFUSAL_LAG_MS);
    assert.ok(arrivals <= allowed, `${arrivals} requests`);
  });
});
