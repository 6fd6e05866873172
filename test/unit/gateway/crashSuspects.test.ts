/** Requests that crash endpoints are identified from the crash counts of all gateways. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashSuspects } from '../../../src/gateway/crashSuspects.js';

function createReport(crashes: { digest: string; crashes: number }[]) {
  return { gatewayId: 'b', incarnation: 'x', loads: [], uses: [], crashes, waiting: 0 };
}

describe('crash suspects', () => {
  it('are requests that were running during three crashes, counted over all gateways', () => {
    const suspects = createCrashSuspects(() => 0);
    suspects.recordCrash('d');
    suspects.applyReport(createReport([{ digest: 'd', crashes: 1 }]));
    assert.equal(suspects.isSuspect('d'), false);
    suspects.applyReport(createReport([{ digest: 'd', crashes: 2 }]));
    assert.equal(suspects.isSuspect('d'), true);
    assert.equal(suspects.isSuspect('e'), false);
  });

  it('expire after the retention time', () => {
    let time = 0;
    const suspects = createCrashSuspects(() => time);
    for (let count = 0; count < 3; count += 1) suspects.recordCrash('d');
    assert.equal(suspects.isSuspect('d'), true);
    time = 120_000;
    suspects.recordCrash('other');
    assert.equal(suspects.isSuspect('d'), false);
  });
});
