/** What callers' statements tell of their requests. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createWorkEstimate, getWork } from '../../../src/gateway/workEstimate.js';

describe('the estimate of work', () => {
  it('takes callers of somewhat less patience for new ones, and those far below for returning', () => {
    const estimate = createWorkEstimate();
    const route = { name: 'labels' };
    assert.equal(estimate.getWaitedMs(route, 3_000), 0);
    assert.equal(estimate.getWaitedMs(route, 2_500), 0);
    assert.equal(estimate.getWaitedMs(route, 1_800), 1_200);
    assert.equal(estimate.getWaitedMs(route, undefined), 0);
    assert.equal(estimate.getWaitedMs({ name: 'other' }, 1_000), 0);
  });

  it('sets a request against the mean of its pool', () => {
    const estimate = createWorkEstimate();
    const work = getWork({ tokens: { prompt: 3_500, output: 300 } });
    assert.equal(work, 400);
    assert.equal(estimate.noteWork('engines', work), 1);
    assert.ok(estimate.noteWork('engines', 40) < 0.2);
    assert.equal(estimate.noteWork('services', getWork({ tokens: undefined })), 0);
  });
});
