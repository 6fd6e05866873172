/** Endpoints state how many requests a second they take from all gateways together. */

import assert from 'node:assert/strict';
import { after, afterEach, before, describe, it } from 'node:test';
import { countMostInWindow } from '../fixtures/arrivals.js';
import { delay, waitFor } from '../fixtures/deployment.js';
import type { FakePlatformEndpoint } from '../fixtures/fakePlatformEndpoint.js';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import { startLoad, type Load } from '../fixtures/load.js';

const MAX_RATE = 4;
const WORK_MS = 10;
/** Time within which all gateways must know what one of them has learned. */
const CONTACT_LIMIT_MS = 3_000;
const WINDOW_MS = 4_000;
const OBSERVED_MS = 6_000;
/** Requests in one window that must not be exceeded. */
const MAX_ARRIVALS = 1.5 * MAX_RATE * (WINDOW_MS / 1_000) + 5;
/** Requests that the endpoint is ready to take and that callers want, in `OBSERVED_MS`. */
const MIN_ARRIVALS = 0.7 * MAX_RATE * (OBSERVED_MS / 1_000);

describe('requests to an endpoint that limits them', () => {
  let deployment: GatewayDeployment;
  let load: Load | undefined;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'limited', pool: 'desk', slots: 8, workMs: WORK_MS, maxRequestRate: MAX_RATE },
      { id: 'free', pool: 'desk', slots: 8, workMs: WORK_MS },
    ]);
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitServing();
  });

  afterEach(() => load?.stop());

  after(() => deployment.stop());

  function getEndpoint(id: string): FakePlatformEndpoint {
    const endpoint = deployment.endpoints.find((each) => each.id === id);
    assert.ok(endpoint !== undefined);
    return endpoint;
  }

  it('stay within its limit over all gateways, and still use it', async () => {
    const limited = getEndpoint('limited');
    load = startLoad(deployment, [0, 1]);
    await waitFor('requests at the endpoint', () => limited.arrivals.length > 0);
    await delay(CONTACT_LIMIT_MS);
    const from = performance.now();
    await delay(OBSERVED_MS);
    const most = countMostInWindow(limited.arrivedAt, WINDOW_MS, from);
    assert.ok(most <= MAX_ARRIVALS, `${most} arrivals`);
    const all = limited.arrivedAt.filter((at) => at >= from).length;
    assert.ok(all >= MIN_ARRIVALS, `only ${all} arrivals`);
  });

  it('stay within its limit while a gateway restarts', async () => {
    const limited = getEndpoint('limited');
    load = startLoad(deployment, [0, 1]);
    const from = performance.now();
    await deployment.getProcess('gateway-0').kill();
    deployment.restart('gateway-0');
    await delay(OBSERVED_MS);
    const most = countMostInWindow(limited.arrivedAt, WINDOW_MS, from);
    assert.ok(most <= MAX_ARRIVALS, `${most} arrivals`);
  });
});
