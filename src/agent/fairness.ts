/** Start-time fair queueing between teams: service received, divided by the team's weight. */

import { getTokens } from './endpointCapacity.js';
import type { Job } from './types.js';

/** Cost of a job besides its tokens, so that calls without tokens count as well. */
const BASE_COST = 100;

/** Service received by each team. */
export interface Fairness {
  /** Lower is served first. */
  getRank(job: Job): number;
  charge(job: Job): void;
}

/** No fairness between teams, for measurement. */
export function createNoopFairness(): Fairness {
  return { getRank: () => 0, charge: () => {} };
}

/** Creates a record in which no team has received anything. */
export function createFairness(): Fairness {
  const received = new Map<string, number>();
  let virtualTime = 0;

  return { getRank, charge };

  function getRank(job: Job): number {
    return Math.max(received.get(job.team) ?? 0, virtualTime);
  }

  function charge(job: Job): void {
    const start = getRank(job);
    virtualTime = start;
    received.set(job.team, start + (BASE_COST + getTokens(job)) / Math.max(1, job.weight));
  }
}
