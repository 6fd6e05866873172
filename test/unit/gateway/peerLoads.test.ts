/** What a gateway derives from the reports of the others. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createPeerLoads } from '../../../src/gateway/peerLoads.js';
import type { GatewayReport } from '../../../src/generated/control.js';

function createReport(gatewayId: string, running: number, unreadTokens: number): GatewayReport {
  const load = {
    endpointId: 'a',
    running,
    isOut: false,
    unreadTokens,
    rateStatement: undefined,
    pace: undefined,
    speed: undefined,
    slowdown: undefined,
  };
  return { gatewayId, incarnation: '1', loads: [load], uses: [], waiting: 0, versionOutcomes: [] };
}

describe('the loads of other gateways', () => {
  it('are added up over their newest reports, as long as these are recent', () => {
    const clock = new VirtualClock();
    const peerLoads = createPeerLoads(() => clock.now());
    peerLoads.apply(createReport('x', 9, 0));
    peerLoads.apply(createReport('x', 2, 0));
    clock.advance(1_000);
    peerLoads.apply(createReport('y', 3, 0));
    assert.equal(peerLoads.countRunning('a'), 5);
    assert.equal(peerLoads.countRunning('b'), 0);
    assert.deepEqual(peerLoads.countGateways(), { responsive: 3, known: 3 });
    clock.advance(600);
    assert.equal(peerLoads.countRunning('a'), 3);
    assert.deepEqual(peerLoads.countGateways(), { responsive: 2, known: 3 });
    clock.advance(29_000);
    assert.deepEqual(peerLoads.countGateways(), { responsive: 1, known: 2 });
  });

  it('count prompt tokens less what the endpoint has processed since the report', () => {
    const clock = new VirtualClock();
    const peerLoads = createPeerLoads(() => clock.now());
    peerLoads.apply(createReport('x', 1, 1_000));
    clock.advance(200);
    assert.equal(peerLoads.countUnreadTokens('a', 0.5), 600);
    assert.equal(peerLoads.countUnreadTokens('a', 0), 1_000);
    clock.advance(1_000);
    assert.equal(peerLoads.countUnreadTokens('a', 0.5), 0);
  });
});
