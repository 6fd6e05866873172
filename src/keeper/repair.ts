/** Changes of the keepers' membership by the leader, one server at a time. */

import type { Clock } from '../common/clock.js';
import type { Membership, Replica } from '../generated/keeper.js';
import { ELECTION_TIMEOUT_MS } from './raftCore.js';
import type { RunningReplica } from './replica.js';

/** What changes of the membership need of a replica. */
export type MembershipOwner = Pick<RunningReplica, 'raft' | 'isServing' | 'proposeMembership'>;

/** Entries that a learner may lag behind when it becomes a voter. */
const MAX_LAG_ENTRIES = 64;

export type JoinOutcome = 'learner' | 'voter' | 'busy' | 'not_leader';

/** Takes in a replica as a learner, unless it is a member already. */
export function admitLearner(replica: MembershipOwner, joining: Replica): JoinOutcome {
  const { raft } = replica;
  if (raft.role !== 'leader') return 'not_leader';
  const { voters, learners } = raft.log.membership;
  if (voters.some((voter) => voter.storeId === joining.storeId)) return 'voter';
  if (learners.some((learner) => learner.storeId === joining.storeId)) return 'learner';
  const others = learners.filter((learner) => learner.id !== joining.id);
  const isProposed = replica.proposeMembership({ voters, learners: [...others, joining] });
  return isProposed ? 'learner' : 'busy';
}

/**
 * Makes the next change that leads a caught-up learner to a vote: first the lost voter of the same
 * id is removed, then the learner is promoted.
 */
export function repairMembership(replica: MembershipOwner, clock: Clock): void {
  const { raft } = replica;
  if (!replica.isServing) return;
  const { membership } = raft.log;
  for (const learner of membership.learners) {
    if (!isCaughtUp(replica, learner, clock.now())) continue;
    replica.proposeMembership(nextMembership(membership, learner));
    return;
  }
}

function isCaughtUp(replica: MembershipOwner, learner: Replica, now: number): boolean {
  const progress = replica.raft.getProgress(learner.storeId);
  if (progress === undefined || progress.matchIndex === 0) return false;
  const isRecent = now - progress.contactAtMs < ELECTION_TIMEOUT_MS;
  return isRecent && progress.matchIndex + MAX_LAG_ENTRIES >= replica.raft.commitIndex;
}

function nextMembership(membership: Membership, learner: Replica): Membership {
  const { voters, learners } = membership;
  const remaining = voters.filter((voter) => voter.id !== learner.id);
  if (remaining.length < voters.length) return { voters: remaining, learners };
  const otherLearners = learners.filter((other) => other.storeId !== learner.storeId);
  return { voters: [...voters, learner], learners: otherLearners };
}
