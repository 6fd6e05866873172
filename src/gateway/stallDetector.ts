/**
 * Detects stalled attempts. An endpoint that becomes unreachable closes no connections, and a single
 * connection may go silent while others of the same endpoint work. Only requests that may be retried
 * elsewhere are watched.
 */

import type { Route } from '../routing/types.js';
import { isRetryable } from './retryPolicy.js';

const CHECK_INTERVAL_MS = 150;
/** Time between two checks after which the process counts as paused. */
const MAX_CHECK_INTERVAL_MS = 2 * CHECK_INTERVAL_MS;
/** Silence of both a stream and its whole endpoint after which the stream counts as stalled. */
const ENDPOINT_SILENCE_MS = 900;
/** Silence after which a stream counts as stalled even if its endpoint is active otherwise. */
const STREAM_SILENCE_MS = 1_600;
/** Multiple of the route's objective after which a response that has not started counts as stalled. */
const FIRST_CHUNK_OBJECTIVES = 2;
/** Lower bound of the time allowed until the first chunk. */
const MIN_FIRST_CHUNK_MS = 300;

/** An attempt in progress. */
export interface WatchedAttempt {
  route: Pick<Route, 'kind' | 'isResumable' | 'objectiveMs'>;
  sentAt: number;
  /** When the newest chunk of the response arrived; undefined before the first. */
  getLastChunkAt(): number | undefined;
  /** When anything last arrived from the endpoint, for this or another request. */
  getEndpointActivityAt(): number;
  onStalled(reason: string): void;
}

/** Watches all attempts of a gateway. */
export interface StallDetector {
  add(attempt: WatchedAttempt): void;
  remove(attempt: WatchedAttempt): void;
  /** Checks all attempts now. */
  check(): void;
  close(): void;
}

export function createStallDetector(now: () => number): StallDetector {
  const attempts = new Set<WatchedAttempt>();
  let tickedAt = now();
  let hasSkipped = false;
  const timer = setInterval(tick, CHECK_INTERVAL_MS);

  return {
    add(attempt) {
      if (isRetryable(attempt.route)) attempts.add(attempt);
    },
    remove: (attempt) => void attempts.delete(attempt),
    check,
    close: () => clearInterval(timer),
  };

  /** Skips one check after a pause of this process, so that what has arrived is read first. */
  function tick(): void {
    const time = now();
    const isLate = time - tickedAt > MAX_CHECK_INTERVAL_MS;
    tickedAt = time;
    hasSkipped = isLate && !hasSkipped;
    if (!hasSkipped) check();
  }

  function check(): void {
    const time = now();
    for (const attempt of [...attempts]) {
      const reason = tryGetStallReason(attempt, time);
      if (reason === undefined) continue;
      attempts.delete(attempt);
      attempt.onStalled(reason);
    }
  }
}

function tryGetStallReason(attempt: WatchedAttempt, time: number): string | undefined {
  const lastChunkAt = attempt.getLastChunkAt();
  if (lastChunkAt === undefined) {
    const limit = Math.max(MIN_FIRST_CHUNK_MS, FIRST_CHUNK_OBJECTIVES * attempt.route.objectiveMs);
    return time - attempt.sentAt > limit ? 'response did not start in time' : undefined;
  }
  const silenceMs = time - lastChunkAt;
  if (silenceMs > STREAM_SILENCE_MS) return 'stream stalled';
  const endpointSilenceMs = time - attempt.getEndpointActivityAt();
  const isSilent = Math.min(silenceMs, endpointSilenceMs) > ENDPOINT_SILENCE_MS;
  return isSilent ? 'endpoint stalled' : undefined;
}
