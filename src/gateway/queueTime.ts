/** How long a request may wait for an endpoint, over all of its attempts together. */

import type { CallProgress } from './callProgress.js';
import type { Call } from './types.js';

/** Share of the caller's wait time that a request may spend in the queue. */
const QUEUE_SHARE = 0.35;
/** Upper bound of the queue time of streams, whose callers give up after a few seconds of silence. */
const MAX_STREAM_QUEUE_MS = 2_000;
/** Share of the objective that a request may spend in the queue and still count as on time. */
const OBJECTIVE_QUEUE_SHARE = 0.6;

/** Returns the remaining time for which a request may be queued at all, in milliseconds. */
export function getMaxQueueMs(
  { route, deadline, softwareVersion }: Call,
  { runCount, lastForwardedAt }: CallProgress,
  now: number,
): number {
  if (runCount > 0) return deadline - now;
  const waitedMs = now - lastForwardedAt;
  const isContinued = softwareVersion !== undefined;
  if (isContinued) return Math.min(deadline - now, MAX_STREAM_QUEUE_MS - waitedMs);
  const shareMs = (deadline - lastForwardedAt) * QUEUE_SHARE;
  const limitMs = route.kind === 'stream' ? Math.min(shareMs, MAX_STREAM_QUEUE_MS) : shareMs;
  return limitMs - waitedMs;
}

/** Returns the remaining time for which it may be queued and still meet its objective. */
export function getSlackMs({ route, waitedMs, arrivedAt }: Call, now: number): number {
  return route.objectiveMs * OBJECTIVE_QUEUE_SHARE - waitedMs - (now - arrivedAt);
}
