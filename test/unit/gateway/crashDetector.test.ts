/** Crashes of endpoints are told from responses that broke off for other reasons. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashDetector } from '../../../src/gateway/crashDetector.js';
import type { ProbeOutcome } from '../../../src/gateway/endpointClient.js';
import type { Call } from '../../../src/gateway/types.js';
import { createTestCall } from '../../fixtures/gatewayCall.js';
import { createTestEndpoint } from '../../fixtures/gatewayEndpoint.js';

function startDetector(outcome: ProbeOutcome) {
  const crashes: Call[][] = [];
  let probes = 0;
  const logged: object[] = [];
  const refusals: boolean[] = [];
  const endpoint = createTestEndpoint({
    id: 'a',
    pool: 'pool',
    slots: 1,
    probe() {
      probes += 1;
      return Promise.resolve(outcome);
    },
  });
  const detector = createCrashDetector({
    logger: { event: (_name, fields) => void logged.push(fields) },
    onCrash(_endpoint, interrupted, isRefused) {
      crashes.push(interrupted.map(({ call }) => call));
      refusals.push(isRefused);
    },
  });
  return { detector, endpoint, crashes, refusals, logged, getProbes: () => probes };
}

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('the crash detector', () => {
  it('probes an endpoint once for all responses that it broke off at a time', async () => {
    const { detector, endpoint, crashes, logged, getProbes } = startDetector('unanswered');
    const waiting = createTestCall({ id: 'x', sharedParts: ['p'] });
    const begun = createTestCall({ id: 'y' });
    detector.recordInterruption(endpoint, { call: waiting, hasBegun: false });
    detector.recordInterruption(endpoint, { call: begun, hasBegun: true });
    await settle();
    assert.deepEqual(crashes, [[waiting, begun]]);
    assert.equal(getProbes(), 1);
    const fields = { endpoint: 'a', bornAtMs: 1, interrupted: 2, notBegun: 'x', sharedParts: 'p' };
    assert.deepEqual(logged, [fields]);
  });

  it('counts no crash while the endpoint accepts connections', async () => {
    const { detector, endpoint, crashes } = startDetector('accepted');
    detector.recordInterruption(endpoint, { call: createTestCall({}), hasBegun: false });
    await settle();
    assert.deepEqual(crashes, []);
  });

  it('counts no crash if the gateway itself lacks what a connection needs', async () => {
    const { detector, endpoint, crashes, logged } = startDetector('notTried');
    detector.recordInterruption(endpoint, { call: createTestCall({}), hasBegun: false });
    await settle();
    assert.deepEqual(crashes, []);
    assert.deepEqual(logged, []);
  });

  it('takes the process for ended only if a connection is refused', async () => {
    for (const outcome of ['refused', 'unanswered'] as const) {
      const { detector, endpoint, refusals } = startDetector(outcome);
      detector.recordInterruption(endpoint, { call: createTestCall({}), hasBegun: false });
      await settle();
      assert.deepEqual(refusals, [outcome === 'refused']);
    }
  });
});
