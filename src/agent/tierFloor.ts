/** The lowest tier that is currently served. A floor expires unless it is raised again in time. */

import type { Clock } from '../common/clock.js';

/** The tier floor of one agent. */
export interface TierFloor {
  raise(tierRank: number, validMs: number): void;
  /** Whether the tier is currently refused. */
  isBelow(tierRank: number): boolean;
}

/** Creates a floor that refuses no tier. */
export function createTierFloor(clock: Clock): TierFloor {
  // By tier rank, the time until which lower tiers (those with a higher rank) are refused.
  const expiryTimes = new Map<number, number>();

  return { raise, isBelow };

  function raise(tierRank: number, validMs: number): void {
    const expiresAt = clock.now() + validMs;
    expiryTimes.set(tierRank, Math.max(expiresAt, expiryTimes.get(tierRank) ?? 0));
  }

  function isBelow(tierRank: number): boolean {
    const now = clock.now();
    for (const [rank, expiresAt] of expiryTimes) {
      if (expiresAt <= now) expiryTimes.delete(rank);
      else if (tierRank > rank) return true;
    }
    return false;
  }
}
