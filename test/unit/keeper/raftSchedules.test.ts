/** The replicated log under seeded random schedules. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runSchedule, type Hazards, type ScheduleReport } from '../../fixtures/raftSimulation.js';

const STEPS = 900;
const SCHEDULES = 400;

const calm: Hazards = {
  crash: 0,
  diskLoss: 0,
  partition: 0,
  lostMessage: 0,
  repeatedMessage: 0,
  snapshot: 0,
};

function runMany(firstSeed: number, hazards: Hazards, voters?: number): ScheduleReport {
  const total: ScheduleReport = { committed: 0, terms: 0, crashes: 0, diskLosses: 0, snapshots: 0 };
  for (let seed = firstSeed; seed < firstSeed + SCHEDULES; seed += 1) {
    const report = runSchedule(seed, STEPS, hazards, voters);
    for (const key of Object.keys(total) as (keyof ScheduleReport)[]) total[key] += report[key];
  }
  return total;
}

describe('the replicated log keeps every committed entry and has one leader a term', () => {
  it('while nothing fails', () => {
    const total = runMany(1_000, calm);
    assert.equal(total.terms, SCHEDULES);
  });

  it('while messages are lost, repeated and reordered and links are cut', () => {
    const hazards = { ...calm, partition: 4, lostMessage: 50, repeatedMessage: 50 };
    const total = runMany(2_000, hazards);
    assert.ok(total.terms > SCHEDULES, 'there were elections');
  });

  it('while keepers crash between a write and its sync', () => {
    const total = runMany(3_000, {
      ...calm,
      crash: 30,
      partition: 8,
      lostMessage: 20,
      snapshot: 5,
    });
    assert.ok(total.crashes > 0 && total.snapshots > 0);
  });

  it('while disks are lost, one after the other right after each repair', () => {
    const hazards = {
      ...calm,
      crash: 6,
      diskLoss: 40,
      partition: 6,
      lostMessage: 10,
      snapshot: 10,
    };
    const total = runMany(4_000, hazards);
    assert.ok(total.diskLosses > SCHEDULES / 2, `${total.diskLosses} lost disks`);
  });

  it('while all of that happens at once, with five keepers', () => {
    const hazards = {
      crash: 10,
      diskLoss: 15,
      partition: 15,
      lostMessage: 30,
      repeatedMessage: 30,
      snapshot: 10,
    };
    const total = runMany(5_000, hazards, 5);
    assert.ok(total.diskLosses > 0 && total.crashes > 0);
  });
});
