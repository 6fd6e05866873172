/** Estimates the endpoint's actual speed, to detect stragglers that do not report a problem. */

import type { Job, ConfiguredSpeeds } from './types.js';

/** Weight of a new observation in the exponential moving average. */
const SMOOTHING_FACTOR = 0.3;
/** A run is observed before it ends once it exceeds its expected time by this factor. */
const OVERDUE_FACTOR = 2;
/** Runs that are expected to be shorter say little about the endpoint's speed. */
const MIN_EXPECTED_MS = 20;
const MIN_SPEED = 0.01;
/** Time that a request takes in addition to prefill and decoding. */
const OVERHEAD_MS = 30;

/** Estimates of the endpoint's speed and of the duration of jobs. */
export interface SpeedEstimator {
  /** Observed speed relative to the configured one, at most 1. */
  readonly speed: number;
  /** Duration of the job at the configured speed. */
  estimateDurationMs(job: Job): number;
  /** Observes a run that has completed. */
  recordCompletion(job: Job, now: number): void;
  /** Observes the running jobs that are overdue. */
  recordOverdueRuns(jobs: readonly Job[], now: number): void;
}

/** Creates an estimator that starts at the configured speed. */
export function createSpeedEstimator(speeds: ConfiguredSpeeds | undefined): SpeedEstimator {
  let speed = 1;

  return {
    get speed() {
      return speed;
    },
    estimateDurationMs: (job) => estimateForOutput(job, job.outputTokens),
    recordCompletion,
    recordOverdueRuns,
  };

  function recordCompletion(job: Job, now: number): void {
    observe(estimateForOutput(job, job.chunksReceived), now - job.dispatchedAt);
  }

  function recordOverdueRuns(jobs: readonly Job[], now: number): void {
    for (const job of jobs) {
      if (job.state !== 'running') continue;
      const expectedMs = estimateForOutput(job, job.chunksReceived);
      const elapsedMs = now - job.dispatchedAt;
      if (elapsedMs > OVERDUE_FACTOR * expectedMs + OVERHEAD_MS) observe(expectedMs, elapsedMs);
    }
  }

  function observe(expectedMs: number, actualMs: number): void {
    if (speeds === undefined || expectedMs < MIN_EXPECTED_MS) return;
    const observed = (expectedMs + OVERHEAD_MS) / Math.max(actualMs, 1);
    const bounded = Math.min(1, Math.max(MIN_SPEED, observed));
    speed += SMOOTHING_FACTOR * (bounded - speed);
  }

  function estimateForOutput(job: Job, outputTokens: number): number {
    if (speeds === undefined) return 0;
    const prefillSeconds =
      Math.max(0, job.promptTokens - job.cachedTokens) / speeds.prefillTokensPerSecond;
    return 1000 * (prefillSeconds + outputTokens / speeds.decodeTokensPerSecond);
  }
}
