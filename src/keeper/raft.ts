/**
 * Raft as a pure state machine without I/O: it takes ticks, messages and proposals, and returns
 * writes, messages and committed entries. Follows the Raft paper (Ongaro and Ousterhout, 2014) with
 * pre-vote, check-quorum, learners, single-server membership changes and leadership transfer.
 */

import { assertNever } from '../common/debug.js';
import type {
  Command,
  HardState,
  LogEntry,
  Membership,
  PeerMessage,
  Replica,
  SnapshotFile,
} from '../generated/keeper.js';
import { createElection } from './election.js';
import { createFollowerHandlers } from './followerHandlers.js';
import { createLeadership } from './leadership.js';
import type { Progress } from './progress.js';
import {
  createRaftCore,
  type Envelope,
  type RaftHost,
  type InitialRaftState,
  type RaftRole,
} from './raftCore.js';
import type { RaftLog } from './raftLog.js';

/**
 * Output for the driver, to be handled in this order: persist the snapshot, hard state and entries,
 * send the messages, apply the committed entries.
 */
export interface Ready {
  hardState: HardState | undefined;
  entries: LogEntry[];
  /** Snapshot received from the leader, which replaces the log and the state. */
  snapshot: SnapshotFile | undefined;
  messages: Envelope[];
  committed: LogEntry[];
}

/** One Raft replica. */
export interface Raft {
  readonly role: RaftRole;
  readonly term: number;
  readonly leader: Replica | undefined;
  readonly commitIndex: number;
  /** Lost stores of voters that reduce the quorum in this replica's latest candidacy. */
  readonly discountedStores: readonly string[];
  /** Current term and vote, persisted or not. */
  readonly hardState: HardState;
  readonly log: RaftLog;
  /** Membership that a majority has stored; a later one in the log may still be lost. */
  readonly committedMembership: Membership;
  /** Index of the last entry known to be synced to the local disk. */
  readonly persistedIndex: number;
  /** Milliseconds since this replica led or heard from a leader; from its start on before that. */
  getTimeSinceLeaderMs(now: number): number;
  /**
   * Milliseconds since a leader that held its lease confirmed that nothing after `appliedIndex` was
   * committed; infinite before that.
   */
  getTimeSinceConfirmationMs(appliedIndex: number, now: number): number;
  tick(now: number): void;
  /** Stops leading in the current term, and drops the messages that are not taken yet. */
  stopLeading(now: number): void;
  step(message: PeerMessage, now: number): void;
  /**
   * Begins to transfer the lead to the voter that has stored most of the log. Until this replica has
   * stopped leading, or gives up after 300 ms, it accepts no proposals. Returns false if it does not
   * lead or no other voter responds.
   */
  tryTransferLead(now: number): boolean;
  /** Whether this replica leads and is about to transfer the lead. */
  readonly isTransferring: boolean;
  /**
   * Appends a command. Returns its index and term, or undefined if this replica does not lead or
   * transfers its lead.
   */
  tryPropose(command: Command): { index: number; term: number } | undefined;
  /**
   * Appends a membership change. Returns false if this replica is not the leader, transfers its lead,
   * has not committed an entry of its term yet, or if an earlier membership change is uncommitted.
   */
  tryProposeMembership(membership: Membership): boolean;
  /** Reports that all entries up to `index` are synced, of which the last one has term `term`. */
  markPersisted(index: number, term: number): void;
  hasReady(): boolean;
  takeReady(): Ready;
  /** Whether this replica leads and no other leader can have been elected by `now`. */
  hasLeaderLease(now: number): boolean;
  /**
   * Starts a heartbeat round (ReadIndex) that confirms leadership without relying on the clock.
   * Returns the id of the round.
   */
  beginReadIndexRound(now: number): number;
  isReadIndexConfirmed(round: number): boolean;
  getProgress(storeId: string): Progress | undefined;
  /** Milliseconds since the leader last had contact with a replica. */
  getTimeSinceContactMs(storeId: string, now: number): number;
}

/** Creates a replica. `now` is the monotonic time in milliseconds. */
export function createRaft(
  host: RaftHost,
  deployment: string,
  self: Replica,
  initial: InitialRaftState,
  now: number,
): Raft {
  const core = createRaftCore(host, deployment, self, initial, now);
  const leadership = createLeadership(core);
  const election = createElection(core, leadership.becomeLeader);
  const followerHandlers = createFollowerHandlers(core);
  const { log } = core;

  return {
    get role() {
      return core.role;
    },
    get term() {
      return core.term;
    },
    get leader() {
      return core.leader;
    },
    get commitIndex() {
      return core.commitIndex;
    },
    get discountedStores() {
      return [...core.discountedStores];
    },
    get hardState() {
      return { term: core.term, votedFor: core.votedFor };
    },
    log,
    get committedMembership() {
      return log.getMembershipAt(core.commitIndex);
    },
    get persistedIndex() {
      return core.persistedIndex;
    },
    get isTransferring() {
      return leadership.isTransferring;
    },
    getTimeSinceLeaderMs: (time) => (core.role === 'leader' ? 0 : time - core.leaderContactAt),
    getTimeSinceConfirmationMs,
    tick,
    stopLeading,
    step,
    tryTransferLead,
    tryPropose,
    tryProposeMembership,
    markPersisted,
    hasReady,
    takeReady,
    hasLeaderLease: leadership.hasLease,
    beginReadIndexRound: leadership.beginReadIndexRound,
    isReadIndexConfirmed: leadership.isReadIndexConfirmed,
    getProgress: leadership.getProgress,
    getTimeSinceContactMs: leadership.getTimeSinceContactMs,
  };

  function getTimeSinceConfirmationMs(appliedIndex: number, time: number): number {
    if (leadership.confirmsCommit(time)) core.confirmation.record(core.commitIndex, time);
    return core.confirmation.getAgeMs(appliedIndex, time);
  }

  function tick(time: number): void {
    core.now = time;
    if (core.role === 'leader') leadership.tick();
    else if (time >= core.electionAt && core.isVoter(self.storeId)) election.start();
  }

  function stopLeading(time: number): void {
    if (core.role !== 'leader') return;
    core.now = time;
    core.becomeFollower(core.term, undefined);
    core.outgoingMessages = [];
  }

  function step(message: PeerMessage, time: number): void {
    core.now = time;
    const { from, term, body } = message;
    if (from === undefined || body === undefined) return;
    if (message.deployment !== deployment) return;
    if (message.toStoreId !== self.storeId) {
      if (body.$case !== 'voteRequest') return;
      election.handleRequestToLostStore(from, message.toStoreId, body.value);
      return;
    }
    switch (body.$case) {
      case 'voteRequest':
        election.handleVoteRequest(from, term, body.value);
        break;
      case 'voteResponse':
        election.handleVoteResponse(from, term, body.value);
        break;
      case 'appendRequest':
        followerHandlers.handleAppendRequest(from, term, body.value);
        break;
      case 'appendResponse':
        leadership.handleAppendResponse(from, term, body.value);
        break;
      case 'snapshotInstall':
        followerHandlers.handleSnapshotInstall(from, term, body.value);
        break;
      case 'leadTransfer':
        election.handleLeadTransfer(from, term, body.value);
        break;
      default:
        assertNever(body);
    }
  }

  function tryTransferLead(time: number): boolean {
    core.now = time;
    return core.role === 'leader' && leadership.tryTransfer();
  }

  function tryPropose(command: Command): { index: number; term: number } | undefined {
    if (core.role !== 'leader' || leadership.isTransferring) return undefined;
    return propose({ $case: 'command', value: command });
  }

  function tryProposeMembership(membership: Membership): boolean {
    const hasUncommittedChange = log.membershipIndex > core.commitIndex;
    const hasCommittedInTerm = log.tryGetTerm(core.commitIndex) === core.term;
    if (core.role !== 'leader' || leadership.isTransferring) return false;
    if (hasUncommittedChange || !hasCommittedInTerm) return false;
    propose({ $case: 'membership', value: membership });
    return true;
  }

  function propose(payload: LogEntry['payload']): { index: number; term: number } {
    const index = log.lastIndex + 1;
    const { term } = core;
    core.append([{ index, term, payload }]);
    leadership.broadcast();
    return { index, term };
  }

  function markPersisted(index: number, term: number): void {
    // Ignores the report if a new leader replaced the entry during the write.
    if (log.tryGetTerm(index) !== term) return;
    core.persistedIndex = Math.max(core.persistedIndex, index);
    if (core.role === 'leader') leadership.advanceCommit();
  }

  function hasReady(): boolean {
    const hasWrites = core.hardStateChanged || core.unpersistedEntries.length > 0;
    const hasOutput = core.pendingSnapshot !== undefined || core.outgoingMessages.length > 0;
    return hasWrites || hasOutput || core.appliedIndex < core.commitIndex;
  }

  function takeReady(): Ready {
    const ready: Ready = {
      hardState: core.hardStateChanged ? { term: core.term, votedFor: core.votedFor } : undefined,
      entries: core.unpersistedEntries,
      snapshot: core.pendingSnapshot,
      messages: core.outgoingMessages,
      committed: log.getEntries(core.appliedIndex + 1, core.commitIndex - core.appliedIndex),
    };
    core.appliedIndex = core.commitIndex;
    core.hardStateChanged = false;
    core.unpersistedEntries = [];
    core.pendingSnapshot = undefined;
    core.outgoingMessages = [];
    return ready;
  }
}
