/**
 * What one gateway may take of an engine's free slots. Gateways hear of each other's requests a
 * part of a second late: if each took every slot that it sees free, an engine that has just come
 * back would get as many times its slots as there are gateways. So each takes its share of what is
 * free, and of a rest smaller than the number of gateways one by chance; where there are few
 * gateways, always one. What a gateway has
 * released itself it may use again at once.
 */

/** Time until other gateways have heard of a placement, in milliseconds. */
const UNSEEN_MS = 250;
/** Time for which a gateway's chance of a slot of the rest is kept. */
const DRAW_MS = 150;
/** Gateways, against an engine's slots, that may each take one slot without overfilling it by much. */
const FEW_GATEWAYS_SHARE = 0.4;

/** One gateway's claims at one endpoint. */
export interface SlotLimiter {
  recordPlacement(): void;
  recordRelease(): void;
  /** Whether one more of `free` among `slots` may be taken, with `gateways` gateways in all. */
  canPlace(free: number, slots: number, gateways: number): boolean;
}

/** Creates claims; `random` gives numbers from 0 to 1. */
export function createSlotLimiter(now: () => number, random: () => number): SlotLimiter {
  /** Times of the last placements and releases. */
  const changes: { at: number; change: 1 | -1 }[] = [];
  let drawn = 0;
  let drawnAt = Number.NEGATIVE_INFINITY;

  return {
    recordPlacement: () => note(1),
    recordRelease: () => note(-1),
    canPlace(free, slots, gateways) {
      const unseen = sumUnseen();
      const freeAsSeen = Math.max(0, free + unseen);
      const least = gateways <= FEW_GATEWAYS_SHARE * slots ? 1 : 0;
      return unseen < Math.max(least, getShare(freeAsSeen, gateways));
    },
  };

  function note(change: 1 | -1): void {
    changes.push({ at: now(), change });
    forgetOld();
  }

  /** Slots taken, less those released, that other gateways do not know of yet. */
  function sumUnseen(): number {
    forgetOld();
    return changes.reduce((sum, { change }) => sum + change, 0);
  }

  function forgetOld(): void {
    const oldest = now() - UNSEEN_MS;
    while (changes[0] !== undefined && changes[0].at < oldest) changes.shift();
  }

  function getShare(free: number, gateways: number): number {
    const rest = free % gateways;
    return Math.floor(free / gateways) + (draw() < rest / gateways ? 1 : 0);
  }

  function draw(): number {
    if (now() - drawnAt >= DRAW_MS) {
      drawn = random();
      drawnAt = now();
    }
    return drawn;
  }
}
