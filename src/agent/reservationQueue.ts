/** Order of reservations: tier, fair share of the team, then time left. Plugs into p-queue. */

import type { Queue, QueueAddOptions } from 'p-queue';
import type { Clock } from '../common/clock.js';
import type { Fairness } from './fairness.js';
import type { EndpointCapacity } from './endpointCapacity.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { Job } from './types.js';

/** While the first job in order does not fit, others may pass it for this long; milliseconds. */
const HEAD_PATIENCE_MS = 500;

/** Options under which a job is added to the queue. */
export interface JobOptions extends QueueAddOptions {
  job: Job;
}

type Run = () => Promise<unknown>;

interface Waiting {
  job: Job;
  run: Run;
}

/** What the order depends on. */
export interface ReservationQueueHost {
  clock: Clock;
  room: EndpointCapacity;
  fairness: Fairness;
  gauge: SpeedEstimator;
  /** Whether nothing may be granted now. */
  isHeld(): boolean;
  /** Whether the job should wait until its prompt's head, which is being computed, is cached. */
  awaitsPrefix(job: Job): boolean;
}

/** The waiting reservations, as p-queue and the scheduler see them. */
export interface WaitingJobs {
  remove(job: Job): boolean;
  list(): Job[];
  /** First job in order, whether it fits or not. */
  tryGetHead(): Job | undefined;
}

/** A queue class for p-queue together with a handle to its contents. */
export function createReservationQueue(host: ReservationQueueHost): {
  queueClass: new () => Queue<Run, JobOptions>;
  waiting: WaitingJobs;
} {
  const entries = new Map<Job, Waiting>();

  class ReservationQueue implements Queue<Run, JobOptions> {
    /** Reservations that may start now; those that do not fit are not counted. */
    public get size(): number {
      return pick() === undefined ? 0 : entries.size;
    }

    public enqueue(run: Run, options?: Partial<JobOptions>): void {
      if (options?.job !== undefined) entries.set(options.job, { job: options.job, run });
    }

    public dequeue(): Run | undefined {
      const job = pick();
      const entry = job === undefined ? undefined : entries.get(job);
      if (entry === undefined) return undefined;
      entries.delete(entry.job);
      host.fairness.charge(entry.job);
      return entry.run;
    }

    public filter(): Run[] {
      return [...entries.values()].map((entry) => entry.run);
    }

    public setPriority(): void {
      // The order follows from the jobs alone.
    }
  }

  const waiting: WaitingJobs = {
    remove: (job) => entries.delete(job),
    list: () => [...entries.keys()],
    tryGetHead: () => findFirst(() => true),
  };
  return { queueClass: ReservationQueue, waiting };

  function pick(): Job | undefined {
    if (entries.size === 0 || host.isHeld()) return undefined;
    const head = findFirst((job) => !host.awaitsPrefix(job));
    if (head === undefined || host.room.fits(head)) return head;
    if (host.clock.now() - head.enqueuedAt > HEAD_PATIENCE_MS) return undefined;
    return findFirst(
      (job) => job.tierRank === head.tierRank && host.room.fits(job) && !host.awaitsPrefix(job),
    );
  }

  function findFirst(isCandidate: (job: Job) => boolean): Job | undefined {
    let first: Job | undefined;
    for (const job of entries.keys()) {
      if (!isCandidate(job)) continue;
      if (first === undefined || comesBefore(job, first)) first = job;
    }
    return first;
  }

  function comesBefore(left: Job, right: Job): boolean {
    if (left.tierRank !== right.tierRank) return left.tierRank < right.tierRank;
    const fair = host.fairness.getRank(left) - host.fairness.getRank(right);
    if (fair !== 0) return fair < 0;
    return getLatestStart(left) < getLatestStart(right);
  }

  function getLatestStart(job: Job): number {
    return job.usefulUntil - host.gauge.estimate(job);
  }
}
