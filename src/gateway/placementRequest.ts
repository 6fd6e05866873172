/** Describes a call to the scheduler, for its first attempt and for further ones. */

import type { CallProgress } from './callProgress.js';
import { getMaxQueueMs, getSlackMs } from './queueTime.js';
import { isRetryable } from './retryPolicy.js';
import type { PlacementRequest } from './scheduler.js';
import type { Call } from './types.js';

/** What the handler of a call adds to the request. */
export type PlacementHandler = Pick<PlacementRequest, 'excluded' | 'onPlaced' | 'onRefused'>;

/** Creates the placement request of a call that has just arrived. */
export function createPlacementRequest(
  call: Call,
  progress: CallProgress,
  handler: PlacementHandler,
): PlacementRequest {
  const { route, team, head, arrivedAt } = call;
  return {
    pool: call.pool,
    route: route.name,
    teamRank: team?.rank ?? 0,
    routeRank: route.rank,
    relativeWork: call.relativeWork,
    promptTokens: head.tokens?.prompt ?? 0,
    outputTokens: head.tokens?.output ?? 0,
    objectiveMs: route.objectiveMs,
    pauseObjectiveMs: route.pauseObjectiveMs ?? 0,
    deadline: call.deadline,
    arrivedAt,
    slackMs: getSlackMs(call, arrivedAt),
    maxQueueMs: getMaxQueueMs(call, progress, arrivedAt),
    isRetryable: isRetryable(route),
    wasInterrupted: wasInterrupted(call, progress),
    softwareVersion: call.softwareVersion,
    ...handler,
  };
}

/** Brings the request up to date before it is submitted again after a failed attempt. */
export function updatePlacementRequest(
  request: PlacementRequest,
  call: Call,
  progress: CallProgress,
  now: number,
): void {
  request.wasInterrupted = wasInterrupted(call, progress);
  request.maxQueueMs = getMaxQueueMs(call, progress, now);
  request.slackMs = getSlackMs(call, now);
}

/** Whether the caller has waited for an attempt that broke off, or takes up a stream that did. */
function wasInterrupted({ softwareVersion }: Call, { runCount }: CallProgress): boolean {
  return softwareVersion !== undefined || runCount > 0;
}
