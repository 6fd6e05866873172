/** Ejection of failing endpoints, and which requests probe them afterwards. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEndpointHealth } from '../../../src/gateway/endpointHealth.js';

const idle = { running: 0, isRetryable: true };
const busy = { running: 1, isRetryable: true };
const notRetryable = { running: 0, isRetryable: false };

describe('endpoint health', () => {
  it('ejects an endpoint when no connection can be made', () => {
    const health = createEndpointHealth();
    assert.ok(health.isUsable(0, busy));
    health.recordUnreachable(0);
    assert.ok(health.isEjected);
    assert.ok(!health.isUsable(100, idle));
  });

  it('probes with one request at a time until the endpoint responds', () => {
    const health = createEndpointHealth();
    health.recordUnreachable(0);
    assert.ok(health.isUsable(600, idle));
    assert.ok(!health.isUsable(600, busy));
    health.recordResponseData(700);
    assert.ok(health.isUsable(700, busy));
    assert.ok(!health.isEjected);
  });

  it('uses no endpoint that has crashed until it would have announced itself again', () => {
    const health = createEndpointHealth();
    health.recordCrash(0);
    assert.ok(!health.isUsable(3_900, idle));
    assert.ok(health.isUsable(4_000, idle));
  });

  it('takes an endpoint where nothing listens for one that has crashed', () => {
    const health = createEndpointHealth();
    health.recordUnreachable(0, true);
    assert.ok(!health.isUsable(3_900, idle));
    assert.ok(health.isUsable(4_000, idle));
  });

  it('probes with retryable requests first', () => {
    const health = createEndpointHealth();
    health.recordUnreachable(0);
    assert.ok(!health.isUsable(600, notRetryable));
    assert.ok(health.isUsable(1_600, notRetryable));
  });

  it('keeps an endpoint ejected for the full time even if earlier requests still respond', () => {
    const health = createEndpointHealth();
    for (let count = 0; count < 3; count += 1) health.recordBrokenResponse(0);
    health.recordResponseData(100);
    assert.ok(!health.isUsable(100, idle));
  });

  it('puts an endpoint on probation that another gateway has ejected', () => {
    const health = createEndpointHealth();
    health.recordRemoteEjection();
    assert.ok(!health.isEjected, 'only ejections by this gateway are reported to others');
    assert.ok(health.isUsable(0, idle));
    assert.ok(!health.isUsable(0, busy));
    health.recordResponseData(10);
    assert.ok(health.isUsable(10, busy));
  });
});
