/** What a keeper tells subscribers of its feed about the cluster, and whether they may rely on it. */

import type { KeeperList } from '../feed/keeperDirectory.js';
import type { RunningReplica } from './replica.js';

/** Age of a quorum's confirmation from which on it is no longer relied on. */
const MAX_CONFIRMATION_AGE_MS = 1_000;

/** The part of a replica that is described. */
export type DescribedReplica = Pick<RunningReplica, 'raft' | 'appliedIndex'>;

/**
 * Lists the members of the cluster, and the leader that this keeper follows: while the keeper lags,
 * the members that it knows may all be gone.
 */
export function listKeepers(replica: DescribedReplica | undefined): KeeperList {
  if (replica === undefined) return { addresses: [], index: 0 };
  const { commitIndex, committedMembership, leader, log } = replica.raft;
  // After a restart nothing is committed yet, and what the log says is all there is.
  const { voters, learners } = commitIndex === 0 ? log.membership : committedMembership;
  const addresses = new Set([...voters, ...learners].map(({ address }) => address));
  if (leader !== undefined) addresses.add(leader.address);
  return { addresses: [...addresses], index: Math.min(log.membershipIndex, commitIndex) };
}

/**
 * Whether a leader with a quorum has confirmed lately that this keeper has applied all that was
 * committed. A keeper that was removed, is cut off, lags or hangs on its disk is not current.
 */
export function isCurrent(replica: DescribedReplica | undefined, now: number): boolean {
  if (replica === undefined) return false;
  const { raft, appliedIndex } = replica;
  return raft.getTimeSinceConfirmationMs(appliedIndex, now) < MAX_CONFIRMATION_AGE_MS;
}
