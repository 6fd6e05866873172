/** When an endpoint that has failed gets requests again, and which ones. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEndpointHealth } from '../../../src/gateway/endpointHealth.js';

const idle = { running: 0, isRetryable: true };
const busy = { running: 1, isRetryable: true };
const unrepeatable = { running: 0, isRetryable: false };

describe('health of an endpoint', () => {
  it('takes an endpoint out when no connection can be made', () => {
    const health = createEndpointHealth();
    assert.ok(health.isUsable(0, busy));
    health.recordUnreachable(0);
    assert.ok(health.isEjected);
    assert.ok(!health.isUsable(100, idle));
  });

  it('tries it with one request at a time until it answers', () => {
    const health = createEndpointHealth();
    health.recordUnreachable(0);
    assert.ok(health.isUsable(600, idle));
    assert.ok(!health.isUsable(600, busy));
    health.recordResponseData(700);
    assert.ok(health.isUsable(700, busy));
    assert.ok(!health.isEjected);
  });

  it('tries it with requests that may be repeated first', () => {
    const health = createEndpointHealth();
    health.recordUnreachable(0);
    assert.ok(!health.isUsable(600, unrepeatable));
    assert.ok(health.isUsable(1_600, unrepeatable));
  });

  it('stays out while earlier requests still answer, until its time is over', () => {
    const health = createEndpointHealth();
    for (let count = 0; count < 3; count += 1) health.recordBrokenResponse(0);
    health.recordResponseData(100);
    assert.ok(!health.isUsable(100, idle));
  });

  it('doubts an endpoint that another gateway has taken out', () => {
    const health = createEndpointHealth();
    health.recordRemoteEjection();
    assert.ok(!health.isEjected, 'only what was seen here is told on');
    assert.ok(health.isUsable(0, idle));
    assert.ok(!health.isUsable(0, busy));
    health.recordResponseData(10);
    assert.ok(health.isUsable(10, busy));
  });
});
