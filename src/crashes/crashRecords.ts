/**
 * Records of endpoint crashes by the traits of the requests that the endpoints were working on.
 * Every gateway and every keeper holds all of them. Records may arrive late, repeatedly and in any
 * order: merging them in any order gives the same state.
 */

import type { CrashRecord } from '../generated/control.js';

/** Crashes that one record lists. */
const MAX_LISTED_CRASHES = 16;
/** Crashes from which on a trait may be held responsible. */
export const RESPONSIBLE_CRASHES = 3;
/** How long a record is kept that may hold a trait responsible, after its last change. */
export const RESPONSIBLE_RETENTION_MS = 60 * 60 * 1_000;
/** How long any other record is kept after its last change. */
const SUSPECT_RETENTION_MS = 60_000;
/** How long a cleared record is kept, which prevents late evidence from counting. */
const CLEARED_RETENTION_MS = 15_000;
const MAX_RECORDS = 512;
const EXPIRY_INTERVAL_MS = 1_000;

/** All records known to a process. */
export interface CrashRecords {
  /** Increases with each change. */
  readonly version: number;
  readonly size: number;
  /** Returns whether the record changed anything. */
  merge(record: CrashRecord): boolean;
  tryGet(trait: string): CrashRecord | undefined;
  list(): CrashRecord[];
  /** Opens a cursor before the first record. */
  openCursor(): CrashRecordCursor;
}

/** Follows the changes of a collection for one receiver. */
export interface CrashRecordCursor {
  /** Returns the records that have changed since the last call; all of them at first. */
  takeChanged(): CrashRecord[];
}

interface StoredRecord {
  record: CrashRecord;
  /** Version of the collection at the last change. */
  version: number;
  changedAt: number;
}

/** Creates an empty collection; `now` returns monotonic time in milliseconds. */
export function createCrashRecords(now: () => number): CrashRecords {
  const stored = new Map<string, StoredRecord>();
  let version = 0;
  let expiryAt = 0;

  return {
    get version() {
      dropExpired();
      return version;
    },
    get size() {
      return stored.size;
    },
    merge,
    tryGet: (trait) => stored.get(trait)?.record,
    list: () => listChangedSince(0),
    openCursor,
  };

  function merge(received: CrashRecord): boolean {
    dropExpired();
    const known = stored.get(received.trait);
    const record = known === undefined ? received : mergeRecords(known.record, received);
    if (record === known?.record) return false;
    const changedAt = Math.max(
      known?.changedAt ?? Number.NEGATIVE_INFINITY,
      now() - received.ageMs,
    );
    if (isExpired({ record, changedAt })) return false;
    version += 1;
    // Moves the record to the end, so that the oldest change comes first.
    stored.delete(received.trait);
    stored.set(received.trait, { record, version, changedAt });
    if (stored.size > MAX_RECORDS) dropLeastUseful();
    return true;
  }

  function openCursor(): CrashRecordCursor {
    let takenVersion = 0;
    return {
      takeChanged() {
        const changed = listChangedSince(takenVersion);
        takenVersion = version;
        return changed;
      },
    };
  }

  function listChangedSince(since: number): CrashRecord[] {
    dropExpired();
    if (since === version) return [];
    const changed: CrashRecord[] = [];
    for (const { record, version: changedIn, changedAt } of stored.values()) {
      if (changedIn > since) changed.push({ ...record, ageMs: Math.round(now() - changedAt) });
    }
    return changed;
  }

  function dropExpired(): void {
    if (now() < expiryAt) return;
    expiryAt = now() + EXPIRY_INTERVAL_MS;
    for (const [trait, entry] of stored) {
      if (!isExpired(entry)) continue;
      stored.delete(trait);
      version += 1;
    }
  }

  function isExpired({ record, changedAt }: Omit<StoredRecord, 'version'>): boolean {
    return now() - changedAt > getRetentionMs(record);
  }

  /** Drops the oldest record that holds no trait responsible, or else the oldest of all. */
  function dropLeastUseful(): void {
    const traits = [...stored.keys()];
    const dropped = traits.find((trait) => !mayBeResponsible(stored.get(trait)!.record));
    stored.delete(dropped ?? traits[0]!);
  }
}

/** Whether a record alone does not rule out that its trait crashes endpoints. */
export function mayBeResponsible({ crashes, isCleared }: CrashRecord): boolean {
  return !isCleared && crashes.length >= RESPONSIBLE_CRASHES;
}

function getRetentionMs(record: CrashRecord): number {
  if (record.isCleared) return CLEARED_RETENTION_MS;
  return mayBeResponsible(record) ? RESPONSIBLE_RETENTION_MS : SUSPECT_RETENTION_MS;
}

/** Returns `known` itself if the received record adds nothing to it. */
function mergeRecords(known: CrashRecord, received: CrashRecord): CrashRecord {
  // Which crashes remain listed must not depend on the order in which records are merged.
  const all = new Set([...known.crashes, ...received.crashes]);
  const crashes = [...all].sort().slice(0, MAX_LISTED_CRASHES);
  const isCleared = known.isCleared || received.isCleared;
  const isSame = isCleared === known.isCleared && crashes.join() === known.crashes.join();
  return isSame ? known : { ...known, crashes, isCleared };
}
