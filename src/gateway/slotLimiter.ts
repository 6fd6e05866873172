/**
 * Limits how many of an engine's free slots one gateway may take. Gateways learn of each other's
 * placements a fraction of a second late. If each took every slot that it sees free, an engine that
 * has just recovered would receive its slot count once per gateway.
 *
 * Each gateway takes an equal share of the free slots. A remainder smaller than the number of
 * gateways is assigned at random, one slot per gateway at most. If there are few gateways relative
 * to the slots, each may always take one slot. Slots that a gateway has released itself are
 * available to it again immediately.
 */

/** Delays with which a gateway takes its share. */
export interface ShareTiming {
  /** Time until other gateways have learned of a placement, in milliseconds. */
  propagationMs: number;
  /** Interval at which a gateway draws again for a slot of the remainder, in milliseconds. */
  drawIntervalMs: number;
}

const slotTiming: ShareTiming = { propagationMs: 250, drawIntervalMs: 150 };
/** Ratio of gateways to slots up to which one slot for each gateway overfills an engine only slightly. */
const FEW_GATEWAYS_RATIO = 0.4;

/** Limiter of one gateway for one endpoint. */
export interface SlotLimiter {
  recordPlacement(): void;
  recordRelease(): void;
  /** Whether one more slot may be taken, given `free` of `slots` and the number of all gateways. */
  canPlace(free: number, slots: number, gateways: number): boolean;
}

/** Creates a limiter; `random` returns numbers from 0 to 1. */
export function createSlotLimiter(
  now: () => number,
  random: () => number,
  { propagationMs, drawIntervalMs }: ShareTiming = slotTiming,
): SlotLimiter {
  /** Recent placements and releases. */
  const changes: { at: number; change: 1 | -1 }[] = [];
  let drawn = 0;
  let drawnAt = Number.NEGATIVE_INFINITY;

  return {
    recordPlacement: () => record(1),
    recordRelease: () => record(-1),
    canPlace(free, slots, gateways) {
      const unseen = sumUnseen();
      const freeAsSeen = Math.max(0, free + unseen);
      const least = gateways <= FEW_GATEWAYS_RATIO * slots ? 1 : 0;
      return unseen < Math.max(least, getShare(freeAsSeen, gateways));
    },
  };

  function record(change: 1 | -1): void {
    changes.push({ at: now(), change });
    dropOld();
  }

  /** Slots taken minus slots released that other gateways have not learned of yet. */
  function sumUnseen(): number {
    dropOld();
    return changes.reduce((sum, { change }) => sum + change, 0);
  }

  function dropOld(): void {
    const oldest = now() - propagationMs;
    while (changes[0] !== undefined && changes[0].at < oldest) changes.shift();
  }

  function getShare(free: number, gateways: number): number {
    const remainder = free % gateways;
    return Math.floor(free / gateways) + (draw() < remainder / gateways ? 1 : 0);
  }

  function draw(): number {
    if (now() - drawnAt >= drawIntervalMs) {
      drawn = random();
      drawnAt = now();
    }
    return drawn;
  }
}
