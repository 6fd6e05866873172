/** Placement at engines that process prompts one after the other, which delays later responses. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  LoadPlacement,
  tryChooseEndpoint,
  type PlacementDemand,
} from '../../../src/gateway/placement.js';
import { createRandom } from '../../fixtures/random.js';

const ENGINES = 8;
const SLOTS = 10;
const PROMPT_TOKEN_MS = 0.011;
const SHORT_TOKENS = 600;
/** Takes longer to process than the objective of any short request. */
const LONG_TOKENS = 50_000;
const OBJECTIVE_MS = 300;
const REQUESTS = 4_000;
const INTERVAL_MS = 8;
const LONG_SHARE = 0.02;

interface Engine {
  /** When it will have processed all prompts assigned to it, in milliseconds. */
  busyUntil: number;
}

/** Properties of a candidate that this policy does not use. */
const unused = { outputTokenMs: undefined, pauseMs: undefined, slowdown: 1, isLocal: true };
const policy = new LoadPlacement();

function createDemand(): PlacementDemand {
  return {
    relativeWork: 1,
    promptTokens: 0,
    outputTokens: 0,
    objectiveMs: OBJECTIVE_MS,
    pauseObjectiveMs: 0,
    remainingMs: Number.POSITIVE_INFINITY,
  };
}

/** Simulates a mixed load and returns the share of short requests that miss their objective. */
function simulateLateShare(seed: number, seesUnread: boolean): number {
  const random = createRandom(seed);
  const engines: Engine[] = Array.from({ length: ENGINES }, () => ({ busyUntil: 0 }));
  let late = 0;
  let short = 0;
  for (let index = 0; index < REQUESTS; index += 1) {
    const now = index * INTERVAL_MS;
    const promptTokens = random() < LONG_SHARE ? LONG_TOKENS : SHORT_TOKENS;
    const candidates = engines.map((engine) => ({
      endpoint: engine,
      occupancy: 3,
      slots: SLOTS,
      chunkIntervalMs: 20,
      unreadTokens: seesUnread ? Math.max(0, engine.busyUntil - now) / PROMPT_TOKEN_MS : 0,
      promptTokenMs: PROMPT_TOKEN_MS,
      ...unused,
    }));
    const demand = { ...createDemand(), promptTokens };
    const engine =
      tryChooseEndpoint(candidates, demand, random, policy) ?? assert.fail('all are full');
    engine.busyUntil = Math.max(now, engine.busyUntil) + promptTokens * PROMPT_TOKEN_MS;
    if (promptTokens === LONG_TOKENS) continue;
    short += 1;
    if (engine.busyUntil - now > OBJECTIVE_MS) late += 1;
  }
  return late / short;
}

describe('placement', () => {
  it('does not queue short prompts behind long ones', () => {
    for (const seed of [1, 2, 3]) {
      assert.ok(simulateLateShare(seed, true) < 0.01);
      // Counter-check: without knowledge of unprocessed tokens the same load misses objectives.
      assert.ok(simulateLateShare(seed, false) > 0.05);
    }
  });

  it('chooses the least loaded endpoint with a free slot if nothing else differs', () => {
    const candidates = [10, 4, 7].map((occupancy) => ({
      endpoint: occupancy,
      occupancy,
      slots: SLOTS,
      chunkIntervalMs: undefined,
      unreadTokens: 0,
      promptTokenMs: undefined,
      ...unused,
    }));
    assert.equal(
      tryChooseEndpoint(candidates, createDemand(), () => 0, policy),
      4,
    );
  });
});
