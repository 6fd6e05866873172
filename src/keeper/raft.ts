/**
 * The replicated log's agreement as a pure state machine: time, messages and proposals in; writes,
 * messages and committed entries out. Follows the Raft paper (Ongaro and Ousterhout, 2014) with
 * pre-vote, check-quorum, learners and single-server membership changes.
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
import { createFollowing } from './following.js';
import { createLeading } from './leading.js';
import type { Progress } from './progress.js';
import {
  createRaftCore,
  type Envelope,
  type RaftHost,
  type RaftInitial,
  type RaftRole,
} from './raftCore.js';
import type { RaftLog } from './raftLog.js';

/** Work for the driver: first the writes, then the messages, then the committed entries. */
export interface Ready {
  hardState: HardState | undefined;
  entries: LogEntry[];
  /** A snapshot from the leader that replaces log and state. */
  snapshot: SnapshotFile | undefined;
  messages: Envelope[];
  committed: LogEntry[];
}

/** One replica of the log. */
export interface Raft {
  readonly role: RaftRole;
  readonly term: number;
  readonly leader: Replica | undefined;
  readonly commitIndex: number;
  /** Term and vote, including what is not yet written. */
  readonly hardState: HardState;
  readonly log: RaftLog;
  tick(now: number): void;
  step(message: PeerMessage, now: number): void;
  /** Appends a command; returns its index and term, or undefined when this replica does not lead. */
  tryPropose(command: Command): { index: number; term: number } | undefined;
  /** Appends a membership; false while another change is open or this replica does not lead. */
  tryProposeMembership(membership: Membership): boolean;
  /** Tells that the entries up to `index` of `term` are synced. */
  persisted(index: number, term: number): void;
  hasReady(): boolean;
  takeReady(): Ready;
  /** Whether no other leader can have been elected by `now`. */
  hasLeaderLease(now: number): boolean;
  /** Begins a round that confirms leadership without trusting the clock. */
  beginConfirmation(now: number): number;
  isConfirmed(confirmation: number): boolean;
  getProgress(storeId: string): Progress | undefined;
  /** Time for which a leader has not heard a member, in milliseconds. */
  getSilenceMs(storeId: string, now: number): number;
}

/** Creates a replica; `now` is the monotonic time in milliseconds. */
export function createRaft(
  host: RaftHost,
  deployment: string,
  self: Replica,
  initial: RaftInitial,
  now: number,
): Raft {
  const core = createRaftCore(host, deployment, self, initial, now);
  const leading = createLeading(core);
  const election = createElection(core, leading.begin);
  const following = createFollowing(core);
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
    get hardState() {
      return { term: core.term, votedFor: core.votedFor };
    },
    log,
    tick,
    step,
    tryPropose,
    tryProposeMembership,
    persisted,
    hasReady,
    takeReady,
    hasLeaderLease: leading.hasLease,
    beginConfirmation: leading.beginConfirmation,
    isConfirmed: leading.isConfirmed,
    getProgress: leading.getProgress,
    getSilenceMs: leading.getSilenceMs,
  };

  function tick(time: number): void {
    core.clock = time;
    if (core.role === 'leader') leading.tick();
    else if (time >= core.electionAt && core.isVoter(self.storeId)) election.start();
  }

  function step(message: PeerMessage, time: number): void {
    core.clock = time;
    const { from, term, body } = message;
    if (from === undefined || body === undefined) return;
    if (message.deployment !== deployment || message.toStoreId !== self.storeId) return;
    switch (body.$case) {
      case 'voteRequest':
        election.handleVoteRequest(from, term, body.value);
        break;
      case 'voteResponse':
        election.handleVoteResponse(from, term, body.value);
        break;
      case 'appendRequest':
        following.handleAppendRequest(from, term, body.value);
        break;
      case 'appendResponse':
        leading.handleAppendResponse(from, term, body.value);
        break;
      case 'snapshotInstall':
        following.handleSnapshotInstall(from, term, body.value);
        break;
      default:
        assertNever(body);
    }
  }

  function tryPropose(command: Command): { index: number; term: number } | undefined {
    if (core.role !== 'leader') return undefined;
    return propose({ $case: 'command', value: command });
  }

  function tryProposeMembership(membership: Membership): boolean {
    const isOpen = log.membershipIndex > core.commitIndex;
    const isSettled = log.tryGetTerm(core.commitIndex) === core.term;
    if (core.role !== 'leader' || isOpen || !isSettled) return false;
    propose({ $case: 'membership', value: membership });
    return true;
  }

  function propose(payload: LogEntry['payload']): { index: number; term: number } {
    const index = log.lastIndex + 1;
    const { term } = core;
    core.append([{ index, term, payload }]);
    leading.broadcast();
    return { index, term };
  }

  function persisted(index: number, term: number): void {
    // The entry may have been replaced while it was being written.
    if (log.tryGetTerm(index) !== term) return;
    core.persistedIndex = Math.max(core.persistedIndex, index);
    if (core.role === 'leader') leading.advanceCommit();
  }

  function hasReady(): boolean {
    const hasWrites = core.hardStateChanged || core.unwritten.length > 0;
    const hasOutput = core.installed !== undefined || core.outbox.length > 0;
    return hasWrites || hasOutput || core.appliedIndex < core.commitIndex;
  }

  function takeReady(): Ready {
    const ready: Ready = {
      hardState: core.hardStateChanged ? { term: core.term, votedFor: core.votedFor } : undefined,
      entries: core.unwritten,
      snapshot: core.installed,
      messages: core.outbox,
      committed: log.getEntries(core.appliedIndex + 1, core.commitIndex - core.appliedIndex),
    };
    core.appliedIndex = core.commitIndex;
    core.hardStateChanged = false;
    core.unwritten = [];
    core.installed = undefined;
    core.outbox = [];
    return ready;
  }
}
