/** What a leader does: replication, commitment, its lease. */

import type { AppendResponse, LogEntry, Replica } from '../generated/keeper.js';
import { getEntryBytes } from './raftLog.js';
import { createProgress, getMajorityValue, type Progress } from './progress.js';
import { ELECTION_TIMEOUT_MS, type RaftCore } from './raftCore.js';

/** Interval of a leader's heartbeats; milliseconds. */
const HEARTBEAT_MS = 100;
const MAX_BATCH_ENTRIES = 256;
/** Below the largest message that a channel carries. */
const MAX_BATCH_BYTES = 4 * 1024 * 1024;
const SNAPSHOT_RESEND_MS = 2_000;
/** Share of the election timeout that a leader's lease may use, to allow for clock drift. */
const LEASE_SHARE = 0.9;
const CONFIRMATION_STEP_MS = 0.001;
/** Election timeouts without a majority's answers after which a leader steps down. */
const STEP_DOWN_TIMEOUTS = 2;

/** The leader's part. */
export interface Leading {
  /** Makes this replica the leader of its term. */
  begin(): void;
  tick(): void;
  handleAppendResponse(from: Replica, term: number, response: AppendResponse): void;
  /** Commits what a majority has synced. */
  advanceCommit(): void;
  broadcast(): void;
  /**
   * Begins a round that confirms that this replica still leads. Unlike a lease it does not trust
   * the clock, which may have stood still while the VM was suspended.
   */
  beginConfirmation(time: number): number;
  /** Whether a majority has answered a message that was sent in the round `confirmation` or later. */
  isConfirmed(confirmation: number): boolean;
  /** Whether no other leader can have been elected by `time`. */
  hasLease(time: number): boolean;
  getProgress(storeId: string): Progress | undefined;
  /** Time since a member was heard, counted from the beginning of the term at the earliest. */
  getSilenceMs(storeId: string, time: number): number;
}

/** Creates the part. */
export function createLeading(core: RaftCore): Leading {
  const { log, self, host } = core;
  const progress = new Map<string, Progress>();
  let heartbeatAt = 0;
  let since = 0;

  return {
    begin,
    tick,
    handleAppendResponse,
    advanceCommit,
    broadcast,
    beginConfirmation,
    isConfirmed,
    hasLease,
    getProgress: (storeId) => progress.get(storeId),
    getSilenceMs(storeId, time) {
      const contactAt = progress.get(storeId)?.contactAtMs ?? Number.NEGATIVE_INFINITY;
      return time - Math.max(contactAt, since);
    },
  };

  function begin(): void {
    core.role = 'leader';
    core.leader = self;
    since = core.clock;
    progress.clear();
    const payload = { $case: 'noop' as const, value: true };
    core.append([{ index: log.lastIndex + 1, term: core.term, payload }]);
    broadcast();
  }

  function tick(): void {
    const lastContact = Math.max(getQuorumContact(core.clock), since);
    if (core.clock - lastContact > STEP_DOWN_TIMEOUTS * ELECTION_TIMEOUT_MS) {
      core.becomeFollower(core.term, undefined);
      return;
    }
    if (core.clock >= heartbeatAt) broadcast();
  }

  function handleAppendResponse(from: Replica, term: number, response: AppendResponse): void {
    if (term > core.term) {
      core.becomeFollower(term, undefined);
      return;
    }
    const peer = progress.get(from.storeId);
    if (core.role !== 'leader' || term !== core.term || peer === undefined) return;
    peer.contactAtMs = Math.max(peer.contactAtMs, response.sentAtMs);
    if (!response.accepted) {
      // A store that lost its last records may be behind what it acknowledged before.
      peer.matchIndex = Math.min(peer.matchIndex, response.matchIndex);
      peer.nextIndex = Math.min(peer.nextIndex, response.matchIndex + 1);
      sendAppend(peer);
      return;
    }
    peer.snapshotSentAtMs = undefined;
    peer.matchIndex = Math.max(peer.matchIndex, response.matchIndex);
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    advanceCommit();
    if (peer.nextIndex <= log.lastIndex) sendAppend(peer);
  }

  function advanceCommit(): void {
    const indexes = log.membership.voters.map((voter) =>
      voter.storeId === self.storeId
        ? core.persistedIndex
        : (progress.get(voter.storeId)?.matchIndex ?? 0),
    );
    const majorityIndex = getMajorityValue(indexes);
    // Entries of earlier terms are committed only together with one of this term.
    if (majorityIndex <= core.commitIndex || log.tryGetTerm(majorityIndex) !== core.term) return;
    core.commitIndex = majorityIndex;
    broadcast();
    if (!isVoterAt(core.commitIndex)) core.becomeFollower(core.term, undefined);
  }

  function broadcast(): void {
    heartbeatAt = core.clock + HEARTBEAT_MS;
    const { voters, learners } = log.membership;
    for (const replica of [...voters, ...learners]) {
      if (replica.storeId === self.storeId) continue;
      const peer = progress.get(replica.storeId) ?? createProgress(replica, log.lastIndex + 1);
      progress.set(replica.storeId, peer);
      sendAppend(peer);
    }
  }

  function sendAppend(peer: Progress): void {
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = log.tryGetTerm(previousIndex);
    if (previousTerm === undefined) {
      sendSnapshot(peer);
      return;
    }
    const entries = limitBytes(log.getEntries(peer.nextIndex, MAX_BATCH_ENTRIES));
    peer.nextIndex += entries.length;
    const { commitIndex, clock } = core;
    const value = { previousIndex, previousTerm, commitIndex, entries, sentAtMs: clock };
    core.send(peer.replica, core.term, { $case: 'appendRequest', value });
  }

  function sendSnapshot(peer: Progress): void {
    const sentAt = peer.snapshotSentAtMs ?? Number.NEGATIVE_INFINITY;
    const snapshot = host.readSnapshot();
    if (core.clock - sentAt < SNAPSHOT_RESEND_MS || snapshot === undefined) return;
    peer.snapshotSentAtMs = core.clock;
    const value = { snapshot, sentAtMs: core.clock };
    core.send(peer.replica, core.term, { $case: 'snapshotInstall', value });
  }

  function beginConfirmation(time: number): number {
    // Strictly later than anything sent before, so that no earlier answer counts.
    core.clock = Math.max(time, core.clock + CONFIRMATION_STEP_MS);
    const confirmation = core.clock;
    broadcast();
    return confirmation;
  }

  function isConfirmed(confirmation: number): boolean {
    return core.role === 'leader' && getQuorumContact(confirmation) >= confirmation;
  }

  function hasLease(time: number): boolean {
    if (core.role !== 'leader') return false;
    return time - getQuorumContact(time) < ELECTION_TIMEOUT_MS * LEASE_SHARE;
  }

  /** Time of sending of the newest messages that a majority has answered. */
  function getQuorumContact(ownContact: number): number {
    const contacts = log.membership.voters.map((voter) =>
      voter.storeId === self.storeId
        ? ownContact
        : (progress.get(voter.storeId)?.contactAtMs ?? Number.NEGATIVE_INFINITY),
    );
    return getMajorityValue(contacts);
  }

  function isVoterAt(index: number): boolean {
    const { voters } = log.getMembershipAt(index);
    return voters.some((voter) => voter.storeId === self.storeId);
  }
}

/** The first entries that fit into one message; at least one. */
function limitBytes(entries: LogEntry[]): LogEntry[] {
  let bytes = 0;
  for (const [position, entry] of entries.entries()) {
    bytes += getEntryBytes(entry);
    if (bytes > MAX_BATCH_BYTES && position > 0) return entries.slice(0, position);
  }
  return entries;
}
