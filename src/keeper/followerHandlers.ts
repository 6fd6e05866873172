/** Handlers for the messages that a leader sends to its followers and learners. */

import { assert } from '../common/debug.js';
import type {
  AppendRequest,
  AppendResponse,
  LogEntry,
  Replica,
  SnapshotInstall,
} from '../generated/keeper.js';
import type { RaftCore } from './raftCore.js';

/** Handles append requests and snapshots from the leader. */
export interface FollowerHandlers {
  handleAppendRequest(from: Replica, term: number, request: AppendRequest): void;
  handleSnapshotInstall(from: Replica, term: number, install: SnapshotInstall): void;
}

/** Creates the handlers. */
export function createFollowerHandlers(core: RaftCore): FollowerHandlers {
  const { log } = core;

  return { handleAppendRequest, handleSnapshotInstall };

  function handleAppendRequest(from: Replica, term: number, request: AppendRequest): void {
    if (!acceptLeader(from, term)) return;
    const { previousIndex, sentAtMs } = request;
    recordConfirmation(request);
    const isCompacted = previousIndex < log.snapshot.index;
    if (!isCompacted && log.tryGetTerm(previousIndex) !== request.previousTerm) {
      const matchIndex = Math.min(previousIndex - 1, log.lastIndex);
      respond(from, { accepted: false, matchIndex, sentAtMs });
      return;
    }
    appendMissing(request.entries);
    const matchIndex = Math.max(previousIndex + request.entries.length, log.snapshot.index);
    core.commitIndex = Math.max(core.commitIndex, Math.min(request.commitIndex, matchIndex));
    respond(from, { accepted: true, matchIndex, sentAtMs });
  }

  /** A message that was read late confirms nothing for the time in which it waited. */
  function recordConfirmation(request: AppendRequest): void {
    const { commitIndex, confirmsCommit, answeredAtMs } = request;
    if (!confirmsCommit || answeredAtMs === undefined) return;
    const time = core.answerTimes.tryDecode(answeredAtMs, core.now);
    if (time !== undefined) core.confirmation.record(commitIndex, time);
  }

  function appendMissing(entries: readonly LogEntry[]): void {
    for (const [position, entry] of entries.entries()) {
      if (entry.index <= log.snapshot.index) continue;
      if (log.tryGetTerm(entry.index) === entry.term) continue;
      assert(entry.index > core.commitIndex, 'a committed entry must not be replaced');
      core.append(entries.slice(position));
      return;
    }
  }

  function handleSnapshotInstall(from: Replica, term: number, install: SnapshotInstall): void {
    const { snapshot, sentAtMs } = install;
    if (!acceptLeader(from, term) || snapshot?.header === undefined) return;
    const { header } = snapshot;
    if (log.tryGetTerm(header.index) === header.term) {
      // Entries after it may have been acknowledged.
      core.commitIndex = Math.max(core.commitIndex, header.index);
    } else if (header.index > core.commitIndex) {
      log.reset(header);
      core.unpersistedEntries = [];
      core.pendingSnapshot = snapshot;
      core.commitIndex = header.index;
      core.appliedIndex = header.index;
      core.persistedIndex = header.index;
    }
    respond(from, { accepted: true, matchIndex: header.index, sentAtMs });
  }

  /**
   * Follows the sender as leader. Returns false if the sender's term is outdated, after replying
   * with the current term.
   */
  function acceptLeader(from: Replica, term: number): boolean {
    if (term < core.term) {
      respond(from, { accepted: false, matchIndex: 0, sentAtMs: 0 });
      return false;
    }
    core.becomeFollower(term, from);
    core.leaderContactAt = core.now;
    core.lastLeaderStoreId = from.storeId;
    return true;
  }

  function respond(to: Replica, response: AppendResponse): void {
    const value = { ...response, answeredAtMs: core.answerTimes.encode(core.now) };
    core.send(to, core.term, { $case: 'appendResponse', value });
  }
}
