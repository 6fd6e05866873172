/**
 * Time in which this process has run. What has arrived during a pause of the process is read after
 * it, so silence of others counts in this time and not in that of a clock.
 */

import type { Clock } from './clock.js';

/** Running time, in milliseconds; it stands still between calls of `advance`. */
export interface RunningTime {
  readonly now: number;
  /** Called by a timer. Of the time since the last call, at most one step counts. */
  advance(): void;
}

/** Starts at zero. `maxStepMs` is longer than the interval of the calls of `advance`. */
export function createRunningTime(clock: Pick<Clock, 'now'>, maxStepMs: number): RunningTime {
  let now = 0;
  let advancedAt = clock.now();

  return {
    get now() {
      return now;
    },
    advance() {
      const before = advancedAt;
      advancedAt = clock.now();
      now += Math.min(advancedAt - before, maxStepMs);
    },
  };
}
