/** Notices that the process has not run for a while: stopped, starved of processor time or blocked. */

import type { Clock } from './clock.js';
import type { Logger } from './logging.js';

const CHECK_INTERVAL_MS = 100;
/** Pauses up to this length are usual on a busy host. */
const MIN_PAUSE_MS = 250;

/** A running monitor. */
export interface PauseMonitor {
  /**
   * Earliest monotonic time at which what is being read now can have arrived: the beginning of a
   * pause that is just over, or else now.
   */
  getEarliestArrivalAt(): number;
  close(): void;
}

/** Logs each pause once the process runs again. */
export function startPauseMonitor(clock: Clock, logger: Logger): PauseMonitor {
  let checkedAt = clock.now();
  let pauseStartedAt = Number.NEGATIVE_INFINITY;
  let pauseEndedAt = Number.NEGATIVE_INFINITY;
  const timer = setInterval(check, CHECK_INTERVAL_MS).unref();

  return { getEarliestArrivalAt, close: () => clearInterval(timer) };

  function getEarliestArrivalAt(): number {
    check();
    const now = clock.now();
    return now - pauseEndedAt < CHECK_INTERVAL_MS ? pauseStartedAt : now;
  }

  function check(): void {
    const now = clock.now();
    const startedAt = checkedAt;
    const pausedMs = now - startedAt - CHECK_INTERVAL_MS;
    checkedAt = now;
    if (pausedMs < MIN_PAUSE_MS) return;
    pauseStartedAt = startedAt;
    pauseEndedAt = now;
    logger.event('processPaused', { milliseconds: Math.round(pausedMs) });
  }
}
