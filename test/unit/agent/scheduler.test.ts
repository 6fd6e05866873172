/** Tests the scheduler's handling of grants, with a fake endpoint that never answers. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { createFairness } from '../../../src/agent/fairness.js';
import { createPrefixCacheModel } from '../../../src/agent/prefixCacheModel.js';
import { createEndpointCapacity } from '../../../src/agent/endpointCapacity.js';
import { createScheduler } from '../../../src/agent/scheduler.js';
import type { Scheduler } from '../../../src/agent/schedulerTypes.js';
import { createSpeedEstimator } from '../../../src/agent/speedEstimator.js';
import type { AgentFrameBody } from '../../../src/agent/types.js';
import { VirtualClock } from '../../../src/common/clock.js';
import type { Dispatch, Reserve } from '../../../src/generated/dispatch.js';

const ENTRY = 'entry-0/1';

function createReserve(overrides: Partial<Reserve> = {}): Reserve {
  return {
    tierRank: 2,
    team: 'buyers',
    shedOrder: 0,
    promptTokens: 10,
    outputTokens: 10,
    usefulMs: 60_000,
    idempotent: true,
    prefixHash: '',
    digest: '',
    weight: 1,
    revision: 1,
    alone: false,
    ...overrides,
  };
}

function createFixture() {
  const clock = new VirtualClock(1_000);
  const sent: { requestId: string; body: AgentFrameBody }[] = [];
  const dispatched: string[] = [];
  const never = () => new Promise<never>(() => {});
  const speedEstimator = createSpeedEstimator(undefined);
  const state = { configRevision: 1 };
  const scheduler = createScheduler({
    client: {
      send(requestId) {
        dispatched.push(requestId);
        return never();
      },
      resume: never,
      cancel: () => Promise.resolve(),
      isHealthy: () => Promise.resolve(true),
      sendOrder: () => Promise.resolve(true),
      close: () => Promise.resolve(),
    },
    isEngine: true,
    now: () => clock.now(),
    wallTimeUs: () => 0,
    clock,
    logger: { event: () => {} },
    measures: { count: () => {}, gauge: () => {}, timing: () => {}, close: () => {} },
    frames: { send: (_entryKey, requestId, body) => sent.push({ requestId, body }) },
    incarnation: 'agent-1',
    capacity: createEndpointCapacity(1, 1_000, () => 1),
    speedEstimator,
    fairness: createFairness(),
    prefixCache: createPrefixCacheModel(1_000),
    speeds: undefined,
    slots: 1,
    disabledMechanisms: new Set(),
    hasLease: () => true,
    getConfigRevision: () => state.configRevision,
    isEndpointReady: () => true,
    isSuspect: () => false,
    onRunFailed: () => Promise.resolve(),
  });
  return { clock, sent, dispatched, scheduler, state };
}

describe('the scheduler of an agent', () => {
  let fixture: ReturnType<typeof createFixture>;
  let scheduler: Scheduler;

  beforeEach(() => {
    fixture = createFixture();
    ({ scheduler } = fixture);
  });

  afterEach(() => scheduler.stop());

  function findLastFrame<Case extends AgentFrameBody['$case']>(requestId: string, kind: Case) {
    const frame = fixture.sent.findLast(
      (candidate) => candidate.requestId === requestId && candidate.body.$case === kind,
    );
    return frame?.body as Extract<AgentFrameBody, { $case: Case }> | undefined;
  }

  function createDispatch(requestId: string, overrides: Partial<Dispatch> = {}): Dispatch {
    const grantId = findLastFrame(requestId, 'granted')?.value.grantId ?? '';
    return {
      grantId,
      incarnation: 'agent-1',
      method: 'POST',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      traceparent: '',
      revision: 1,
      ...overrides,
    };
  }

  async function reserve(requestId: string, overrides: Partial<Reserve> = {}): Promise<void> {
    scheduler.reserve(ENTRY, requestId, createReserve(overrides));
    await Promise.resolve();
  }

  it('dispatches once per grant, even when the dispatch arrives again', async () => {
    await reserve('a');
    const dispatch = createDispatch('a');
    scheduler.dispatch(ENTRY, 'a', dispatch);
    scheduler.dispatch(ENTRY, 'a', dispatch);
    assert.deepEqual(fixture.dispatched, ['a']);
    assert.equal(findLastFrame('a', 'finished'), undefined, 'a duplicate gets no "not run" answer');
  });

  it('answers "not run" to a dispatch whose grant has been reported as void', async () => {
    await reserve('a');
    const dispatch = createDispatch('a');
    scheduler.reportStatus(ENTRY, 'a', dispatch.grantId);
    assert.equal(findLastFrame('a', 'statusReport')?.value.outcome, 'voided');
    scheduler.dispatch(ENTRY, 'a', dispatch);
    assert.equal(findLastFrame('a', 'finished')?.value.outcome, 'not_run');
    assert.deepEqual(fixture.dispatched, []);
  });

  it('reports a grant as started after its run has been cancelled', async () => {
    await reserve('a');
    const dispatch = createDispatch('a');
    scheduler.dispatch(ENTRY, 'a', dispatch);
    scheduler.cancel('a');
    scheduler.reportStatus(ENTRY, 'a', dispatch.grantId);
    assert.equal(findLastFrame('a', 'statusReport')?.value.outcome, 'started');
  });

  it('refuses a dispatch that was decided under an older configuration', async () => {
    await reserve('a');
    fixture.state.configRevision = 2;
    scheduler.dispatch(ENTRY, 'a', createDispatch('a'));
    assert.equal(findLastFrame('a', 'finished')?.value.outcome, 'not_run');
    assert.deepEqual(fixture.dispatched, []);
  });

  it('grants by tier, and within a tier to the team that has received less service', async () => {
    const order: string[] = [];
    await reserve('first', { team: 'buyers' });
    await reserve('low', { tierRank: 3, team: 'drafts' });
    await reserve('same team', { tierRank: 1, team: 'buyers' });
    await reserve('other team', { tierRank: 1, team: 'weighers' });
    for (let count = 0; count < 4; count += 1) {
      const granted = fixture.sent.findLast(({ body }) => body.$case === 'granted');
      order.push(granted?.requestId ?? '');
      scheduler.withdraw(granted?.requestId ?? '');
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    assert.deepEqual(order, ['first', 'other team', 'same team', 'low']);
  });

  it('counts an answer that it resumed for an earlier incarnation in its own tier', () => {
    scheduler.attach(ENTRY, 'old', 0, createReserve({ tierRank: 2 }));
    assert.equal(scheduler.raiseFloor(1, 1_000), 1);
    assert.equal(scheduler.raiseFloor(2, 1_000), 0);
  });
});
