/** What a follower does with its leader's messages. */

import { assert } from '../common/debug.js';
import type {
  AppendRequest,
  AppendResponse,
  LogEntry,
  Replica,
  SnapshotInstall,
} from '../generated/keeper.js';
import type { RaftCore } from './raftCore.js';

/** The follower's part. */
export interface Following {
  handleAppendRequest(from: Replica, term: number, request: AppendRequest): void;
  handleSnapshotInstall(from: Replica, term: number, install: SnapshotInstall): void;
}

/** Creates the part. */
export function createFollowing(core: RaftCore): Following {
  const { log } = core;

  return { handleAppendRequest, handleSnapshotInstall };

  function handleAppendRequest(from: Replica, term: number, request: AppendRequest): void {
    if (!acceptLeader(from, term)) return;
    const { previousIndex, sentAtMs } = request;
    const isCompacted = previousIndex < log.snapshot.index;
    if (!isCompacted && log.tryGetTerm(previousIndex) !== request.previousTerm) {
      const matchIndex = Math.min(previousIndex - 1, log.lastIndex);
      answer(from, { accepted: false, matchIndex, sentAtMs });
      return;
    }
    appendNew(request.entries);
    const matchIndex = Math.max(previousIndex + request.entries.length, log.snapshot.index);
    core.commitIndex = Math.max(core.commitIndex, Math.min(request.commitIndex, matchIndex));
    answer(from, { accepted: true, matchIndex, sentAtMs });
  }

  function appendNew(entries: readonly LogEntry[]): void {
    for (const [position, entry] of entries.entries()) {
      if (entry.index <= log.snapshot.index) continue;
      if (log.tryGetTerm(entry.index) === entry.term) continue;
      assert(entry.index > core.commitIndex, 'a committed entry is never replaced');
      core.append(entries.slice(position));
      return;
    }
  }

  function handleSnapshotInstall(from: Replica, term: number, install: SnapshotInstall): void {
    const { snapshot, sentAtMs } = install;
    if (!acceptLeader(from, term) || snapshot?.header === undefined) return;
    const { header } = snapshot;
    if (header.index > core.commitIndex) {
      log.reset(header);
      core.unwritten = [];
      core.installed = snapshot;
      core.commitIndex = header.index;
      core.appliedIndex = header.index;
      core.persistedIndex = header.index;
    }
    answer(from, { accepted: true, matchIndex: header.index, sentAtMs });
  }

  /** False, with an answer that carries this replica's term, when the sender's term is over. */
  function acceptLeader(from: Replica, term: number): boolean {
    if (term < core.term) {
      answer(from, { accepted: false, matchIndex: 0, sentAtMs: 0 });
      return false;
    }
    core.becomeFollower(term, from);
    core.leaderContactAt = core.clock;
    return true;
  }

  function answer(to: Replica, value: AppendResponse): void {
    core.send(to, core.term, { $case: 'appendResponse', value });
  }
}
