/** State that the parts of the agreement share, and the changes that more than one part makes. */

import { assert } from '../common/debug.js';
import type {
  HardState,
  LogEntry,
  PeerMessage,
  Replica,
  SnapshotFile,
  SnapshotHeader,
} from '../generated/keeper.js';
import { createRaftLog, type RaftLog } from './raftLog.js';

/** Time without a leader after which an election may begin; milliseconds. */
export const ELECTION_TIMEOUT_MS = 600;

export type RaftRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** A message and the replica it goes to. */
export interface Envelope {
  to: Replica;
  message: PeerMessage;
}

/** What the state machine needs from outside. */
export interface RaftHost {
  /** A number from 0 (included) to 1 (excluded). */
  random(): number;
  /** Newest snapshot, for a replica that is too far behind. */
  readSnapshot(): SnapshotFile | undefined;
}

/** What survived on disk. */
export interface RaftInitial {
  hardState: HardState;
  header: SnapshotHeader;
  entries: LogEntry[];
}

/** Shared state of one replica. Times are of the monotonic clock, in milliseconds. */
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
  /** Last entry that is surely synced here. */
  persistedIndex: number;
  /** Time of the last event. */
  clock: number;
  /** When a leader was last heard; no vote is given for a whole timeout after that. */
  leaderContactAt: number;
  electionAt: number;
  hardStateChanged: boolean;
  unwritten: LogEntry[];
  installed: SnapshotFile | undefined;
  outbox: Envelope[];
  send(to: Replica, term: number, body: PeerMessage['body']): void;
  append(entries: readonly LogEntry[]): void;
  becomeFollower(term: number, leader: Replica | undefined): void;
  resetElectionTimer(): void;
  isVoter(storeId: string): boolean;
}

/** Creates the state of a replica that starts as a follower. */
export function createRaftCore(
  host: RaftHost,
  deployment: string,
  self: Replica,
  initial: RaftInitial,
  now: number,
): RaftCore {
  const log = createRaftLog(initial.header, initial.entries);
  const core: RaftCore = {
    host,
    self,
    log,
    role: 'follower',
    term: initial.hardState.term,
    votedFor: initial.hardState.votedFor,
    leader: undefined,
    commitIndex: initial.header.index,
    appliedIndex: initial.header.index,
    persistedIndex: log.lastIndex,
    clock: now,
    // A restarted replica may have promised a leader not to vote, so it waits a whole timeout.
    leaderContactAt: now,
    electionAt: 0,
    hardStateChanged: false,
    unwritten: [],
    installed: undefined,
    outbox: [],
    send,
    append,
    becomeFollower,
    resetElectionTimer,
    isVoter: (storeId) => log.membership.voters.some((voter) => voter.storeId === storeId),
  };
  resetElectionTimer();
  return core;

  function send(to: Replica, term: number, body: PeerMessage['body']): void {
    const message = { deployment, from: self, toStoreId: to.storeId, term, body };
    core.outbox.push({ to, message });
  }

  function append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    assert(first !== undefined, 'there is something to append');
    log.append(entries);
    const earlier = core.unwritten.filter((entry) => entry.index < first.index);
    core.unwritten = [...earlier, ...entries];
    core.persistedIndex = Math.min(core.persistedIndex, first.index - 1);
  }

  function becomeFollower(term: number, leader: Replica | undefined): void {
    if (term > core.term) {
      core.term = term;
      core.votedFor = '';
      core.hardStateChanged = true;
    }
    core.role = 'follower';
    core.leader = leader;
    resetElectionTimer();
  }

  function resetElectionTimer(): void {
    core.electionAt = core.clock + ELECTION_TIMEOUT_MS * (1 + host.random());
  }
}
