/** Estimates of work and of earlier waits, from what the request headers state. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createWorkEstimator, estimateWork } from '../../../src/gateway/workEstimator.js';

describe('the work estimator', () => {
  it('takes slightly shorter wait times for first tries and much shorter ones for retries', () => {
    const estimator = createWorkEstimator();
    const route = { name: 'labels' };
    assert.equal(estimator.estimateWaitedMs(route, 3_000), 0);
    assert.equal(estimator.estimateWaitedMs(route, 2_500), 0);
    assert.equal(estimator.estimateWaitedMs(route, 1_800), 1_200);
    assert.equal(estimator.estimateWaitedMs(route, undefined), 0);
    assert.equal(estimator.estimateWaitedMs({ name: 'other' }, 1_000), 0);
  });

  it('returns the work of a request relative to the mean of its pool', () => {
    const estimator = createWorkEstimator();
    const work = estimateWork({ tokens: { prompt: 3_500, output: 300 } });
    assert.equal(work, 400);
    assert.equal(estimator.recordWork('engines', work), 1);
    assert.ok(estimator.recordWork('engines', 40) < 0.2);
    assert.equal(estimator.recordWork('services', estimateWork({ tokens: undefined })), 0);
  });
});
