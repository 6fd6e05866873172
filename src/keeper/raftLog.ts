/** The part of the replicated log that is held in memory: all entries after the last snapshot. */

import { assert } from '../common/debug.js';
import type { LogEntry, Membership, SnapshotHeader } from '../generated/keeper.js';

/** Entries after the last snapshot, with the membership each of them leaves in force. */
export interface RaftLog {
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly snapshot: SnapshotHeader;
  /** Latest membership in the log, committed or not. */
  readonly membership: Membership;
  /** Index of the entry that holds `membership`. */
  readonly membershipIndex: number;
  /** Term of the entry at `index`, undefined when compacted away or not there. */
  tryGetTerm(index: number): number | undefined;
  tryGetEntry(index: number): LogEntry | undefined;
  /** At most `limit` entries from `from` on. */
  getEntries(from: number, limit: number): LogEntry[];
  /** Appends entries, replacing any from the first one's index on. */
  append(entries: readonly LogEntry[]): void;
  /** Drops entries up to and including the snapshot's index. */
  compact(header: SnapshotHeader): void;
  /** Forgets everything and starts again after a snapshot. */
  reset(header: SnapshotHeader): void;
  /** Membership in force at `index`. */
  getMembershipAt(index: number): Membership;
}

/** A log with nothing in it. */
export const emptySnapshotHeader: SnapshotHeader = {
  index: 0,
  term: 0,
  membership: { voters: [], learners: [] },
};

/** Creates a log that starts after `header`. */
export function createRaftLog(header: SnapshotHeader, initial: readonly LogEntry[]): RaftLog {
  let snapshot = header;
  let entries: LogEntry[] = [];
  let memberships = [toMembershipPoint(header)];

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
      return latestMembership().membership;
    },
    get membershipIndex() {
      return latestMembership().index;
    },
    tryGetTerm,
    tryGetEntry,
    getEntries,
    append,
    compact,
    reset,
    getMembershipAt,
  };
  append(initial);
  return log;

  function latestMembership(): MembershipPoint {
    const latest = memberships.at(-1);
    assert(latest !== undefined, 'the log always has a membership');
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
    assert(start >= 0, 'the entries asked for are still in the log');
    return entries.slice(start, start + limit);
  }

  function append(added: readonly LogEntry[]): void {
    const first = added[0];
    if (first === undefined) return;
    assert(first.index > snapshot.index, 'entries follow the snapshot');
    assert(first.index <= log.lastIndex + 1, 'entries leave no gap');
    entries.length = first.index - snapshot.index - 1;
    memberships = memberships.filter((point) => point.index < first.index);
    for (const entry of added) {
      entries.push(entry);
      if (entry.payload?.$case !== 'membership') continue;
      memberships.push({ index: entry.index, membership: entry.payload.value });
    }
  }

  function compact(next: SnapshotHeader): void {
    if (next.index <= snapshot.index) return;
    entries = entries.slice(next.index - snapshot.index);
    const later = memberships.filter((point) => point.index > next.index);
    memberships = [toMembershipPoint(next), ...later];
    snapshot = next;
  }

  function reset(next: SnapshotHeader): void {
    snapshot = next;
    entries = [];
    memberships = [toMembershipPoint(next)];
  }

  function getMembershipAt(index: number): Membership {
    const point = memberships.findLast((candidate) => candidate.index <= index);
    return (point ?? latestMembership()).membership;
  }
}

/** Size of the large part of an entry; everything else is a few hundred bytes. */
export function getEntryBytes(entry: LogEntry): number {
  if (entry.payload?.$case !== 'command') return 0;
  const { change } = entry.payload.value;
  if (change?.$case === 'tableDeclare') return change.value.document.length;
  if (change?.$case === 'ticketAccept') return change.value.body.length;
  return 0;
}

interface MembershipPoint {
  index: number;
  membership: Membership;
}

function toMembershipPoint(header: SnapshotHeader): MembershipPoint {
  const membership = header.membership ?? { voters: [], learners: [] };
  return { index: header.index, membership };
}
