/** Converts the result of a run, as reported by the agent, into what the entry passes on. */

import type { Finished } from '../generated/dispatch.js';
import type { Outcome, Problem, ProblemKind } from './problem.js';
import type { PendingRequest, RunStats } from './types.js';

/** Creates the problem to report to the caller when a run did not complete. */
export function toFinishProblem(request: PendingRequest, finished: Finished): Problem {
  if (finished.outcome === 'preempted') {
    return { kind: 'preempted', outcome: 'ran', detail: 'a higher tier needed the room' };
  }
  return toRunFailure(request, 'cut', finished.detail);
}

/**
 * Creates a problem for a run that failed after its dispatch. A request whose response has started
 * has run; before that, it is not known whether it ran.
 */
export function toRunFailure(request: PendingRequest, kind: ProblemKind, detail: string): Problem {
  const outcome: Outcome = request.state === 'streaming' ? 'ran' : 'unknown';
  return { kind, outcome, detail };
}

export function toRunStats(agentId: string, finished: Finished): RunStats {
  const { promptTokens, cachedTokens, outputTokens, wastedTokens, span } = finished;
  return {
    agentId,
    promptTokens,
    cachedTokens,
    outputTokens,
    wastedTokens,
    grantedUs: span?.grantedUs ?? 0,
    dispatchedUs: span?.dispatchedUs ?? 0,
    firstByteUs: span?.firstByteUs ?? 0,
    endedUs: span?.endedUs ?? 0,
  };
}
