/** Leader behavior: log replication, advancing the commit index, the leader lease. */

import type { AppendResponse, LogEntry, Replica } from '../generated/keeper.js';
import { getEntryPayloadBytes } from './raftLog.js';
import { createProgress, type Progress } from './progress.js';
import { getQuorumValue } from './quorum.js';
import { ELECTION_TIMEOUT_MS, type RaftCore } from './raftCore.js';

const HEARTBEAT_INTERVAL_MS = 100;
const MAX_BATCH_ENTRIES = 256;
/** Stays below the maximum message size of the gRPC channel. */
const MAX_BATCH_BYTES = 4 * 1024 * 1024;
const SNAPSHOT_RESEND_INTERVAL_MS = 2_000;
/** Fraction of the election timeout for which a leader lease lasts; the rest covers clock drift. */
const LEASE_TIMEOUT_FRACTION = 0.9;
const READ_INDEX_ROUND_STEP_MS = 0.001;
/** Time for which a leader accepts no proposals until its successor has stored its log. */
const TRANSFER_TIMEOUT_MS = 300;
/** A leader steps down after this many election timeouts without responses from a majority. */
const STEP_DOWN_ELECTION_TIMEOUTS = 2;

/** Performs the leader's duties and tracks the progress of the other replicas. */
export interface Leadership {
  /** Makes this replica the leader of the current term. */
  becomeLeader(): void;
  tick(): void;
  handleAppendResponse(from: Replica, term: number, response: AppendResponse): void;
  /** Advances the commit index to the last entry that a majority has synced. */
  advanceCommit(): void;
  broadcast(): void;
  /** Whether this replica leads and is about to transfer the lead, so that its log must not grow. */
  readonly isTransferring: boolean;
  /** Begins to transfer the lead. Returns false if no other voter responds. */
  tryTransfer(): boolean;
  /**
   * Starts a heartbeat round (ReadIndex) that confirms that this replica still leads, and returns
   * its id. Unlike the lease, it does not rely on the clock, which may have stopped while the VM
   * was suspended.
   */
  beginReadIndexRound(time: number): number;
  /** Whether a majority has responded to messages sent in `round` or later. */
  isReadIndexConfirmed(round: number): boolean;
  /** Whether this replica leads and no other leader can have been elected by `time`. */
  hasLease(time: number): boolean;
  /** Whether no leader has committed anything after the commit index by `time`. */
  confirmsCommit(time: number): boolean;
  getProgress(storeId: string): Progress | undefined;
  /**
   * Milliseconds since the last contact with a replica, or since it was added or elected this
   * leader if later.
   */
  getTimeSinceContactMs(storeId: string, time: number): number;
}

/** Creates the leader module. */
export function createLeadership(core: RaftCore): Leadership {
  const { log, self, host } = core;
  const progress = new Map<string, Progress>();
  let heartbeatAt = 0;
  let leaderSince = 0;
  let transfer: { target: Replica; deadline: number } | undefined;

  return {
    becomeLeader,
    tick,
    handleAppendResponse,
    advanceCommit,
    broadcast,
    get isTransferring() {
      return core.role === 'leader' && transfer !== undefined;
    },
    tryTransfer,
    beginReadIndexRound,
    isReadIndexConfirmed,
    hasLease,
    confirmsCommit,
    getProgress: (storeId) => progress.get(storeId),
    getTimeSinceContactMs(storeId, time) {
      const { contactAtMs, addedAtMs } = progress.get(storeId) ?? {
        contactAtMs: Number.NEGATIVE_INFINITY,
        addedAtMs: core.now,
      };
      return time - Math.max(contactAtMs, addedAtMs);
    },
  };

  function becomeLeader(): void {
    core.role = 'leader';
    core.leader = self;
    leaderSince = core.now;
    transfer = undefined;
    progress.clear();
    const payload = { $case: 'noop' as const, value: true };
    core.append([{ index: log.lastIndex + 1, term: core.term, payload }]);
    broadcast();
    core.lastLeaderStoreId = undefined;
  }

  /** The leader before this one has been silent since it was last heard, not since the election. */
  function getKnownContactAt({ storeId }: Replica): number {
    return storeId === core.lastLeaderStoreId ? core.leaderContactAt : core.now;
  }

  function tick(): void {
    const lastContact = Math.max(getQuorumContactAt(core.now), leaderSince);
    if (core.now - lastContact > STEP_DOWN_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MS) {
      core.becomeFollower(core.term, undefined);
      return;
    }
    if (transfer !== undefined && core.now >= transfer.deadline) transfer = undefined;
    if (core.now >= heartbeatAt) broadcast();
  }

  function handleAppendResponse(from: Replica, term: number, response: AppendResponse): void {
    if (term > core.term) {
      core.becomeFollower(term, undefined);
      // The replica with that term may be unable to win: others deny it their votes while this one
      // is their leader, which they vote for.
      core.schedulePreVoteRetry();
      return;
    }
    const peer = progress.get(from.storeId);
    if (core.role !== 'leader' || term !== core.term || peer === undefined) return;
    peer.contactAtMs = Math.max(peer.contactAtMs, response.sentAtMs);
    peer.answeredAtMs = response.answeredAtMs;
    if (!response.accepted) {
      // A store that lost the end of its log may have fewer entries than it acknowledged earlier.
      peer.matchIndex = Math.min(peer.matchIndex, response.matchIndex);
      peer.nextIndex = Math.min(peer.nextIndex, response.matchIndex + 1);
      sendAppend(peer);
      return;
    }
    if (response.matchIndex >= (peer.snapshotSent?.index ?? 0)) peer.snapshotSent = undefined;
    peer.matchIndex = Math.max(peer.matchIndex, response.matchIndex);
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    advanceCommit();
    if (peer.nextIndex <= log.lastIndex) sendAppend(peer);
    finishTransfer();
  }

  function tryTransfer(): boolean {
    const [target] = log.membership.voters
      .map(({ storeId }) => progress.get(storeId))
      .filter((peer) => peer !== undefined)
      .filter(({ contactAtMs }) => core.now - contactAtMs < ELECTION_TIMEOUT_MS)
      .toSorted((left, right) => right.matchIndex - left.matchIndex);
    if (target === undefined) return false;
    transfer = { target: target.replica, deadline: core.now + TRANSFER_TIMEOUT_MS };
    finishTransfer();
    return true;
  }

  /**
   * Stops leading once the successor has stored the whole log. Voters grant it their votes although
   * they have just heard this leader, so there must be no lease in this term any more.
   */
  function finishTransfer(): void {
    if (core.role !== 'leader' || transfer === undefined) return;
    const { target } = transfer;
    const { lastIndex } = log;
    if ((progress.get(target.storeId)?.matchIndex ?? 0) < lastIndex) return;
    core.send(target, core.term, { $case: 'leadTransfer', value: { lastIndex } });
    core.becomeFollower(core.term, undefined);
    // If the message is lost, this replica is the only one that is soon granted votes.
    core.schedulePreVoteRetry();
  }

  function advanceCommit(): void {
    const syncedIndex = getAgreedValue((storeId) =>
      storeId === self.storeId ? core.persistedIndex : (progress.get(storeId)?.matchIndex ?? 0),
    );
    // Entries of earlier terms are committed only indirectly, by an entry of the current term.
    if (syncedIndex <= core.commitIndex || log.tryGetTerm(syncedIndex) !== core.term) return;
    core.commitIndex = syncedIndex;
    broadcast();
    if (!isVoterAt(core.commitIndex)) core.becomeFollower(core.term, undefined);
  }

  function broadcast(): void {
    heartbeatAt = core.now + HEARTBEAT_INTERVAL_MS;
    const replicas = listReplicas();
    forgetOthers(replicas);
    for (const replica of replicas) {
      if (replica.storeId === self.storeId) continue;
      const peer =
        progress.get(replica.storeId) ??
        createProgress(replica, log.lastIndex + 1, getKnownContactAt(replica));
      progress.set(replica.storeId, peer);
      if (isWaitingForSnapshot(peer)) sendHeartbeat(peer);
      else sendAppend(peer);
    }
  }

  /** Members, and voters that decide until their removal is committed. */
  function listReplicas(): Replica[] {
    const { voters, learners } = log.membership;
    const deciding = core.getDecidingMemberships().flatMap((membership) => membership.voters);
    const all = [...voters, ...learners, ...deciding];
    return [...new Map(all.map((replica) => [replica.storeId, replica])).values()];
  }

  /** A replica that was removed and joins again may have been without contact for long. */
  function forgetOthers(replicas: readonly Replica[]): void {
    const storeIds = new Set(replicas.map(({ storeId }) => storeId));
    for (const storeId of progress.keys()) {
      if (!storeIds.has(storeId)) progress.delete(storeId);
    }
  }

  /** Whether only a snapshot helps the replica, and one was sent too shortly before to repeat it. */
  function isWaitingForSnapshot(peer: Progress): boolean {
    if (log.tryGetTerm(peer.nextIndex - 1) !== undefined) return false;
    const { atMs } = peer.snapshotSent ?? { atMs: Number.NEGATIVE_INFINITY };
    return core.now - atMs < SNAPSHOT_RESEND_INTERVAL_MS;
  }

  /** Sends a message without entries that refers to the start of the log, which every log has. */
  function sendHeartbeat(peer: Progress): void {
    const { commitIndex, now } = core;
    const start = { previousIndex: 0, previousTerm: 0, entries: [] };
    const { answeredAtMs } = peer;
    const confirmation = { confirmsCommit: confirmsCommit(now), answeredAtMs };
    const value = { ...start, commitIndex, sentAtMs: now, ...confirmation };
    core.send(peer.replica, core.term, { $case: 'appendRequest', value });
  }

  function sendAppend(peer: Progress): void {
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = log.tryGetTerm(previousIndex);
    if (previousTerm === undefined) {
      if (!isWaitingForSnapshot(peer)) sendSnapshot(peer);
      return;
    }
    const entries = limitBytes(log.getEntries(peer.nextIndex, MAX_BATCH_ENTRIES));
    peer.nextIndex += entries.length;
    const { commitIndex, now } = core;
    const previous = { previousIndex, previousTerm };
    const value = {
      ...previous,
      commitIndex,
      entries,
      sentAtMs: now,
      confirmsCommit: confirmsCommit(now),
      answeredAtMs: peer.answeredAtMs,
    };
    core.send(peer.replica, core.term, { $case: 'appendRequest', value });
  }

  function sendSnapshot(peer: Progress): void {
    const snapshot = host.readSnapshot();
    if (snapshot === undefined) return;
    peer.snapshotSent = { index: snapshot.header?.index ?? 0, atMs: core.now };
    const value = { snapshot, sentAtMs: core.now };
    core.send(peer.replica, core.term, { $case: 'snapshotInstall', value });
  }

  function beginReadIndexRound(time: number): number {
    // Strictly later than every earlier message, so that no response to one of those counts.
    core.now = Math.max(time, core.now + READ_INDEX_ROUND_STEP_MS);
    const round = core.now;
    broadcast();
    return round;
  }

  function isReadIndexConfirmed(round: number): boolean {
    return core.role === 'leader' && getQuorumContactAt(round) >= round;
  }

  function hasLease(time: number): boolean {
    if (core.role !== 'leader') return false;
    return time - getQuorumContactAt(time) < ELECTION_TIMEOUT_MS * LEASE_TIMEOUT_FRACTION;
  }

  /** A new leader may lack the last commits of the one before, until one of its own. */
  function confirmsCommit(time: number): boolean {
    return hasLease(time) && log.tryGetTerm(core.commitIndex) === core.term;
  }

  /** Latest time for which a majority has responded to a message sent at that time or later. */
  function getQuorumContactAt(ownContact: number): number {
    return getAgreedValue((storeId) =>
      storeId === self.storeId
        ? ownContact
        : (progress.get(storeId)?.contactAtMs ?? Number.NEGATIVE_INFINITY),
    );
  }

  /** Returns the largest value that a quorum reaches. */
  function getAgreedValue(getValue: (storeId: string) => number): number {
    return getQuorumValue(core.getDecidingMemberships(), core.discountedStores, getValue);
  }

  function isVoterAt(index: number): boolean {
    const { voters } = log.getMembershipAt(index);
    return voters.some((voter) => voter.storeId === self.storeId);
  }
}

/** Returns the leading entries that fit into one message, but at least one. */
function limitBytes(entries: LogEntry[]): LogEntry[] {
  let bytes = 0;
  for (const [position, entry] of entries.entries()) {
    bytes += getEntryPayloadBytes(entry);
    if (bytes > MAX_BATCH_BYTES && position > 0) return entries.slice(0, position);
  }
  return entries;
}
