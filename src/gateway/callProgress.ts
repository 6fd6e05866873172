/** What has happened to one call so far, and the summary of it when the call has ended. */

import type { Clock } from '../common/clock.js';
import type { Announcement } from '../generated/control.js';
import type { Call } from './types.js';

/** Result and timing of a call. */
export interface CallSummary {
  call: Call;
  outcome: 'answered' | 'refused' | 'failed' | 'timedOut' | 'cancelled';
  status: number;
  reason: string;
  /** Id and software version of the endpoint of the last attempt; empty if there was none. */
  endpoint: string;
  softwareVersion: string;
  attemptCount: number;
  /** Time from arrival to the first placement, in milliseconds. */
  placedMs: number;
  /** Time from arrival to the first byte of the response, in milliseconds. */
  firstMs: number;
  /** Time from arrival to the end, in milliseconds. */
  totalMs: number;
  /** Longest time between two chunks of the response, in milliseconds. */
  pauseMs: number;
}

/** Progress of a call. */
export interface CallProgress {
  /** Attempts so far. */
  readonly attemptCount: number;
  /** Attempts in which the request may have run. */
  runCount: number;
  /** When data was last forwarded to the caller; the time of arrival if none was yet. */
  readonly lastForwardedAt: number;
  recordAttempt(endpoint: Announcement): void;
  /** Records that the response to the caller starts. */
  recordStart(): void;
  recordForwarded(): void;
  /** Records the time between two chunks of the response, in milliseconds. */
  recordPause(pauseMs: number): void;
  summarize(outcome: CallSummary['outcome'], status: number, reason: string): CallSummary;
}

/** Creates the progress of a call that has just been admitted. */
export function createCallProgress(call: Call, clock: Clock): CallProgress {
  let endpoint = '';
  let softwareVersion = '';
  let attemptCount = 0;
  let placedMs = 0;
  let firstMs = 0;
  let longestPauseMs = 0;
  let lastForwardedAt = call.arrivedAt;

  return {
    get attemptCount() {
      return attemptCount;
    },
    runCount: 0,
    get lastForwardedAt() {
      return lastForwardedAt;
    },
    recordAttempt(announcement) {
      if (attemptCount === 0) placedMs = getElapsedMs();
      attemptCount += 1;
      endpoint = announcement.endpointId;
      softwareVersion = announcement.softwareVersion;
    },
    recordStart() {
      firstMs = getElapsedMs();
    },
    recordForwarded() {
      lastForwardedAt = clock.now();
    },
    recordPause(pauseMs) {
      longestPauseMs = Math.max(longestPauseMs, pauseMs);
    },
    summarize: (outcome, status, reason) => ({
      call,
      outcome,
      status,
      reason,
      endpoint,
      softwareVersion,
      attemptCount,
      placedMs,
      firstMs,
      totalMs: getElapsedMs(),
      pauseMs: longestPauseMs,
    }),
  };

  function getElapsedMs(): number {
    return clock.now() - call.arrivedAt;
  }
}
