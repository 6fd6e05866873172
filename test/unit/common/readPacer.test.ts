/** How much is read in one turn of the event loop. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { awaitTurns } from '../../../src/common/eventLoop.js';
import { createReadPacer } from '../../../src/common/readPacer.js';

describe('what is read in one turn', () => {
  // A quarter of a processor took 100 ms for a turn that was bounded in bytes alone.
  it('is bounded in time as well, and the rest is read in later turns', async () => {
    const clock = new VirtualClock();
    const pacer = createReadPacer(() => clock.now());
    const resumed: number[] = [];
    const read = (connection: number): boolean => {
      clock.advance(4);
      return pacer.mayContinue(600, () => {
        resumed.push(connection);
        clock.advance(4);
      });
    };
    assert.deepEqual([1, 2, 3, 4, 5, 6, 7].map(read), [
      true,
      true,
      true,
      false,
      false,
      false,
      false,
    ]);
    await awaitTurns(1);
    assert.deepEqual(resumed, [4, 5, 6]);
    await awaitTurns(1);
    assert.deepEqual(resumed, [4, 5, 6, 7]);
  });
});
