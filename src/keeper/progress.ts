/** What a leader knows of each other replica. */

import type { Replica } from '../generated/keeper.js';

/** Replication progress of one follower or learner. */
export interface Progress {
  replica: Replica;
  /** Next entry to send. */
  nextIndex: number;
  /** Last entry known to be on the replica's disk. */
  matchIndex: number;
  /** Leader's clock when it sent the newest message that was answered; milliseconds. */
  contactAtMs: number;
  /** Leader's clock when a snapshot was last sent; undefined while entries are sent. */
  snapshotSentAtMs: number | undefined;
}

/** Creates the progress of a replica of which nothing is known yet. */
export function createProgress(replica: Replica, nextIndex: number): Progress {
  return {
    replica,
    nextIndex,
    matchIndex: 0,
    contactAtMs: Number.NEGATIVE_INFINITY,
    snapshotSentAtMs: undefined,
  };
}

/** The largest value that a majority reaches; negative infinity for no values. */
export function getMajorityValue(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => right - left);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
