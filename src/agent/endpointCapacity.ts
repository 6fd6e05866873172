/** The endpoint's room, in slots and tokens, so that nothing has to wait inside the endpoint. */

import type { Job } from './types.js';

/** Room of one endpoint. */
export interface EndpointCapacity {
  readonly running: number;
  readonly freeTokens: number;
  /** Slots in use of an endpoint at its present speed. */
  readonly usableSlots: number;
  fits(job: Job): boolean;
  take(job: Job): void;
  free(job: Job): void;
  list(): Job[];
  values(): Iterable<Job>;
}

/** Creates an empty room; `getSpeed` is the observed speed against the stated one. */
export function createEndpointCapacity(
  slots: number,
  tokenRoom: number,
  getSpeed: () => number,
): EndpointCapacity {
  const jobs = new Set<Job>();
  let usedTokens = 0;

  const room: EndpointCapacity = {
    get running() {
      return jobs.size;
    },
    get freeTokens() {
      return Math.max(0, tokenRoom - usedTokens);
    },
    get usableSlots() {
      return Math.max(1, Math.round(slots * Math.min(1, getSpeed())));
    },
    fits,
    take,
    free,
    list: () => [...jobs],
    values: () => jobs,
  };
  return room;

  function fits(job: Job): boolean {
    if (jobs.size === 0) return true;
    if (job.alone || hasLoneJob()) return false;
    return jobs.size < room.usableSlots && usedTokens + getTokens(job) <= tokenRoom;
  }

  function hasLoneJob(): boolean {
    for (const job of jobs) {
      if (job.alone) return true;
    }
    return false;
  }

  function take(job: Job): void {
    if (jobs.has(job)) return;
    jobs.add(job);
    usedTokens += getTokens(job);
  }

  function free(job: Job): void {
    if (jobs.delete(job)) usedTokens -= getTokens(job);
  }
}

/** Tokens that a job holds at the endpoint. */
export function getTokens(job: Job): number {
  return job.promptTokens + job.outputTokens;
}
