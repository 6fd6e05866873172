/** Speeds and slowdowns of endpoints that gateways learn from each other. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createSharedSpeed } from '../../../src/gateway/sharedSpeed.js';
import { createVmSlowdown } from '../../../src/gateway/vmSlowdown.js';

const gateway = { gatewayId: 'a', incarnation: '1' };
const stream = { chunks: 11, elapsedMs: 500, longestPauseMs: 80, outputTokens: 100 };

describe('the speed that all gateways have seen', () => {
  // One of many gateways saw too few responses to tell slow engines from fast ones.
  it('includes what other gateways report, once', () => {
    const seen = createSharedSpeed();
    const heard = createSharedSpeed();
    seen.recordStream(stream);
    seen.recordFirstChunk(5_000, 50);
    const sums = seen.takeSums() ?? assert.fail('nothing to report');
    heard.applyPeer(gateway, sums);
    heard.applyPeer(gateway, sums);
    assert.equal(heard.chunkIntervalMs, 50);
    assert.equal(heard.pauseMs, 80);
    assert.equal(heard.outputTokenMs, 5);
    assert.equal(heard.promptTokenMs, 0.01);
    assert.equal(seen.takeSums(), undefined);
    seen.recordStream({ ...stream, elapsedMs: 5_000 });
    const before = heard.chunkIntervalMs;
    heard.applyPeer(gateway, seen.takeSums() ?? assert.fail('nothing to report'));
    assert.ok((heard.chunkIntervalMs ?? 0) > (before ?? 0));
  });

  // A gateway that had started again counted only once its sums exceeded those before.
  it('goes on with a gateway that starts again, also when that has seen as much as before', () => {
    const heard = createSharedSpeed();
    const first = createSharedSpeed();
    first.recordStream(stream);
    heard.applyPeer(gateway, first.takeSums() ?? assert.fail());
    const second = createSharedSpeed();
    second.recordStream({ ...stream, elapsedMs: 50_000 });
    const restarted = { ...gateway, incarnation: '2' };
    heard.applyPeer(restarted, second.takeSums() ?? assert.fail());
    assert.ok((heard.chunkIntervalMs ?? 0) > 500);
  });
});

describe('the slowdown of a VM', () => {
  it('is the newest statement to any gateway, for as long as it is recent', () => {
    const clock = new VirtualClock();
    const slowdown = createVmSlowdown(() => clock.now());
    assert.equal(slowdown.current, 1);
    clock.advance(1_000);
    slowdown.record(2.5);
    slowdown.applyPeer({ percent: 100, ageMs: 300 });
    assert.equal(slowdown.current, 2.5);
    assert.deepEqual(slowdown.takeStatement(), { percent: 250, ageMs: 0 });
    assert.equal(slowdown.takeStatement(), undefined);
    clock.advance(200);
    slowdown.applyPeer({ percent: 100, ageMs: 100 });
    assert.equal(slowdown.current, 1);
    slowdown.record(2);
    clock.advance(601);
    assert.equal(slowdown.current, 1);
  });
});
