/** A short seeded soak, and every seed that ever failed. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runSoak } from './soak.js';

const SECONDS = 10;
/** The first is an ordinary one. */
const seeds = [1];

describe('the soak', () => {
  for (const seed of seeds) {
    it(`keeps every promise with seed ${seed}`, async () => {
      const { violations, answered, changes } = await runSoak(seed, SECONDS);
      assert.deepEqual(violations, []);
      assert.ok(answered > 100, `${answered} answered`);
      assert.ok(changes > 0);
    });
  }
});
