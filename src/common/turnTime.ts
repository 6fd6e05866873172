/**
 * Measures how long a turn of the event loop takes. In one turn a process reads once from every socket
 * with new data, so a process without enough processor time has long turns, and everything that takes
 * several turns is late by as many of them.
 */

import type { Clock } from './clock.js';
import type { Logger } from './logging.js';

const SAMPLE_INTERVAL_MS = 20;
/** Time over which samples are averaged. */
const MEAN_TIME_MS = 200;
/** Mean turn from which on the process is logged as busy. */
const BUSY_TURN_MS = 30;
/** Minimum time between two log lines. */
const LOG_INTERVAL_MS = 1_000;

/** A running measurement. */
export interface TurnTime {
  /** Mean length of the latest turns, in milliseconds. */
  readonly meanMs: number;
  close(): void;
}

/** Starts to measure; logs that the process is busy as long as it is. */
export function startTurnTime(clock: Clock, logger: Logger): TurnTime {
  const mean = createTurnMean();
  let loggedAt = Number.NEGATIVE_INFINITY;
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS).unref();

  return {
    get meanMs() {
      return mean.valueMs;
    },
    close: () => clearInterval(timer),
  };

  /** From one immediate to the next there is one turn, which does not wait for events. */
  function sample(): void {
    setImmediate(() => {
      const startedAt = clock.now();
      setImmediate(() => record(clock.now() - startedAt));
    });
  }

  function record(turnMs: number): void {
    const now = clock.now();
    mean.add(turnMs, now);
    if (mean.valueMs < BUSY_TURN_MS || now - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = now;
    logger.event('processBusy', { turnMs: Math.round(mean.valueMs) });
  }
}

/** Mean of the samples of the last `MEAN_TIME_MS`, of which later ones count for more. */
interface TurnMean {
  readonly valueMs: number;
  add(turnMs: number, now: number): void;
}

/** Creates a mean of 0. */
function createTurnMean(): TurnMean {
  let valueMs = 0;
  let addedAt = Number.NEGATIVE_INFINITY;

  return {
    get valueMs() {
      return valueMs;
    },
    add(turnMs, now) {
      const kept = Math.exp((addedAt - now) / MEAN_TIME_MS);
      valueMs = valueMs * kept + turnMs * (1 - kept);
      addedAt = now;
    },
  };
}
