/**
 * Decides which requests a stopping gateway still begins. How long a request will run is not known,
 * only when it ends at the latest: at its deadline.
 */

import type { LocalReply } from './responseWriter.js';

/**
 * Time that a load balancer takes to stop opening connections to a gateway that is not ready. Until
 * then every request is accepted, as its caller would return to this gateway.
 */
const BALANCER_LAG_MS = 2_500;

/** Reply to a request that might end after the gateway; another gateway serves its caller at once. */
export const stoppingReply: LocalReply = {
  status: 503,
  reason: 'shutting down',
  retryAfterMs: 100,
};

/** Course of a gateway's graceful shutdown. */
export interface Drain {
  readonly isStarted: boolean;
  /** Whether the load balancer has had the time to choose other gateways. */
  readonly isBalancerLagOver: boolean;
  /** Monotonic time at which requests in progress are ended; infinite until the drain starts. */
  readonly endAt: number;
  /** Starts at the monotonic time at which the process was told to stop. */
  start(signalledAt: number): void;
  /** Whether a request may begin that has its deadline at `deadline` (monotonic time). */
  mayBegin(deadline: number): boolean;
}

/** Creates a drain that ends `limitMs` after the process was told to stop. */
export function createDrain(now: () => number, limitMs: number): Drain {
  let signalledAt = Number.POSITIVE_INFINITY;
  // The load balancer learns of the stop from when the gateway says that it is not ready, which a
  // pause of the process delays.
  let unreadyAt = Number.POSITIVE_INFINITY;

  const drain: Drain = {
    get isStarted() {
      return Number.isFinite(signalledAt);
    },
    get isBalancerLagOver() {
      return now() - unreadyAt > BALANCER_LAG_MS;
    },
    get endAt() {
      return signalledAt + limitMs;
    },
    start(time) {
      signalledAt = Math.min(signalledAt, time);
      unreadyAt = Math.min(unreadyAt, now());
    },
    // What begins late has less time until the end, however long the load balancer takes.
    mayBegin: (deadline) => now() - signalledAt <= BALANCER_LAG_MS || deadline <= drain.endAt,
  };
  return drain;
}
