/** Gateways that share an engine's slots and learn of each other's placements late. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSlotLimiter } from '../../../src/gateway/slotLimiter.js';
import { createRandom } from '../../fixtures/random.js';

const SLOTS = 10;
const STEP_MS = 10;
const REPORT_LAG_MS = 200;
const MIN_WORK_MS = 300;
const WORK_SPREAD_MS = 1_400;

interface Scenario {
  gateways: number;
  /** Number of gateways that always have requests waiting. */
  busyGateways: number;
  durationMs: number;
  seed: number;
}

/** Simulates one initially empty engine; returns the number of its requests at each step. */
function simulateOccupancy({ gateways, busyGateways, durationMs, seed }: Scenario): number[] {
  const random = createRandom(seed);
  let time = 0;
  const limiters = Array.from({ length: gateways }, () => createSlotLimiter(() => time, random));
  const ends: number[][] = Array.from({ length: gateways }, () => []);
  const history: number[][] = [];
  const total: number[] = [];
  for (; time < durationMs; time += STEP_MS) {
    const now = time;
    for (const [index, own] of ends.entries()) {
      for (const end of own.filter((at) => at <= now)) {
        own.splice(own.indexOf(end), 1);
        limiters[index]?.recordRelease();
      }
    }
    const seen = history.at(-REPORT_LAG_MS / STEP_MS) ?? ends.map(() => 0);
    for (const [index, own] of ends.entries()) {
      const others = seen.reduce((sum, count, other) => sum + (other === index ? 0 : count), 0);
      while (index < busyGateways) {
        const free = SLOTS - own.length - others;
        if (free < 1 || limiters[index]?.canPlace(free, SLOTS, gateways) !== true) break;
        limiters[index].recordPlacement();
        own.push(time + MIN_WORK_MS + random() * WORK_SPREAD_MS);
      }
    }
    history.push(ends.map((own) => own.length));
    total.push(ends.reduce((sum, own) => sum + own.length, 0));
  }
  return total;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe('the slot limiter', () => {
  it('overfills a recovered engine by less than half and keeps it busy', () => {
    for (const gateways of [2, 4, 11]) {
      for (const seed of [1, 2, 3]) {
        const scenario = { gateways, busyGateways: gateways, durationMs: 20_000, seed };
        const occupancy = simulateOccupancy(scenario);
        const most = Math.max(...occupancy);
        const mean = getMean(occupancy.slice(200));
        assert.ok(most <= 1.5 * SLOTS, `${gateways} gateways, seed ${seed}: ${most} at most`);
        assert.ok(mean >= 0.9 * SLOTS, `${gateways} gateways, seed ${seed}: mean ${mean}`);
      }
    }
  });

  it('lets the only gateway with requests use most slots', () => {
    const scenario = { gateways: 11, busyGateways: 1, durationMs: 10_000, seed: 1 };
    assert.ok(getMean(simulateOccupancy(scenario).slice(200)) >= 0.7 * SLOTS);
  });
});
