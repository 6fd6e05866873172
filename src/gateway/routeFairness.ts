/**
 * Guarantees each route of a pool a minimum share of placements. Under heavy overload the most
 * urgent routes alone could fill the capacity; no route should be placed much less often, relative
 * to its requests, than the average route.
 */

/** Minimum placement ratio of a route, relative to that of all routes together. */
const MIN_RELATIVE_RATIO = 0.5;
/** Time constant with which counts decay exponentially. */
const DECAY_MS = 5_000;
/** Minimum interval between decay updates, as every waiting request queries the counts. */
const DECAY_INTERVAL_MS = 20;

/** Placement statistics for the routes of one pool. */
export interface RouteFairness {
  recordRequest(route: string): void;
  recordPlacement(route: string): void;
  /** Whether a route is placed less often than the guaranteed minimum. */
  isUnderserved(route: string): boolean;
  /** Guaranteed placements of a route per millisecond. */
  getMinRate(route: string): number;
}

interface Counts {
  requested: number;
  placed: number;
}

export function createRouteFairness(now: () => number): RouteFairness {
  const routes = new Map<string, Counts>();
  const total: Counts = { requested: 0, placed: 0 };
  let decayedAt = now();

  return {
    recordRequest(route) {
      decay();
      getCounts(route).requested += 1;
      total.requested += 1;
    },
    recordPlacement(route) {
      decay();
      getCounts(route).placed += 1;
      total.placed += 1;
    },
    isUnderserved(route) {
      decay();
      const { requested, placed } = getCounts(route);
      return placed < MIN_RELATIVE_RATIO * getMeanRatio() * requested;
    },
    getMinRate(route) {
      decay();
      return (MIN_RELATIVE_RATIO * getMeanRatio() * getCounts(route).requested) / DECAY_MS;
    },
  };

  function getMeanRatio(): number {
    return total.requested === 0 ? 0 : Math.min(1, total.placed / total.requested);
  }

  function getCounts(route: string): Counts {
    const known = routes.get(route);
    if (known !== undefined) return known;
    const created = { requested: 0, placed: 0 };
    routes.set(route, created);
    return created;
  }

  function decay(): void {
    const time = now();
    if (time - decayedAt < DECAY_INTERVAL_MS) return;
    const kept = Math.exp((decayedAt - time) / DECAY_MS);
    decayedAt = time;
    for (const counts of [total, ...routes.values()]) {
      counts.requested *= kept;
      counts.placed *= kept;
    }
  }
}
