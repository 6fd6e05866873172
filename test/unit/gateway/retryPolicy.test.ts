/** Decisions after a failed attempt, and the budget that limits retries. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudget } from '../../../src/gateway/retryBudget.js';
import { decideNextStep, type FailedAttempt } from '../../../src/gateway/retryPolicy.js';
import type { AttemptFailure } from '../../../src/gateway/types.js';
import type { Route, RouteKind } from '../../../src/routing/types.js';

const unknown: AttemptFailure = { kind: 'unknown', reason: 'reset' };

function createRoute(kind: RouteKind, isResumable = false, maxAttempts = 2) {
  return { kind, isResumable, maxAttempts } satisfies Partial<Route>;
}

function decide(changes: Partial<FailedAttempt>): string {
  return decideNextStep({
    failure: unknown,
    route: createRoute('idempotent'),
    runCount: 1,
    attemptCount: 1,
    remainingMs: 1_000,
    isCommitted: false,
    ...changes,
  }).kind;
}

describe('the step after a failed attempt', () => {
  it('never retries a request that must run at most once and may have run', () => {
    assert.equal(decide({ route: createRoute('nonIdempotent') }), 'fail');
    assert.equal(decide({ route: createRoute('stream') }), 'fail');
  });

  it('retries an idempotent request up to the maximum attempts of its route', () => {
    assert.equal(decide({}), 'sendAgain');
    assert.equal(decide({ runCount: 2 }), 'fail');
  });

  it('resumes a resumable stream, but continues no response that only one endpoint can', () => {
    assert.equal(decide({ route: createRoute('stream', true) }), 'sendAgain');
    assert.equal(decide({ route: createRoute('stream', true), isCommitted: true }), 'fail');
    assert.equal(decide({ isCommitted: true }), 'fail');
  });

  it('retries a request of any kind that has certainly not run', () => {
    for (const failure of [
      { kind: 'notSent', reason: 'refused' },
      { kind: 'notRun', status: 503 },
    ] satisfies AttemptFailure[]) {
      const route = createRoute('nonIdempotent', false, 1);
      assert.equal(decide({ failure, route, runCount: 0 }), 'sendAgain');
      assert.equal(decide({ failure, route, runCount: 0, attemptCount: 6 }), 'refuse');
    }
  });

  it('reports that a request has not run only if no attempt may have run it', () => {
    const failure: AttemptFailure = { kind: 'notRun', status: 503 };
    assert.equal(decide({ failure, runCount: 1, attemptCount: 6 }), 'fail');
    assert.equal(decide({ failure, runCount: 0, remainingMs: 5 }), 'refuse');
  });
});

describe('the retry budget', () => {
  it('stays within the limits of all gateways in any window', () => {
    const limits = { ratio: 0.2, burst: 52, windowMs: 10_000 };
    for (const count of [1, 3, 11]) {
      let time = 0;
      const budgets = Array.from({ length: count }, () =>
        createRetryBudget(
          limits,
          () => time,
          () => count,
        ),
      );
      const taken: number[] = [];
      // 30 requests per second, each of which fails and asks for one retry.
      let requests = 0;
      for (; time < 60_000; time += 100) {
        for (let each = 0; each < 3; each += 1) {
          const budget = budgets[requests % count];
          requests += 1;
          budget?.recordRequest('pool');
          if (budget?.tryConsume('pool')) taken.push(time);
        }
      }
      for (const from of taken) {
        const inWindow = taken.filter((at) => at >= from && at < from + limits.windowMs).length;
        assert.ok(inWindow <= limits.ratio * 300 + limits.burst, `${count}: ${inWindow}`);
      }
      assert.ok(taken.length > 0.1 * requests, `${count} gateways use it: ${taken.length}`);
    }
  });

  it('allows the retries of a whole window at once, if several endpoints fail together', () => {
    let time = 0;
    const budget = createRetryBudget(
      { ratio: 0.2, burst: 52, windowMs: 10_000 },
      () => time,
      () => 11,
    );
    for (; time < 10_000; time += 50) budget.recordRequest('pool');
    let taken = 0;
    while (budget.tryConsume('pool')) taken += 1;
    // A fifth of 200 requests and a share of the burst are allowed; four fifths of both are used.
    assert.ok(taken >= 30, `${taken} retries`);
    assert.ok(taken <= 0.2 * 200 + 52 / 11, `${taken} retries`);
  });
});
