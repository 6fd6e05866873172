/** Where a stream that a caller takes up may go on. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideContinuation, isContinuation } from '../../../src/gateway/streamContinuation.js';
import { createTestRoute } from '../../fixtures/gatewayCall.js';
import { createTestOrigin } from '../../fixtures/streamOrigin.js';

const split = createTestRoute({
  targets: [
    { pool: 'engines', weight: 10 },
    { pool: 'others', weight: 90 },
  ],
});

describe('a stream that a caller takes up', () => {
  it('goes on in the pool and at the version where it began, whatever the weights', () => {
    assert.deepEqual(decideContinuation(createTestOrigin('a'), split), {
      kind: 'possible',
      pool: 'engines',
      softwareVersion: 'v1',
    });
  });

  it('is refused as not run if its origin is unknown', () => {
    const continuation = decideContinuation(undefined, split);
    assert.ok(continuation.kind === 'refused' && continuation.reply.status === 503);
  });

  it('is refused if its route no longer leads to its pool', () => {
    const { targets } = createTestRoute({ targets: [{ pool: 'others', weight: 1 }] });
    assert.equal(decideContinuation(createTestOrigin('a'), { targets }).kind, 'refused');
  });

  it('is told from new streams, and from requests of routes that are not resumable', () => {
    const taken = { resumeAfter: '3', resumedCallId: 'a' };
    assert.ok(isContinuation(taken, split));
    assert.ok(!isContinuation({ resumeAfter: undefined, resumedCallId: undefined }, split));
    assert.ok(!isContinuation(taken, createTestRoute({ isResumable: false })));
  });
});
