/** The scheduler applies rollouts: limits, fallbacks and streams that have begun. */

import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import type { Endpoint } from '../../../src/gateway/endpointTracker.js';
import {
  createScheduler,
  type PlacementRequest,
  type Scheduler,
} from '../../../src/gateway/scheduler.js';
import type { Rollout } from '../../../src/generated/keeper.js';
import { createTestEndpoint } from '../../fixtures/gatewayEndpoint.js';
import { createTestTracker } from '../../fixtures/gatewayTracker.js';
import { createRollout, ROLLOUT_POOL, startRouting } from '../../fixtures/rollouts.js';
import { createTestPlacement } from '../../fixtures/placementRequest.js';

describe('the placement during a rollout', () => {
  let scheduler: Scheduler | undefined;
  let results: string[] = [];
  let endpoints: Record<'v1' | 'v2', Endpoint>;
  let routing: ReturnType<typeof startRouting>['routing'];

  afterEach(() => scheduler?.close());

  function start(
    record: Partial<Rollout>,
    slots: { v1: number; v2: number },
    gateways = 1,
  ): Scheduler {
    const started = startRouting({ gateways });
    routing = started.routing;
    endpoints = { v1: createVersion('v1', slots.v1), v2: createVersion('v2', slots.v2) };
    results = [];
    routing.receive([createRollout(record)], true);
    scheduler = createScheduler({
      now: () => started.clock.now(),
      random: () => 0.5,
      isEngine: () => true,
      endpoints: createTestTracker({
        listUsable: () => Object.values(endpoints).filter(({ running }) => running < 100),
        hasReady: (_pool, version) => started.ready.includes(version),
      }),
      rollouts: routing,
    });
    return scheduler;
  }

  function createVersion(softwareVersion: 'v1' | 'v2', slots: number): Endpoint {
    const endpoint = createTestEndpoint({ id: softwareVersion, pool: ROLLOUT_POOL, slots });
    endpoint.announcement.softwareVersion = softwareVersion;
    return endpoint;
  }

  function createRequest(changes: Partial<PlacementRequest> = {}): PlacementRequest {
    return createTestPlacement({
      pool: ROLLOUT_POOL,
      slackMs: 500,
      // Such requests wait however long the queue is.
      wasInterrupted: true,
      onPlaced: ({ announcement }) => results.push(announcement.softwareVersion),
      onRefused: (reason) => results.push(reason),
      ...changes,
    });
  }

  async function submit(count: number, changes: Partial<PlacementRequest> = {}): Promise<void> {
    for (let index = 0; index < count; index += 1) scheduler?.submit(createRequest(changes));
    await Promise.resolve();
  }

  async function look(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) scheduler?.reevaluate();
    await Promise.resolve();
  }

  function countVersion(version: string): number {
    return results.filter((result) => result === version).length;
  }

  it('keeps to the share though the new version has most of the free slots', async () => {
    start({ share: 0.1 }, { v1: 90, v2: 900 });
    await submit(90);
    assert.equal(results.length, 90);
    assert.ok(Math.abs(countVersion('v2') - 9) <= 1, String(countVersion('v2')));
  });

  // The draw was made again at each look, every 50 ms, until it came out in favour of v2.
  it('does not draw again for a request that waits', async () => {
    start({ share: 0.05 }, { v1: 1, v2: 100 });
    await submit(11);
    const before = countVersion('v2');
    await look(200);
    assert.equal(countVersion('v2'), before);
    assert.ok(before <= 1, String(before));
  });

  it('serves requests drawn for the new version at the old one while the new one is full', async () => {
    start({ share: 0.5 }, { v1: 20, v2: 1 });
    await submit(20);
    assert.equal(results.length, 20);
    assert.equal(countVersion('v2'), 1);
    assert.equal(scheduler?.waitingCount, 0);
  });

  it('serves requests at the new version within its limit while the old one is full', async () => {
    start({ share: 0.5 }, { v1: 1, v2: 20 });
    for (let count = 1; count <= 20; count += 1) {
      await submit(1);
      await look(1);
      assert.ok(Math.abs(countVersion('v2') - 0.5 * count) <= 1, String(countVersion('v2')));
    }
    assert.equal(countVersion('v1'), 1);
  });

  it('does not hold up requests for the new version behind others that wait', async () => {
    start({ share: 0.5 }, { v1: 0, v2: 20 }, 25);
    await submit(1, { versionDraw: 'old' });
    assert.equal(scheduler?.waitingCount, 1);
    await submit(20);
    assert.ok(countVersion('v2') >= 9, String(countVersion('v2')));
  });

  it('does not hold up requests of the old version behind one that waits', async () => {
    start({ share: 1 }, { v1: 4, v2: 0 });
    await submit(3);
    assert.equal(scheduler?.waitingCount, 3);
    routing.receive([createRollout({ state: 'reverted', changedAt: 99 })], true);
    scheduler?.release(ROLLOUT_POOL);
    await Promise.resolve();
    assert.deepEqual(results, ['v1', 'v1', 'v1']);
  });

  it('gives the rejected version nothing, not even requests drawn for it before', async () => {
    start({ share: 1 }, { v1: 1, v2: 0 });
    await submit(2);
    routing.receive([createRollout({ state: 'reverted', changedAt: 99 })], true);
    endpoints.v2 = createVersion('v2', 10);
    scheduler?.reevaluate();
    await submit(2);
    assert.deepEqual(results, ['v1']);
  });

  it('gives the old version nothing after the rollout was completed', async () => {
    start({ state: 'completed', share: 1 }, { v1: 10, v2: 1 });
    await submit(3);
    assert.deepEqual(results, ['v2']);
  });

  it('keeps a stream at its version, also when that version loses', async () => {
    start({ state: 'completed', share: 1 }, { v1: 10, v2: 10 });
    await submit(2, { softwareVersion: 'v1' });
    assert.deepEqual(results, ['v1', 'v1']);
    scheduler?.close();
    start({ state: 'reverted' }, { v1: 10, v2: 10 });
    await submit(2, { softwareVersion: 'v2' });
    assert.deepEqual(results, ['v2', 'v2']);
  });

  it('counts continued streams against the share', async () => {
    start({ share: 0.5 }, { v1: 100, v2: 100 });
    await submit(10, { softwareVersion: 'v2' });
    await submit(18);
    assert.equal(countVersion('v2'), 10);
  });

  it('sends a retry to either version', async () => {
    start({ share: 0.5 }, { v1: 10, v2: 10 });
    routing.draw(ROLLOUT_POOL, undefined);
    routing.draw(ROLLOUT_POOL, undefined);
    await submit(1, { versionDraw: 'new', excluded: new Set(['v2']) });
    await submit(1, { versionDraw: 'old', excluded: new Set(['v1']) });
    assert.deepEqual(results, ['v1', 'v2']);
  });

  it('draws for requests that have waited since before the rollout', async () => {
    start({ pool: 'desk' }, { v1: 0, v2: 0 });
    await submit(10);
    endpoints.v2 = createVersion('v2', 10);
    routing.receive([createRollout({ share: 0.3 })], true);
    await look(50);
    assert.ok(results.length >= 2 && results.length <= 4, String(results.length));
  });
});
