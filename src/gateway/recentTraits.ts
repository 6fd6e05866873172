/** Traits of requests whose responses have begun lately, bounded in number. */

/** Recently recorded traits. */
export interface RecentTraits {
  record(trait: string): void;
  has(trait: string): boolean;
}

/** Creates an empty collection that forgets traits after `retentionMs`, or the oldest beyond `max`. */
export function createRecentTraits(
  now: () => number,
  retentionMs: number,
  max: number,
): RecentTraits {
  /** When each trait was last recorded; the least recent first. */
  const recordedAt = new Map<string, number>();

  return {
    record(trait) {
      recordedAt.delete(trait);
      recordedAt.set(trait, now());
      if (recordedAt.size > max) dropOldest();
    },
    has(trait) {
      const at = recordedAt.get(trait);
      return at !== undefined && now() - at <= retentionMs;
    },
  };

  function dropOldest(): void {
    const [oldest] = recordedAt.keys();
    if (oldest !== undefined) recordedAt.delete(oldest);
  }
}
