/** Placement at engines of uneven speed that read long prompts beside their streams. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LatencyPlacement } from '../../../src/gateway/latencyPlacement.js';
import type { Candidate, PlacementDemand } from '../../../src/gateway/placement.js';

const policy = new LatencyPlacement();
const LONG_TOKENS = 20_000;

/** An engine of this relative speed, of which one with the speed 1 reads 100 prompt tokens in 1 ms. */
function createEngine(speed: number, changes: Partial<Candidate<string>> = {}): Candidate<string> {
  return {
    endpoint: 'engine',
    occupancy: 4,
    slots: 12,
    chunkIntervalMs: 30 / speed,
    unreadTokens: 0,
    promptTokenMs: 0.01 / speed,
    outputTokenMs: 4 / speed,
    pauseMs: 60 / speed,
    slowdown: 1,
    isLocal: true,
    ...changes,
  };
}

function createDemand(changes: Partial<PlacementDemand> = {}): PlacementDemand {
  return {
    relativeWork: 1,
    promptTokens: 600,
    outputTokens: 300,
    objectiveMs: 600,
    pauseObjectiveMs: 300,
    remainingMs: 10_000,
    ...changes,
  };
}

/** Returns the index of the candidate with the lowest cost. */
function choose(candidates: readonly Candidate<string>[], demand = createDemand()): number {
  const costs = policy.getCosts(candidates, demand);
  return costs.indexOf(Math.min(...costs));
}

describe('placement by expected latency', () => {
  // A long prompt made the streams of the least loaded engine late, however slow that was.
  it('sends a long prompt to a fast engine with more load', () => {
    const engines = [createEngine(0.5, { occupancy: 3 }), createEngine(3, { occupancy: 8 })];
    assert.equal(choose(engines, createDemand({ promptTokens: LONG_TOKENS })), 1);
  });

  it('sends a long prompt where no streams would wait for it rather than among them', () => {
    const engines = [createEngine(1, { occupancy: 9 }), createEngine(1, { occupancy: 0 })];
    assert.equal(choose(engines, createDemand({ promptTokens: LONG_TOKENS })), 1);
  });

  // Two long prompts at one engine pause its streams for longer than one after the other elsewhere.
  it('keeps long prompts apart from each other', () => {
    const engines = [
      createEngine(1, { unreadTokens: LONG_TOKENS, occupancy: 5 }),
      createEngine(1, { occupancy: 6 }),
    ];
    assert.equal(choose(engines, createDemand({ promptTokens: LONG_TOKENS })), 1);
  });

  it('avoids an engine that its VM slows down while that lasts', () => {
    const slowed = createEngine(1, { slowdown: 2.5 });
    assert.equal(choose([slowed, createEngine(1)]), 1);
    assert.equal(choose([createEngine(1), slowed]), 0);
  });

  // Streams paused at engines whose past streams had all paused, as only the first event counted.
  it('avoids an engine whose streams pause for longer than the route allows', () => {
    assert.equal(choose([createEngine(1, { pauseMs: 400 }), createEngine(1, { occupancy: 8 })]), 1);
  });

  it('does not begin where the response cannot end before its caller leaves', () => {
    const demand = createDemand({ outputTokens: 2_500, relativeWork: 1, remainingMs: 12_000 });
    const engines = [createEngine(0.5, { occupancy: 0 }), createEngine(1.5, { occupancy: 10 })];
    assert.equal(choose(engines, demand), 1);
  });

  it('prefers the own failure domain among equals, and gives it up for less lateness', () => {
    const remote = createEngine(1, { isLocal: false });
    assert.equal(choose([remote, createEngine(1)]), 1);
    assert.equal(choose([remote, createEngine(1, { unreadTokens: LONG_TOKENS })]), 0);
  });

  it('places requests to a plain service by its load, times the slowdown of its VM', () => {
    const demand = createDemand({ relativeWork: 0, promptTokens: 0, outputTokens: 0 });
    const services = [createEngine(1, { slowdown: 2.5, occupancy: 2 }), createEngine(1)];
    assert.equal(choose(services, demand), 1);
    const idle = createEngine(1, { slowdown: 2.5, occupancy: 0 });
    assert.equal(choose([idle, createEngine(1, { occupancy: 6 })], demand), 0);
  });

  it('takes an engine that has not answered yet for an average one', () => {
    const unknown = createEngine(1, {
      chunkIntervalMs: undefined,
      promptTokenMs: undefined,
      outputTokenMs: undefined,
      pauseMs: undefined,
    });
    const engines = [createEngine(0.4), unknown, createEngine(3)];
    const [slow = 0, mean = 0, fast = 0] = policy.getCosts(engines, createDemand());
    assert.ok(fast < mean && mean < slow);
    assert.ok(policy.getCosts([unknown], createDemand()).every(Number.isFinite));
  });
});
