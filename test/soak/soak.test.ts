/** Short soak runs with an ordinary seed and with every seed that has ever failed. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runSoak } from './soak.js';

const FAULT_SECONDS = 10;
/** The first is an ordinary seed; the seeds of failed runs follow it. */
const seeds = [1];

describe('the soak', () => {
  for (const seed of seeds) {
    it(`finds no violation with seed ${seed}`, async () => {
      const { violations, answered, changes } = await runSoak(seed, FAULT_SECONDS);
      assert.deepEqual(violations, []);
      assert.ok(answered > 100, `${answered} answered`);
      assert.ok(changes > 0);
    });
  }
});
