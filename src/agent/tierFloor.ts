/** The lowest tier that is served now. A floor is held only while it is renewed. */

import type { Clock } from '../common/clock.js';

/** The floor of one agent. */
export interface TierFloor {
  raise(tierRank: number, validMs: number): void;
  /** Whether a tier is not served now. */
  isBelow(tierRank: number): boolean;
}

/** Creates a floor below which there is nothing. */
export function createTierFloor(clock: Clock): TierFloor {
  // By tier, the time until which lower tiers are refused.
  const floors = new Map<number, number>();

  return { raise, isBelow };

  function raise(tierRank: number, validMs: number): void {
    const until = clock.now() + validMs;
    floors.set(tierRank, Math.max(until, floors.get(tierRank) ?? 0));
  }

  function isBelow(tierRank: number): boolean {
    const now = clock.now();
    for (const [rank, until] of floors) {
      if (until <= now) floors.delete(rank);
      else if (tierRank > rank) return true;
    }
    return false;
  }
}
