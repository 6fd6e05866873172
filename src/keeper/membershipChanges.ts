/** Changes of the keepers' membership by the leader, one server at a time. */

import type { Clock } from '../common/clock.js';
import type { Membership, Replica } from '../generated/keeper.js';
import { ELECTION_TIMEOUT_MS } from './raftCore.js';
import type { RunningReplica } from './replica.js';

/** What changes of the membership need of a replica. */
export type MembershipOwner = Pick<RunningReplica, 'raft' | 'isServing' | 'proposeMembership'>;

/** Silence of a voter after which another keeper may take its place; milliseconds. */
const VOTER_SILENCE_MS = 3_000;
/** Further keepers stay learners until a voter is lost. */
const MAX_VOTERS = 5;
/** Fewer voters could not lose one. */
const MIN_VOTERS = 3;
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
 * Makes the next change that leads a caught-up learner to a vote: first the lost voter whose place
 * it takes is removed, then the learner is promoted. An even number of voters, of which one is
 * silent, is left over from a planned replacement and loses the silent one.
 */
export function repairMembership(replica: MembershipOwner, clock: Clock): void {
  const { raft } = replica;
  if (!replica.isServing) return;
  const { membership } = raft.log;
  for (const learner of membership.learners) {
    if (!isCaughtUp(replica, learner, clock.now())) continue;
    const next = tryGetNextMembership(replica, learner, clock.now());
    if (next !== undefined) replica.proposeMembership(next);
    return;
  }
  const { voters, learners } = membership;
  const silent = voters.length % 2 === 0 ? findSilentVoter(replica, clock.now()) : undefined;
  if (silent === undefined || voters.length <= MIN_VOTERS) return;
  replica.proposeMembership({ voters: without(voters, silent), learners });
}

function findSilentVoter({ raft }: MembershipOwner, now: number): Replica | undefined {
  const self = raft.leader?.storeId;
  return raft.log.membership.voters.find((voter) => {
    if (voter.storeId === self) return false;
    return raft.getSilenceMs(voter.storeId, now) > VOTER_SILENCE_MS;
  });
}

function without(replicas: readonly Replica[], lost: Replica): Replica[] {
  return replicas.filter((replica) => replica.storeId !== lost.storeId);
}

function isCaughtUp(replica: MembershipOwner, learner: Replica, now: number): boolean {
  const progress = replica.raft.getProgress(learner.storeId);
  if (progress === undefined || progress.matchIndex === 0) return false;
  const isRecent = now - progress.contactAtMs < ELECTION_TIMEOUT_MS;
  return isRecent && progress.matchIndex + MAX_LAG_ENTRIES >= replica.raft.commitIndex;
}

function tryGetNextMembership(
  replica: MembershipOwner,
  learner: Replica,
  now: number,
): Membership | undefined {
  const { voters, learners } = replica.raft.log.membership;
  const earlier = voters.find((voter) => voter.id === learner.id);
  const lost = earlier ?? findSilentVoter(replica, now);
  const hasSpare = voters.length >= MIN_VOTERS && voters.length % 2 === 1;
  if (lost !== undefined && (lost === earlier || hasSpare)) {
    return { voters: without(voters, lost), learners };
  }
  if (voters.length >= MAX_VOTERS) return undefined;
  return { voters: [...voters, learner], learners: without(learners, learner) };
}
