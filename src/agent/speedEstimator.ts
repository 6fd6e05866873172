/** Observed speed of the endpoint, to notice a straggler that says nothing. */

import type { Job, ConfiguredSpeeds } from './types.js';

/** Weight of a new observation. */
const SMOOTHING = 0.3;
/** A run that takes this many times what it should is an observation before it ends. */
const OVERDUE_FACTOR = 2;
/** Runs shorter than this tell little about the endpoint; milliseconds. */
const MIN_EXPECTED_MS = 20;
const MIN_SPEED = 0.01;
/** Time that requests take besides their tokens; milliseconds. */
const OVERHEAD_MS = 30;

/** Estimates of time and speed. */
export interface SpeedEstimator {
  /** 1 is the stated speed. */
  readonly speed: number;
  /** Time the job should take at the stated speed, in milliseconds. */
  estimate(job: Job): number;
  /** Notes a run that ended. */
  noteEnd(job: Job, now: number): void;
  /** Notes runs that are overdue. */
  noteRunning(jobs: readonly Job[], now: number): void;
}

/** Creates a gauge that starts at the stated speed. */
export function createSpeedEstimator(speeds: ConfiguredSpeeds | undefined): SpeedEstimator {
  let speed = 1;

  return {
    get speed() {
      return speed;
    },
    estimate: (job) => estimateFor(job, job.outputTokens),
    noteEnd,
    noteRunning,
  };

  function noteEnd(job: Job, now: number): void {
    observe(estimateFor(job, job.pieces), now - job.dispatchedAt);
  }

  function noteRunning(jobs: readonly Job[], now: number): void {
    for (const job of jobs) {
      if (job.state !== 'running') continue;
      const expected = estimateFor(job, job.pieces);
      const elapsed = now - job.dispatchedAt;
      if (elapsed > OVERDUE_FACTOR * expected + OVERHEAD_MS) observe(expected, elapsed);
    }
  }

  function observe(expectedMs: number, actualMs: number): void {
    if (speeds === undefined || expectedMs < MIN_EXPECTED_MS) return;
    const observed = (expectedMs + OVERHEAD_MS) / Math.max(actualMs, 1);
    const bounded = Math.min(1, Math.max(MIN_SPEED, observed));
    speed += SMOOTHING * (bounded - speed);
  }

  function estimateFor(job: Job, outputTokens: number): number {
    if (speeds === undefined) return 0;
    const prefill =
      Math.max(0, job.promptTokens - job.cachedTokens) / speeds.prefillTokensPerSecond;
    return 1000 * (prefill + outputTokens / speeds.decodeTokensPerSecond);
  }
}
