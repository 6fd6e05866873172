/** Changes to the keepers' Raft membership, made by the leader one server at a time. */

import type { Clock } from '../common/clock.js';
import type { Membership, Replica } from '../generated/keeper.js';
import { ELECTION_TIMEOUT_MS } from './raftCore.js';
import type { RunningReplica } from './replica.js';

/** The part of a replica that membership changes use. */
export type MembershipReplica = Pick<RunningReplica, 'raft' | 'isServing' | 'proposeMembership'>;

/** A voter without contact for this long may be replaced by another keeper. */
const VOTER_FAILURE_TIMEOUT_MS = 3_000;
/** Time without contact after which a learner is taken for gone. */
const LEARNER_FAILURE_TIMEOUT_MS = 15_000;
/** Further keepers, but for one spare voter, stay learners until a voter fails. */
const MAX_VOTERS = 5;
/** With fewer voters, the cluster would not survive the loss of one. */
const MIN_VOTERS = 3;
/** A leader that repairs the membership after a longer interval than this did not run in between. */
const MAX_REPAIR_INTERVAL_MS = 500;
/** Maximum number of entries by which a learner may lag when it is promoted to voter. */
const MAX_LAG_ENTRIES = 64;

export type JoinOutcome = 'learner' | 'voter' | 'busy' | 'not_leader';

/** Repairs of the membership, made at short intervals while this replica leads. */
export interface MembershipRepairs {
  run(): void;
}

/** Outcome of a step towards giving up a vote. */
export type LeaveOutcome = 'left' | 'changing' | 'needed' | 'not_leader';

/** Adds a replica as a learner, unless it is already a member. */
export function admitLearner(replica: MembershipReplica, joining: Replica): JoinOutcome {
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
 * Takes the next step towards a membership in which a keeper that stops has no vote; the caller
 * repeats it while the outcome is `changing`. A learner that takes the keeper's place is promoted
 * first, so that no fewer voters than required are left. Without one, the vote is needed: the keeper
 * may be back before another one is.
 */
export function releaseVoter(
  replica: MembershipReplica,
  leaving: Replica,
  now: number,
  requiredVoters: number,
): LeaveOutcome {
  const { raft } = replica;
  if (raft.role !== 'leader') return 'not_leader';
  const { voters, learners } = raft.log.membership;
  const others = excludeReplica(voters, leaving);
  if (others.length === voters.length) {
    // Until it is committed, another leader may not know of the change.
    return raft.log.membershipIndex <= raft.commitIndex ? 'left' : 'changing';
  }
  const silent = others.filter((voter) => !isInContact(replica, voter, now));
  // A change must not wait for the vote of a keeper that may be gone.
  if (silent.some((voter) => !isAwaited(replica, voter, now))) return 'needed';
  if (silent.length > 0) return 'changing';
  if (voters.length > requiredVoters) {
    replica.proposeMembership({ voters: others, learners: [...learners, leaving] });
    return 'changing';
  }
  const successor = learners.find((learner) => isCaughtUp(replica, learner, now));
  if (successor === undefined) {
    return learners.some((learner) => isAwaited(replica, learner, now)) ? 'changing' : 'needed';
  }
  replica.proposeMembership({
    voters: [...others, successor, leaving],
    learners: excludeReplica(learners, successor),
  });
  return 'changing';
}

/** Returns the number of voters of which a majority is left after `losses` at once. */
export function getRequiredVoters(losses: number): number {
  return Math.min(MAX_VOTERS, Math.max(MIN_VOTERS, 2 * losses + 1));
}

/**
 * Creates the repairs of a replica. After a pause of its own process, the leader cannot tell who was
 * silent until it has sent heartbeats and read the answers.
 */
export function createMembershipRepairs(
  replica: MembershipReplica,
  clock: Clock,
  requiredVoters: number,
): MembershipRepairs {
  let ranAt = clock.now();
  let resumedAt = Number.NEGATIVE_INFINITY;

  return {
    run() {
      const now = clock.now();
      if (now - ranAt > MAX_REPAIR_INTERVAL_MS) resumedAt = now;
      ranAt = now;
      if (now - resumedAt >= ELECTION_TIMEOUT_MS) repairMembership(replica, clock, requiredVoters);
    },
  };
}

/**
 * Proposes the next change towards `requiredVoters` voters that respond, and a spare one: the keeper
 * that is started to take the place of another votes at once, since any voter may end from then on.
 * With an even number of voters, half of them suffice once a lost store is known (quorum.ts). A voter
 * out of contact is not needed beside a spare, so it becomes a learner, which lowers the majority.
 *
 * A failed voter is removed before the learner that replaces it is promoted. Voters beyond the spare
 * are removed if they are silent and else become learners.
 */
export function repairMembership(
  replica: MembershipReplica,
  clock: Clock,
  requiredVoters: number,
): void {
  if (!replica.isServing) return;
  const next = tryPlanChange(replica, clock.now(), requiredVoters);
  if (next !== undefined) replica.proposeMembership(next);
}

function tryPlanChange(
  replica: MembershipReplica,
  now: number,
  requiredVoters: number,
): Membership | undefined {
  const { voters, learners } = replica.raft.log.membership;
  if (voters.length > requiredVoters) {
    const failed = findUnresponsiveVoter(replica, now);
    if (failed !== undefined) return { voters: excludeReplica(voters, failed), learners };
    const demotion = tryPlanDemotion(replica, now, requiredVoters);
    if (demotion !== undefined) return demotion;
  }
  for (const learner of learners) {
    if (!isCaughtUp(replica, learner, now)) continue;
    const next = tryPlanPromotion(replica, learner, now, requiredVoters);
    if (next !== undefined) return next;
  }
  const lost = learners.find((learner) => isLostLearner(replica, learner, now));
  return lost === undefined ? undefined : { voters, learners: excludeReplica(learners, lost) };
}

/** Makes a voter a learner: one out of contact, or else the last one beyond the spare. */
function tryPlanDemotion(
  replica: MembershipReplica,
  now: number,
  requiredVoters: number,
): Membership | undefined {
  const { raft } = replica;
  const { voters, learners } = raft.log.membership;
  const others = voters.filter((voter) => voter.storeId !== raft.leader?.storeId);
  const absent = others.find((voter) => !isInContact(replica, voter, now));
  const hasSurplus =
    voters.length > requiredVoters + 1 || listAdditionalLearners(replica, now).length > 0;
  const demoted = absent ?? (hasSurplus ? others.at(-1) : undefined);
  if (demoted === undefined) return undefined;
  return { voters: excludeReplica(voters, demoted), learners: [...learners, demoted] };
}

/** One that is back asks to join again. */
function isLostLearner({ raft }: MembershipReplica, learner: Replica, now: number): boolean {
  return raft.getTimeSinceContactMs(learner.storeId, now) > LEARNER_FAILURE_TIMEOUT_MS;
}

function findUnresponsiveVoter({ raft }: MembershipReplica, now: number): Replica | undefined {
  const self = raft.leader?.storeId;
  return raft.log.membership.voters.find((voter) => {
    if (voter.storeId === self) return false;
    return raft.getTimeSinceContactMs(voter.storeId, now) > VOTER_FAILURE_TIMEOUT_MS;
  });
}

function excludeReplica(replicas: readonly Replica[], excluded: Replica): Replica[] {
  return replicas.filter((replica) => replica.storeId !== excluded.storeId);
}

/** Whether a replica has responded within the election timeout; the leader itself counts. */
function isInContact({ raft }: MembershipReplica, { storeId }: Replica, now: number): boolean {
  if (storeId === raft.leader?.storeId) return true;
  const { contactAtMs } = raft.getProgress(storeId) ?? { contactAtMs: Number.NEGATIVE_INFINITY };
  return now - contactAtMs < ELECTION_TIMEOUT_MS;
}

/**
 * Whether a new leader, which may have just got the lead from another, has yet to hear how much of
 * the log a replica holds. The answer to a heartbeat does not say it.
 */
function isAwaited({ raft }: MembershipReplica, { storeId }: Replica, now: number): boolean {
  const progress = raft.getProgress(storeId);
  if (progress === undefined) return true;
  return progress.matchIndex === 0 && now - progress.addedAtMs < ELECTION_TIMEOUT_MS;
}

function isCaughtUp(replica: MembershipReplica, learner: Replica, now: number): boolean {
  const progress = replica.raft.getProgress(learner.storeId);
  if (progress === undefined || progress.matchIndex === 0) return false;
  return (
    isInContact(replica, learner, now) &&
    progress.matchIndex + MAX_LAG_ENTRIES >= replica.raft.commitIndex
  );
}

function tryPlanPromotion(
  replica: MembershipReplica,
  learner: Replica,
  now: number,
  requiredVoters: number,
): Membership | undefined {
  const { voters, learners } = replica.raft.log.membership;
  const predecessor = voters.find((voter) => voter.id === learner.id);
  const failed = predecessor ?? findUnresponsiveVoter(replica, now);
  const hasSpare = voters.length >= MIN_VOTERS && voters.length % 2 === 1;
  if (failed !== undefined && (failed === predecessor || hasSpare)) {
    return { voters: excludeReplica(voters, failed), learners };
  }
  if (voters.length >= requiredVoters && !mayAddSpare(replica, now, requiredVoters)) {
    return undefined;
  }
  return { voters: [...voters, learner], learners: excludeReplica(learners, learner) };
}

/**
 * Whether a spare voter does no harm: the change does not wait for a voter that may be gone, and a
 * part of the cluster with more than half of all keepers still has a majority of the voters.
 */
function mayAddSpare(replica: MembershipReplica, now: number, requiredVoters: number): boolean {
  const { voters } = replica.raft.log.membership;
  if (voters.length !== requiredVoters || listAdditionalLearners(replica, now).length > 1) {
    return false;
  }
  return voters.every((voter) => isInContact(replica, voter, now));
}

/** Learners that respond and are no successors of voters that have lost their stores. */
function listAdditionalLearners(replica: MembershipReplica, now: number): Replica[] {
  const { voters, learners } = replica.raft.log.membership;
  const ids = new Set(voters.map(({ id }) => id));
  return learners.filter((learner) => !ids.has(learner.id) && isInContact(replica, learner, now));
}
