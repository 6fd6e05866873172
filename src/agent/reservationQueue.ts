/**
 * Queue of reservations for p-queue, ordered by tier, then by the team's fair share, then by the
 * latest time at which the job can start.
 */

import type { Queue, QueueAddOptions } from 'p-queue';
import type { Clock } from '../common/clock.js';
import type { Fairness } from './fairness.js';
import type { EndpointCapacity } from './endpointCapacity.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { Job } from './types.js';

/** Jobs of the same tier may overtake a first job that does not fit until it is this old. */
const OVERTAKING_LIMIT_MS = 500;

/** Options with which a job is added to the queue. */
export interface JobOptions extends QueueAddOptions {
  job: Job;
}

type Run = () => Promise<unknown>;

interface QueueEntry {
  job: Job;
  run: Run;
}

/** Dependencies of the queue. */
export interface ReservationQueueHost {
  clock: Clock;
  capacity: EndpointCapacity;
  fairness: Fairness;
  speedEstimator: SpeedEstimator;
  /** Whether no job may be granted at present. */
  isPaused(): boolean;
  /** Whether the job should wait until another request has computed its prefix. */
  shouldWaitForPrefix(job: Job): boolean;
}

/** The queue's contents, as the scheduler sees them. */
export interface WaitingJobs {
  remove(job: Job): boolean;
  list(): Job[];
  /** The first job in order, whether or not it fits. */
  tryGetHead(): Job | undefined;
}

/** Creates a queue class for p-queue and access to the contents of its instances. */
export function createReservationQueue(host: ReservationQueueHost): {
  queueClass: new () => Queue<Run, JobOptions>;
  waiting: WaitingJobs;
} {
  const entries = new Map<Job, QueueEntry>();

  class ReservationQueue implements Queue<Run, JobOptions> {
    /** Number of reservations, or 0 when none can start, so that p-queue dequeues nothing. */
    public get size(): number {
      return selectNext() === undefined ? 0 : entries.size;
    }

    public enqueue(run: Run, options?: Partial<JobOptions>): void {
      if (options?.job !== undefined) entries.set(options.job, { job: options.job, run });
    }

    public dequeue(): Run | undefined {
      const job = selectNext();
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
      // Has no effect: the order depends on the jobs alone.
    }
  }

  const waiting: WaitingJobs = {
    remove: (job) => entries.delete(job),
    list: () => [...entries.keys()],
    tryGetHead: () => findFirst(() => true),
  };
  return { queueClass: ReservationQueue, waiting };

  function selectNext(): Job | undefined {
    if (entries.size === 0 || host.isPaused()) return undefined;
    const head = findFirst((job) => !host.shouldWaitForPrefix(job));
    if (head === undefined || host.capacity.fits(head)) return head;
    if (host.clock.now() - head.enqueuedAt > OVERTAKING_LIMIT_MS) return undefined;
    return findFirst(
      (job) =>
        job.tierRank === head.tierRank && host.capacity.fits(job) && !host.shouldWaitForPrefix(job),
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
    const startTagDifference = host.fairness.getStartTag(left) - host.fairness.getStartTag(right);
    if (startTagDifference !== 0) return startTagDifference < 0;
    return getLatestStart(left) < getLatestStart(right);
  }

  function getLatestStart(job: Job): number {
    return job.deadline - host.speedEstimator.estimateDurationMs(job);
  }
}
