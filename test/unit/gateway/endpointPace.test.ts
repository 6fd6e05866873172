/** Endpoints that start, recover or slow down under load from many gateways, in virtual time. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createEndpointPace, type EndpointPaceHost } from '../../../src/gateway/endpointPace.js';
import type { PaceReport } from '../../../src/generated/control.js';
import { simulatePace, SLOTS, type PaceScenario } from '../../fixtures/paceSimulation.js';

const SEEDS = [1, 2, 3, 4, 5];
const DURATION_MS = 12_000;
const VM_INTERVAL_MS = 600;
/** Intervals in which other work on the VM slows the endpoint down: a sixth of all. */
const SLOWED_INTERVALS = [1, 5, 9, 12, 17];

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

type SimulationResult = ReturnType<typeof simulatePace>;

/** Runs a scenario with all seeds. */
function simulateAll(scenario: Omit<PaceScenario, 'seed' | 'durationMs'>): SimulationResult[] {
  return SEEDS.map((seed) => simulatePace({ seed, durationMs: DURATION_MS, ...scenario }));
}

/** Mean number of the slots that are idle beside waiting requests, from one time to another. */
function getIdle({ steps }: SimulationResult, from: number, to = DURATION_MS): number {
  const within = steps.filter(({ time }) => time >= from && time < to);
  return getMean(within.map(({ occupancy }) => Math.max(0, SLOTS - occupancy)));
}

function getAllowance({ steps }: SimulationResult, at: number): number {
  return getMean(steps.find(({ time }) => time >= at)?.allowances ?? []);
}

function countFrom(times: readonly number[], from: number, to = DURATION_MS): number {
  return times.filter((time) => time >= from && time < to).length;
}

function countDone({ sent, rejected }: SimulationResult): number {
  return sent.length - rejected.length;
}

function sumOf(results: SimulationResult[], count: (result: SimulationResult) => number): number {
  return results.reduce((sum, result) => sum + count(result), 0);
}

function createPace(changes: Partial<EndpointPaceHost> = {}) {
  const clock = new VirtualClock();
  const pace = createEndpointPace({
    now: () => clock.now(),
    random: () => 0,
    bornAtMs: 1,
    slots: SLOTS,
    isNew: true,
    isWarming: false,
    wantedSince: () => 0,
    isServingOthers: () => false,
    onLimited() {},
    onFull() {},
    ...changes,
  });
  return { clock, pace };
}

function createReport(changes: Partial<PaceReport>): PaceReport {
  const counts = { good: 0, recentGood: 0, recentBad: 0, serving: 0 };
  return { bornAtMs: 1, round: 1, start: 4, allowance: 4, ...counts, isWanted: true, ...changes };
}

const ALONE = { responsive: 1, known: 1 };

describe('an endpoint that starts under load', () => {
  const paced = simulateAll({});
  const unpaced = simulateAll({ isPaced: false });

  it('gets no burst of requests from 25 gateways', () => {
    const sent = (result: SimulationResult): number => countFrom(result.sent, 0, 1_000);
    assert.ok(sumOf(paced, sent) <= 0.5 * sumOf(unpaced, sent), `${sumOf(paced, sent)} sent`);
    const rejected = (result: SimulationResult): number => countFrom(result.rejected, 0, 1_000);
    const rejections = [paced, unpaced].map((results) => sumOf(results, rejected));
    assert.ok(rejections[0]! <= 0.1 * rejections[1]!, `${String(rejections)} rejected`);
    const late = (result: SimulationResult): number => countFrom(result.late, 0, 1_000);
    assert.ok(sumOf(paced, late) <= sumOf(unpaced, late));
  });

  it('has its full slots after about a second, and no less done in the end', () => {
    for (const result of paced) {
      assert.ok(getAllowance(result, 1_200) > SLOTS - 0.5, `${getAllowance(result, 1_200)}`);
      assert.ok(getIdle(result, 1_000) <= 1, `${getIdle(result, 1_000)} idle`);
    }
    assert.ok(sumOf(paced, countDone) >= 0.95 * sumOf(unpaced, countDone));
  });

  it('is not left idle if only one of 25 gateways has requests waiting', () => {
    for (const result of simulateAll({ busy: 1 })) {
      assert.ok(getIdle(result, 2_000) <= 2, `${getIdle(result, 2_000)} idle`);
    }
  });

  it('is not left idle beside a queue however slow its responses are', () => {
    for (const result of simulateAll({ getSlowness: () => 30 })) {
      const isIdle = ({ time, occupancy }: { time: number; occupancy: number }): boolean =>
        time >= 1_000 && occupancy === 0;
      assert.equal(result.steps.filter(isIdle).length, 0);
    }
  });

  it('gets what it can serve while it warms up, and its slots soon afterwards', () => {
    const getSlowness = (time: number): number => (time < 4_000 ? 8 : 1);
    const warming = simulateAll({ getSlowness });
    const all = simulateAll({ getSlowness, isPaced: false });
    const late = (result: SimulationResult): number => result.late.length;
    assert.ok(sumOf(warming, late) <= 0.5 * sumOf(all, late), `${sumOf(warming, late)} late`);
    const rejected = (result: SimulationResult): number => result.rejected.length;
    assert.ok(sumOf(warming, rejected) <= 0.5 * sumOf(all, rejected));
    assert.ok(sumOf(warming, countDone) >= 0.95 * sumOf(all, countDone));
    for (const result of warming) {
      assert.ok(getIdle(result, 4_500) <= 1, `${getIdle(result, 4_500)} idle`);
    }
  });

  it('starts lower if it announces that it warms up, which later gateways follow', () => {
    const { pace } = createPace({ isWarming: true });
    const { pace: later } = createPace();
    assert.ok(pace.allowance < later.allowance);
    later.applyPeer('first', pace.report);
    assert.equal(later.allowance, pace.allowance);
  });
});

describe('an endpoint that returns', () => {
  it('from an ejection starts with a small allowance over all gateways', () => {
    const results = simulateAll({
      isNew: false,
      onStep(time, { gateways, breakAll }) {
        if (time === 4_000) {
          breakAll();
          // Under load each gateway has had requests there.
          for (const { pace } of gateways) pace.recordEjection();
        }
        for (const gateway of gateways) gateway.isPaused = time >= 4_000 && time < 4_500;
      },
    });
    for (const result of results) {
      assert.ok(
        countFrom(result.sent, 4_500, 4_700) <= SLOTS,
        `${countFrom(result.sent, 4_500, 4_700)} sent at once`,
      );
      assert.ok(getAllowance(result, 4_800) < SLOTS);
      assert.ok(getAllowance(result, 6_000) > SLOTS - 0.5);
      assert.ok(getIdle(result, 6_000) <= 1, `${getIdle(result, 6_000)} idle`);
    }
  });

  it('at one gateway only, whose link failed, is not limited', () => {
    for (const isServingOthers of [true, false]) {
      const { clock, pace } = createPace({ isNew: false, isServingOthers: () => isServingOthers });
      pace.recordEjection();
      clock.advance(500);
      assert.equal(pace.canPlace(0, ALONE), true);
      assert.equal(pace.allowance === SLOTS, isServingOthers);
    }
  });

  it('as another incarnation starts anew, whatever is reported of the one before', () => {
    const results = simulateAll({
      onStep(time, { gateways, createGateway, breakAll }) {
        if (time === 4_000) breakAll();
        // The announcement reaches the gateways one after the other.
        for (const [index, gateway] of gateways.entries()) {
          const learnsAt = 4_000 + 10 * index;
          if (time === learnsAt) gateway.pace = createGateway(true, { bornAtMs: 2, index }).pace;
          gateway.isPaused = time >= 4_000 && time < learnsAt;
        }
      },
    });
    for (const result of results) {
      assert.ok(getAllowance(result, 4_300) < 0.75 * SLOTS);
      assert.ok(getAllowance(result, 5_700) > SLOTS - 0.5, `${getAllowance(result, 5_700)}`);
    }
    const { pace } = createPace({ bornAtMs: 2 });
    const before = pace.allowance;
    pace.applyPeer('other', createReport({ bornAtMs: 1, round: 7, allowance: SLOTS }));
    assert.equal(pace.allowance, before);
  });
});

describe('an endpoint that has served well for long', () => {
  const getSlowness = (time: number): number =>
    SLOWED_INTERVALS.includes(Math.floor(time / VM_INTERVAL_MS)) ? 2.5 : 1;

  it('gets exactly what it gets without a pace while nothing is late', () => {
    const [paced, unpaced] = [true, false].map((isPaced) => simulateAll({ isNew: false, isPaced }));
    assert.deepEqual(
      paced?.map(({ sent }) => sent),
      unpaced?.map(({ sent }) => sent),
    );
  });

  it('loses no capacity to very long prompts and a VM that slows it for 600 ms', () => {
    const scenario = { isNew: false, getSlowness, longPromptIntervalMs: 2_000 };
    const paced = simulateAll(scenario);
    const unpaced = simulateAll({ ...scenario, isPaced: false });
    assert.ok(sumOf(paced, countDone) >= 0.98 * sumOf(unpaced, countDone));
    const late = (result: SimulationResult): number => result.late.length;
    assert.ok(sumOf(paced, late) > 0, 'some are late');
    assert.ok(sumOf(paced, late) <= sumOf(unpaced, late));
  });

  it('is not limited by two short times of late responses with a break between them', () => {
    const { clock, pace } = createPace({ isNew: false });
    for (const breakMs of [2_000, 0]) {
      for (let late = 0; late < SLOTS; late += 1) pace.recordLatePause(clock.now());
      assert.equal(pace.allowance, SLOTS);
      clock.advance(breakMs);
    }
  });

  it('is limited once most of its responses are late for longer than that, and recovers', () => {
    const events: string[] = [];
    const { clock, pace } = createPace({
      isNew: false,
      onLimited: (_allowance, reason) => events.push(reason),
      onFull: () => events.push('full'),
    });
    for (let time = 0; time < 2_000; time += 100) {
      for (let late = 0; late < 2; late += 1) pace.recordLatePause(clock.now());
      if (time === 1_400) assert.equal(pace.allowance, SLOTS, 'not yet');
      clock.advance(100);
    }
    assert.ok(pace.allowance < SLOTS);
    clock.advance(1_000);
    for (let good = 0; good < SLOTS; good += 1) pace.recordFirstEvent(100, 100, clock.now());
    assert.equal(pace.allowance, SLOTS);
    assert.deepEqual(events, ['responses', 'full'], 'one event each');
  });
});

describe('a limited allowance', () => {
  it('falls at once, and once for all requests sent before', () => {
    const { clock, pace } = createPace();
    for (let good = 0; good < 6; good += 1) pace.recordFirstEvent(100, 100, 0);
    assert.equal(pace.allowance, 10);
    clock.advance(1_000);
    pace.recordFailure(clock.now());
    assert.equal(pace.allowance, 5);
    clock.advance(10);
    pace.recordFailure(500);
    assert.equal(pace.allowance, 5, 'a request sent before the cut');
    pace.recordFailure(clock.now());
    assert.equal(pace.allowance, 2.5);
  });

  it('is one over all gateways, without reports older than 1,500 ms', () => {
    const { clock, pace } = createPace();
    pace.applyPeer('a', createReport({ good: 2 }));
    assert.equal(pace.allowance, 6);
    clock.advance(1_501);
    pace.applyPeer('b', createReport({ good: 3 }));
    assert.equal(pace.allowance, 7, 'what b has seen, not what a saw long ago');
  });

  it('is left in part to gateways that have become silent', () => {
    const { pace } = createPace({ random: () => 0.5 });
    assert.equal(pace.canPlace(0, { responsive: 1, known: 25 }), false);
    assert.equal(pace.canPlace(0, ALONE), true);
  });

  it('is taken over by a gateway that joins in the middle', () => {
    for (const seed of SEEDS) {
      simulatePace({
        seed,
        durationMs: 1_000,
        getSlowness: () => 8,
        onStep(time, { gateways, createGateway }) {
          if (time === 500) gateways.push(createGateway(false));
          if (time < 800) return;
          const allowances = gateways.map(({ pace }) => pace.allowance);
          const joined = allowances.pop() ?? 0;
          assert.ok(joined <= Math.max(...allowances) + 1, `${joined} at ${time}`);
        },
      });
    }
  });

  it('stays as others have raised it when they are lost', () => {
    const { clock, pace } = createPace();
    pace.applyPeer('a', createReport({ allowance: 9 }));
    assert.equal(pace.allowance, 9, 'taken over');
    clock.advance(1_501);
    pace.applyPeer('b', createReport({}));
    assert.equal(pace.allowance, 9);
  });

  it('does not rise while requests wait inside the endpoint', () => {
    const { pace } = createPace();
    pace.recordQueue(1);
    pace.recordFirstEvent(100, 100, 0);
    assert.equal(pace.allowance, 4);
  });
});
