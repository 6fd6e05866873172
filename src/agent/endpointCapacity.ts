/**
 * Tracks the endpoint's slots and tokens, so that requests wait at the agent and never in a queue
 * inside the endpoint.
 */

import type { Job } from './types.js';

/** Capacity of one endpoint and the jobs that hold it. */
export interface EndpointCapacity {
  readonly running: number;
  readonly freeTokens: number;
  /** Slots to use at the endpoint's observed speed. */
  readonly usableSlots: number;
  fits(job: Job): boolean;
  acquire(job: Job): void;
  release(job: Job): void;
  list(): Job[];
  values(): Iterable<Job>;
}

/** Creates an unused capacity; `getSpeed` returns the observed speed over the configured one. */
export function createEndpointCapacity(
  slots: number,
  tokenLimit: number,
  getSpeed: () => number,
): EndpointCapacity {
  const jobs = new Set<Job>();
  let usedTokens = 0;

  const capacity: EndpointCapacity = {
    get running() {
      return jobs.size;
    },
    get freeTokens() {
      return Math.max(0, tokenLimit - usedTokens);
    },
    get usableSlots() {
      return Math.max(1, Math.round(slots * Math.min(1, getSpeed())));
    },
    fits,
    acquire,
    release,
    list: () => [...jobs],
    values: () => jobs,
  };
  return capacity;

  function fits(job: Job): boolean {
    if (jobs.size === 0) return true;
    if (job.isExclusive || hasExclusiveJob()) return false;
    return jobs.size < capacity.usableSlots && usedTokens + getHeldTokens(job) <= tokenLimit;
  }

  function hasExclusiveJob(): boolean {
    for (const job of jobs) {
      if (job.isExclusive) return true;
    }
    return false;
  }

  function acquire(job: Job): void {
    if (jobs.has(job)) return;
    jobs.add(job);
    usedTokens += getHeldTokens(job);
  }

  function release(job: Job): void {
    if (jobs.delete(job)) usedTokens -= getHeldTokens(job);
  }
}

/** Tokens that a job holds at the endpoint. */
export function getHeldTokens(job: Job): number {
  return job.promptTokens + job.outputTokens;
}
