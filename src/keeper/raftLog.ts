/** In-memory Raft log: all entries after the compaction point. */

import { assert } from '../common/debug.js';
import type { LogEntry, Membership, SnapshotHeader } from '../generated/keeper.js';

/** Log entries after the compaction point, and the memberships that they contain. */
export interface RaftLog {
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Index, term and membership of the last compacted entry. */
  readonly snapshot: SnapshotHeader;
  /** Latest membership in the log, committed or not. */
  readonly membership: Membership;
  /** Index of the entry that contains `membership`. */
  readonly membershipIndex: number;
  /** Term of the entry at `index`; undefined if it is compacted away or past the end. */
  tryGetTerm(index: number): number | undefined;
  tryGetEntry(index: number): LogEntry | undefined;
  /** Returns at most `limit` entries, starting at index `from`. */
  getEntries(from: number, limit: number): LogEntry[];
  /** Truncates the log before the index of the first entry, then appends the entries. */
  append(entries: readonly LogEntry[]): void;
  /** Discards entries up to and including `header.index`. */
  compact(header: SnapshotHeader): void;
  /** Discards all entries and restarts the log after a snapshot. */
  reset(header: SnapshotHeader): void;
  /** Membership in force at `index`. */
  getMembershipAt(index: number): Membership;
  /**
   * The latest membership, and the one before it unless the change is committed as of `commitIndex`.
   * A decision needs the voters of both.
   */
  getDecidingMemberships(commitIndex: number): Membership[];
}

/** Header of the empty log, before the first snapshot. */
export const emptySnapshotHeader: SnapshotHeader = {
  index: 0,
  term: 0,
  membership: { voters: [], learners: [] },
};

/** Creates a log that starts after `header`. */
export function createRaftLog(header: SnapshotHeader, initial: readonly LogEntry[]): RaftLog {
  let snapshot = header;
  let entries: LogEntry[] = [];
  let memberships = [toMembershipRecord(header)];

  const log: RaftLog = {
    get firstIndex() {
      return snapshot.index + 1;
    },
    get lastIndex() {
      return snapshot.index + entries.length;
    },
    get lastTerm() {
      return entries.at(-1)?.term ?? snapshot.term;
    },
    get snapshot() {
      return snapshot;
    },
    get membership() {
      return getLatestMembership().membership;
    },
    get membershipIndex() {
      return getLatestMembership().index;
    },
    tryGetTerm,
    tryGetEntry,
    getEntries,
    append,
    compact,
    reset,
    getMembershipAt,
    getDecidingMemberships,
  };
  append(initial);
  return log;

  function getLatestMembership(): MembershipRecord {
    const latest = memberships.at(-1);
    assert(latest !== undefined, 'the log must have a membership');
    return latest;
  }

  function tryGetTerm(index: number): number | undefined {
    if (index === snapshot.index) return snapshot.term;
    return tryGetEntry(index)?.term;
  }

  function tryGetEntry(index: number): LogEntry | undefined {
    if (index <= snapshot.index) return undefined;
    return entries[index - snapshot.index - 1];
  }

  function getEntries(from: number, limit: number): LogEntry[] {
    const start = from - snapshot.index - 1;
    assert(start >= 0, 'requested entries are compacted away');
    return entries.slice(start, start + limit);
  }

  function append(added: readonly LogEntry[]): void {
    const first = added[0];
    if (first === undefined) return;
    assert(first.index > snapshot.index, 'appended entries must follow the snapshot');
    assert(first.index <= log.lastIndex + 1, 'appended entries must leave no gap');
    entries.length = first.index - snapshot.index - 1;
    memberships = memberships.filter((record) => record.index < first.index);
    for (const entry of added) {
      entries.push(entry);
      if (entry.payload?.$case !== 'membership') continue;
      memberships.push({ index: entry.index, membership: entry.payload.value });
    }
  }

  function compact(next: SnapshotHeader): void {
    if (next.index <= snapshot.index) return;
    entries = entries.slice(next.index - snapshot.index);
    const later = memberships.filter((record) => record.index > next.index);
    memberships = [toMembershipRecord(next), ...later];
    snapshot = next;
  }

  function reset(next: SnapshotHeader): void {
    snapshot = next;
    entries = [];
    memberships = [toMembershipRecord(next)];
  }

  function getMembershipAt(index: number): Membership {
    const record = memberships.findLast((candidate) => candidate.index <= index);
    return (record ?? getLatestMembership()).membership;
  }

  function getDecidingMemberships(commitIndex: number): Membership[] {
    const latest = getLatestMembership();
    const [before] = memberships.slice(-2, -1);
    // The first membership of a cluster follows none.
    const isFirst = before === undefined || before.membership.voters.length === 0;
    if (isFirst || latest.index <= commitIndex) return [latest.membership];
    return [before.membership, latest.membership];
  }
}

/** Size in bytes of an entry's table document or ticket body. The rest is a few hundred bytes. */
export function getEntryPayloadBytes(entry: LogEntry): number {
  if (entry.payload?.$case !== 'command') return 0;
  const { change } = entry.payload.value;
  if (change?.$case === 'tableDeclare') return change.value.document.length;
  if (change?.$case === 'ticketAccept') return change.value.body.length;
  return 0;
}

interface MembershipRecord {
  index: number;
  membership: Membership;
}

function toMembershipRecord(header: SnapshotHeader): MembershipRecord {
  const membership = header.membership ?? { voters: [], learners: [] };
  return { index: header.index, membership };
}
