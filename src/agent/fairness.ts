/** Start-time fair queueing between teams: service received, divided by the team's weight. */

import { getHeldTokens } from './endpointCapacity.js';
import type { Job } from './types.js';

/** Cost of a job in addition to its tokens, so that calls without tokens are charged as well. */
const BASE_COST_TOKENS = 100;

/** Virtual start times of teams. */
export interface Fairness {
  /** The job of the team with the lowest start tag is served first. */
  getStartTag(job: Job): number;
  /** Adds the job's cost to the service received by its team. */
  charge(job: Job): void;
}

/** Ignores teams, to measure the effect of fair queueing. */
export function createNoopFairness(): Fairness {
  return { getStartTag: () => 0, charge: () => {} };
}

/** Creates a fair queue in which no team has received service. */
export function createFairness(): Fairness {
  const finishTags = new Map<string, number>();
  let virtualTime = 0;

  return { getStartTag, charge };

  function getStartTag(job: Job): number {
    return Math.max(finishTags.get(job.team) ?? 0, virtualTime);
  }

  function charge(job: Job): void {
    const startTag = getStartTag(job);
    virtualTime = startTag;
    finishTags.set(
      job.team,
      startTag + (BASE_COST_TOKENS + getHeldTokens(job)) / Math.max(1, job.weight),
    );
  }
}
