/**
 * Finds sends that hang: an endpoint that went dark closes no connection, and a connection may go
 * silent while others work. Only requests that may go on elsewhere are given up here.
 */

import type { Route } from '../routing/types.js';
import { isRetryable } from './retryPolicy.js';

const CHECK_MS = 150;
/** Pause of a stream, and silence of its whole endpoint, after which it is taken to hang. */
const ENDPOINT_SILENCE_MS = 900;
/** Pause of a stream after which it is taken to hang although its endpoint is heard. */
const STREAM_SILENCE_MS = 1_600;
/** Objectives after which an answer that has not begun is taken to hang. */
const OBJECTIVES = 2;
/** Shortest time that an answer is given to begin. */
const MIN_BEGIN_MS = 300;

/** A send under way. */
export interface WatchedAttempt {
  route: Pick<Route, 'kind' | 'isResumable' | 'objectiveMs'>;
  sentAt: number;
  /** When the newest piece of the answer came; undefined before the first. */
  getLastChunkAt(): number | undefined;
  /** When anything came from the endpoint, for this or another request. */
  getEndpointActivityAt(): number;
  onStalled(reason: string): void;
}

/** Watches all sends of a gateway. */
export interface StallDetector {
  add(send: WatchedAttempt): void;
  remove(send: WatchedAttempt): void;
  /** Looks at all sends now. */
  check(): void;
  close(): void;
}

/** Creates a watch. */
export function createStallDetector(now: () => number): StallDetector {
  const sends = new Set<WatchedAttempt>();
  const timer = setInterval(review, CHECK_MS);

  return {
    add(send) {
      if (isRetryable(send.route)) sends.add(send);
    },
    remove: (send) => void sends.delete(send),
    check: review,
    close: () => clearInterval(timer),
  };

  function review(): void {
    const time = now();
    for (const send of [...sends]) {
      const reason = tryGetStall(send, time);
      if (reason === undefined) continue;
      sends.delete(send);
      send.onStalled(reason);
    }
  }
}

function tryGetStall(send: WatchedAttempt, time: number): string | undefined {
  const pieceAt = send.getLastChunkAt();
  if (pieceAt === undefined) {
    const limit = Math.max(MIN_BEGIN_MS, OBJECTIVES * send.route.objectiveMs);
    return time - send.sentAt > limit ? 'no answer' : undefined;
  }
  const pauseMs = time - pieceAt;
  if (pauseMs > STREAM_SILENCE_MS) return 'silent stream';
  const endpointPauseMs = time - send.getEndpointActivityAt();
  const isSilent = Math.min(pauseMs, endpointPauseMs) > ENDPOINT_SILENCE_MS;
  return isSilent ? 'silent endpoint' : undefined;
}
