/** Announcements under keys, several for each key if they name different pools. */

import type { Announcement } from '../generated/control.js';

/** Announcements by key and pool. Only those of declared pools count for `tryGetLatest`. */
export interface AnnouncementIndex {
  /** Replaces the announcement under the key that names the same pool. */
  set(key: string, announcement: Announcement): void;
  tryGet(key: string, pool: string): Announcement | undefined;
  /** Returns the announcement of the latest incarnation in a declared pool. */
  tryGetLatest(key: string): Announcement | undefined;
  /** Announcements under one key. */
  listOf(key: string): Announcement[];
  list(): Announcement[];
  /** The latest announcements of all keys that have one of a declared pool. */
  listLatest(): Announcement[];
  /** Takes account of a change of the declared pools. */
  refresh(): void;
}

/** Creates an empty index that follows `declaredPools`. */
export function createAnnouncementIndex(declaredPools: ReadonlySet<string>): AnnouncementIndex {
  const byKey = new Map<string, Map<string, Announcement>>();
  const latestByKey = new Map<string, Announcement>();

  return {
    set,
    tryGet: (key, pool) => byKey.get(key)?.get(pool),
    tryGetLatest: (key) => latestByKey.get(key),
    listOf: (key) => [...(byKey.get(key)?.values() ?? [])],
    list: () => [...byKey.values()].flatMap((byPool) => [...byPool.values()]),
    listLatest: () => [...latestByKey.values()],
    refresh() {
      for (const key of byKey.keys()) updateLatest(key);
    },
  };

  function set(key: string, announcement: Announcement): void {
    const byPool = byKey.get(key) ?? new Map<string, Announcement>();
    byKey.set(key, byPool);
    byPool.set(announcement.pool, announcement);
    updateLatest(key);
  }

  function updateLatest(key: string): void {
    let latest: Announcement | undefined;
    for (const [pool, announcement] of byKey.get(key) ?? []) {
      if (!declaredPools.has(pool)) continue;
      if (latest === undefined || isLater(announcement, latest)) latest = announcement;
    }
    if (latest !== undefined) latestByKey.set(key, latest);
  }
}

/** Whether `left` is of a later incarnation than `right`; a total order, for any order of merges. */
export function isLater(left: Announcement, right: Announcement): boolean {
  if (left.bornAtMs !== right.bornAtMs) return left.bornAtMs > right.bornAtMs;
  if (left.endpointId !== right.endpointId) return left.endpointId > right.endpointId;
  if (left.sequence !== right.sequence) return left.sequence > right.sequence;
  return left.pool > right.pool;
}
