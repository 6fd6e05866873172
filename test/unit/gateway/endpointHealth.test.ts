/** When an endpoint that has failed gets requests again, and which ones. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEndpointHealth } from '../../../src/gateway/endpointHealth.js';

const idle = { running: 0, mayRepeat: true };
const busy = { running: 1, mayRepeat: true };
const unrepeatable = { running: 0, mayRepeat: false };

describe('health of an endpoint', () => {
  it('takes an endpoint out when no connection can be made', () => {
    const health = createEndpointHealth();
    assert.ok(health.isUsable(0, busy));
    health.noteUnreachable(0);
    assert.ok(health.isOut);
    assert.ok(!health.isUsable(100, idle));
  });

  it('tries it with one request at a time until it answers', () => {
    const health = createEndpointHealth();
    health.noteUnreachable(0);
    assert.ok(health.isUsable(600, idle));
    assert.ok(!health.isUsable(600, busy));
    health.noteHeard(700);
    assert.ok(health.isUsable(700, busy));
    assert.ok(!health.isOut);
  });

  it('tries it with requests that may be repeated first', () => {
    const health = createEndpointHealth();
    health.noteUnreachable(0);
    assert.ok(!health.isUsable(600, unrepeatable));
    assert.ok(health.isUsable(1_600, unrepeatable));
  });

  it('stays out while earlier requests still answer, until its time is over', () => {
    const health = createEndpointHealth();
    for (let count = 0; count < 3; count += 1) health.noteBroken(0);
    health.noteHeard(100);
    assert.ok(!health.isUsable(100, idle));
  });

  it('doubts an endpoint that another gateway has taken out', () => {
    const health = createEndpointHealth();
    health.noteOutElsewhere();
    assert.ok(!health.isOut, 'only what was seen here is told on');
    assert.ok(health.isUsable(0, idle));
    assert.ok(!health.isUsable(0, busy));
    health.noteHeard(10);
    assert.ok(health.isUsable(10, busy));
  });
});
