/** Creates the frame that ends a request. */

import type { Finished } from '../generated/dispatch.js';
import type { Job, RunOutcome } from './types.js';

/** `wastedTokens` are the prompt tokens whose computation is lost if the run did not complete. */
export function createFinished(
  job: Job,
  outcome: RunOutcome,
  length: number,
  wastedTokens: number,
): Finished {
  const usage = outcome.kind === 'complete' ? outcome.usage : undefined;
  const isWasted = outcome.kind === 'stopped' || outcome.kind === 'cut';
  return {
    outcome: toFinishedOutcome(outcome),
    length,
    promptTokens: usage?.promptTokens ?? 0,
    cachedTokens: usage?.cachedTokens ?? 0,
    outputTokens: usage?.outputTokens ?? 0,
    span: job.span,
    detail: outcome.kind === 'complete' ? '' : outcome.reason,
    wastedTokens: isWasted ? Math.round(wastedTokens) : 0,
  };
}

function toFinishedOutcome(outcome: RunOutcome): string {
  switch (outcome.kind) {
    case 'complete':
      return 'complete';
    case 'notRun':
      return 'not_run';
    case 'cut':
      return 'cut';
    default:
      return outcome.reason === 'callerLeft' ? 'cancelled' : outcome.reason;
  }
}
