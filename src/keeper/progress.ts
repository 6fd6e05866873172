/** Replication progress of the other replicas, as tracked by the leader. */

import type { Replica } from '../generated/keeper.js';

/** Replication progress of one follower or learner. */
export interface Progress {
  replica: Replica;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Index of the last entry known to be synced to the replica's disk. */
  matchIndex: number;
  /** Time at which the leader sent the latest message that the replica has responded to. */
  contactAtMs: number;
  /** Time in the latest response of the replica, on its own clock. */
  answeredAtMs: number | undefined;
  /** Time at which the leader began to send to the replica, or last heard from an earlier leader. */
  addedAtMs: number;
  /** The last snapshot sent; undefined once the replica is known to have it. */
  snapshotSent: { index: number; atMs: number } | undefined;
}

/** Creates the progress of a replica that has not responded yet. */
export function createProgress(replica: Replica, nextIndex: number, now: number): Progress {
  return {
    replica,
    nextIndex,
    matchIndex: 0,
    contactAtMs: Number.NEGATIVE_INFINITY,
    answeredAtMs: undefined,
    addedAtMs: now,
    snapshotSent: undefined,
  };
}
