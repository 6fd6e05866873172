/** How the end of a run is passed on. */

import type { Finished } from '../generated/dispatch.js';
import type { Outcome, Problem, ProblemKind } from './problem.js';
import type { RunStats, PendingRequest } from './types.js';

/** What the caller is told of a run that did not complete. */
export function toProblem(request: PendingRequest, finished: Finished): Problem {
  if (finished.outcome === 'preempted') {
    return { kind: 'preempted', outcome: 'ran', detail: 'a higher tier needed the room' };
  }
  return createLoss(request, 'cut', finished.detail);
}

/** What ran in part did run; without any answer it cannot be known. */
export function createLoss(request: PendingRequest, kind: ProblemKind, detail: string): Problem {
  const outcome: Outcome = request.state === 'streaming' ? 'ran' : 'unknown';
  return { kind, outcome, detail };
}

/** What the agent told about the run. */
export function toAnswerEnd(agentId: string, finished: Finished): RunStats {
  const { promptTokens, cachedTokens, outputTokens, wastedTokens, span } = finished;
  return {
    agentId,
    promptTokens,
    cachedTokens,
    outputTokens,
    wastedTokens,
    grantedUs: span?.grantedUs ?? 0,
    firstByteUs: span?.firstByteUs ?? 0,
    endedUs: span?.endedUs ?? 0,
  };
}
