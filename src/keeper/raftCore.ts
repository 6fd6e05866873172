/** State shared by the Raft modules, and the transitions that several of them perform. */

import { assert } from '../common/debug.js';
import type {
  CommittedEntry,
  HardState,
  LogEntry,
  Membership,
  PeerMessage,
  Replica,
  SnapshotFile,
  SnapshotHeader,
} from '../generated/keeper.js';
import { createAnswerTimes, type AnswerTimes } from './answerTimes.js';
import { createLeaderConfirmation, type LeaderConfirmation } from './leaderConfirmation.js';
import type { LostStores } from './quorum.js';
import { createRaftLog, type RaftLog } from './raftLog.js';

/** Minimum time without contact from a leader before an election starts, in milliseconds. */
export const ELECTION_TIMEOUT_MS = 600;
/**
 * Minimum time between two rounds of pre-votes, in milliseconds. They are cheap, since they change
 * no term and write nothing, and fail while a voter has heard a leader shortly before.
 */
const PRE_VOTE_RETRY_MS = 150;
/** Spread of the first election timeout; smaller, so that a cluster that starts has a leader soon. */
const FIRST_TIMEOUT_SPREAD = 0.5;

export type RaftRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** An outgoing message and its recipient. */
export interface Envelope {
  to: Replica;
  message: PeerMessage;
}

/** External dependencies of the state machine. */
export interface RaftHost {
  /** Returns a number in the range [0, 1). */
  random(): number;
  /** Returns the latest snapshot, which is sent to replicas whose next entry is compacted away. */
  readSnapshot(): SnapshotFile | undefined;
}

/** Raft state recovered from disk. */
export interface InitialRaftState {
  hardState: HardState;
  header: SnapshotHeader;
  entries: LogEntry[];
  /** An entry that was committed; not always the last one. */
  committed?: CommittedEntry;
}

/** Raft state of one replica. All times are milliseconds of the monotonic clock. */
export interface RaftCore {
  readonly host: RaftHost;
  readonly self: Replica;
  readonly log: RaftLog;
  role: RaftRole;
  term: number;
  votedFor: string;
  leader: Replica | undefined;
  commitIndex: number;
  appliedIndex: number;
  /** Index of the last entry known to be synced to the local disk. */
  persistedIndex: number;
  /** Time of the last tick, message or read-index round. */
  now: number;
  /** Last contact with a leader; no vote is granted within one election timeout of it. */
  leaderContactAt: number;
  readonly confirmation: LeaderConfirmation;
  /** Answers that this process has sent, which it knows again when the leader returns their time. */
  readonly answerTimes: AnswerTimes;
  /** Stores of voters that are known to be lost for good. */
  readonly lostStores: Set<string>;
  /**
   * Those that were known when this replica last asked for votes. Only these count in its quorums, as
   * all votes and acknowledgements of its term were given after their loss.
   */
  discountedStores: LostStores;
  /** Store of the leader that was last followed; undefined once this replica has led itself. */
  lastLeaderStoreId: string | undefined;
  electionAt: number;
  hardStateChanged: boolean;
  unpersistedEntries: LogEntry[];
  pendingSnapshot: SnapshotFile | undefined;
  outgoingMessages: Envelope[];
  send(to: Replica, term: number, body: PeerMessage['body']): void;
  append(entries: readonly LogEntry[]): void;
  becomeFollower(term: number, leader: Replica | undefined): void;
  /**
   * Follows no one in a later term. The election timer runs on: the replica that asks for votes in
   * that term may be unable to win, and this one the only one that can.
   */
  adoptTerm(term: number): void;
  resetElectionTimer(): void;
  /** Sets the election timer to the next round of pre-votes. */
  schedulePreVoteRetry(): void;
  /** Sets the election timer to the next attempt after a split vote, for one voter after another. */
  scheduleVoteRetry(): void;
  isVoter(storeId: string): boolean;
  /** Memberships whose voters have to agree now. */
  getDecidingMemberships(): Membership[];
}

/** Creates the state of a replica, which starts as a follower. */
export function createRaftCore(
  host: RaftHost,
  deployment: string,
  self: Replica,
  initial: InitialRaftState,
  now: number,
): RaftCore {
  const log = createRaftLog(initial.header, initial.entries);
  const random = host.random();
  const core: RaftCore = {
    host,
    self,
    log,
    role: 'follower',
    term: initial.hardState.term,
    votedFor: initial.hardState.votedFor,
    leader: undefined,
    commitIndex: getKnownCommitIndex(log, initial.committed),
    appliedIndex: initial.header.index,
    persistedIndex: log.lastIndex,
    now,
    // Before the restart this replica may have acknowledged a leader, whose lease relies on this
    // replica granting no vote for a whole election timeout.
    leaderContactAt: now,
    confirmation: createLeaderConfirmation(),
    answerTimes: createAnswerTimes(now, random),
    lostStores: new Set(),
    discountedStores: new Set(),
    lastLeaderStoreId: undefined,
    electionAt: now + ELECTION_TIMEOUT_MS * (1 + random * FIRST_TIMEOUT_SPREAD),
    hardStateChanged: false,
    unpersistedEntries: [],
    pendingSnapshot: undefined,
    outgoingMessages: [],
    send,
    append,
    becomeFollower,
    adoptTerm,
    resetElectionTimer,
    schedulePreVoteRetry,
    scheduleVoteRetry,
    isVoter: (storeId) => log.membership.voters.some((voter) => voter.storeId === storeId),
    getDecidingMemberships: () => log.getDecidingMemberships(core.commitIndex),
  };
  return core;

  function send(to: Replica, term: number, body: PeerMessage['body']): void {
    const message = { deployment, from: self, toStoreId: to.storeId, term, body };
    core.outgoingMessages.push({ to, message });
  }

  function append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    assert(first !== undefined, 'append requires at least one entry');
    log.append(entries);
    const earlier = core.unpersistedEntries.filter((entry) => entry.index < first.index);
    core.unpersistedEntries = [...earlier, ...entries];
    core.persistedIndex = Math.min(core.persistedIndex, first.index - 1);
  }

  function becomeFollower(term: number, leader: Replica | undefined): void {
    if (term > core.term) adoptTerm(term);
    core.role = 'follower';
    core.leader = leader;
    resetElectionTimer();
  }

  function adoptTerm(term: number): void {
    core.term = term;
    core.votedFor = '';
    core.hardStateChanged = true;
    core.role = 'follower';
    core.leader = undefined;
  }

  function resetElectionTimer(): void {
    core.electionAt = core.now + ELECTION_TIMEOUT_MS * (1 + host.random());
  }

  function schedulePreVoteRetry(): void {
    core.electionAt = core.now + PRE_VOTE_RETRY_MS * (1 + host.random());
  }

  function scheduleVoteRetry(): void {
    const rank = log.membership.voters.findIndex((voter) => voter.storeId === self.storeId);
    const retryAt = core.now + PRE_VOTE_RETRY_MS * (1 + rank + host.random());
    core.electionAt = Math.min(core.electionAt, retryAt);
  }
}

/** A log that has lost its end may have got other entries, which were never committed. */
function getKnownCommitIndex(log: RaftLog, committed: CommittedEntry | undefined): number {
  const { index } = log.snapshot;
  if (committed === undefined || committed.index < index) return index;
  return log.tryGetTerm(committed.index) === committed.term ? committed.index : index;
}
