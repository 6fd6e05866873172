/** What callers' statements tell of their requests. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createWorkEstimator, estimateWork } from '../../../src/gateway/workEstimator.js';

describe('the estimate of work', () => {
  it('takes callers of somewhat less patience for new ones, and those far below for returning', () => {
    const estimate = createWorkEstimator();
    const route = { name: 'labels' };
    assert.equal(estimate.estimateWaitedMs(route, 3_000), 0);
    assert.equal(estimate.estimateWaitedMs(route, 2_500), 0);
    assert.equal(estimate.estimateWaitedMs(route, 1_800), 1_200);
    assert.equal(estimate.estimateWaitedMs(route, undefined), 0);
    assert.equal(estimate.estimateWaitedMs({ name: 'other' }, 1_000), 0);
  });

  it('sets a request against the mean of its pool', () => {
    const estimate = createWorkEstimator();
    const work = estimateWork({ tokens: { prompt: 3_500, output: 300 } });
    assert.equal(work, 400);
    assert.equal(estimate.recordWork('engines', work), 1);
    assert.ok(estimate.recordWork('engines', 40) < 0.2);
    assert.equal(estimate.recordWork('services', estimateWork({ tokens: undefined })), 0);
  });
});
