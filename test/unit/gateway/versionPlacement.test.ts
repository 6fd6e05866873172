/** Streams that have begun go on only at the software version that began them. */

import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import type { Endpoint } from '../../../src/gateway/endpointTracker.js';
import {
  createScheduler,
  type PlacementRequest,
  type Scheduler,
} from '../../../src/gateway/scheduler.js';
import { createTestEndpoint } from '../../fixtures/gatewayEndpoint.js';
import { createTestTracker } from '../../fixtures/gatewayTracker.js';
import { createTestPlacement } from '../../fixtures/placementRequest.js';

const POOL = 'engines';

function createVersionEndpoint(softwareVersion: string, slots: number): Endpoint {
  const endpoint = createTestEndpoint({ id: softwareVersion, pool: POOL, slots });
  endpoint.announcement.softwareVersion = softwareVersion;
  return endpoint;
}

function startScheduler(endpoints: Endpoint[]): Scheduler {
  return createScheduler({
    now: () => performance.now(),
    random: Math.random,
    isEngine: () => true,
    endpoints: createTestTracker({
      listUsable: () => endpoints,
      hasReady: (_pool, version) =>
        endpoints.some(({ announcement }) => announcement.softwareVersion === version),
    }),
  });
}

/** Creates a request; what becomes of it is appended to `results`. */
function createRequest(
  softwareVersion: string | undefined,
  results: string[],
  wasInterrupted = softwareVersion !== undefined,
): PlacementRequest {
  return createTestPlacement({
    pool: POOL,
    arrivedAt: performance.now(),
    slackMs: 500,
    wasInterrupted,
    softwareVersion,
    onPlaced: ({ announcement }) => results.push(announcement.endpointId),
    onRefused: (reason) => results.push(reason),
  });
}

describe('the placement of streams that have begun', () => {
  let scheduler: Scheduler | undefined;

  afterEach(() => scheduler?.close());

  it('uses endpoints of their software version only, though others are free', async () => {
    scheduler = startScheduler([createVersionEndpoint('v1', 4), createVersionEndpoint('v2', 400)]);
    const results: string[] = [];
    for (let count = 0; count < 4; count += 1) scheduler.submit(createRequest('v1', results));
    await Promise.resolve();
    assert.deepEqual(results, ['v1', 'v1', 'v1', 'v1']);
  });

  it('does not hold up other requests while their software version is full', async () => {
    const full = createVersionEndpoint('v1', 1);
    const other = createVersionEndpoint('v2', 1);
    full.running = 1;
    other.running = 1;
    scheduler = startScheduler([full, other]);
    const results: string[] = [];
    scheduler.submit(createRequest('v1', results));
    scheduler.submit(createRequest('v1', results));
    scheduler.submit(createRequest(undefined, results, true));
    other.running = 0;
    scheduler.release(POOL);
    await Promise.resolve();
    assert.deepEqual(results, ['v2']);
  });

  it('is refused at once when no endpoint of their software version is left', () => {
    scheduler = startScheduler([createVersionEndpoint('v2', 4)]);
    const results: string[] = [];
    scheduler.submit(createRequest('v1', results));
    assert.deepEqual(results, ['versionGone']);
  });
});
