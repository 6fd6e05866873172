/**
 * How often the requests of each route get a place, for loads far above the capacity, in which the
 * most urgent routes alone could fill it: no route is to be served much less often than all are.
 */

/** Share of the mean service of all routes that each route gets at least. */
const FLOOR = 0.5;
/** Time in which a count loses all but 1/e of its weight. */
const MEMORY_MS = 5_000;
/** Counts are brought up to date only so often, since every waiting request asks for them. */
const DECAY_STEP_MS = 20;

/** Service of the routes of one pool. */
export interface RouteFairness {
  recordRequest(route: string): void;
  recordPlacement(route: string): void;
  /** Whether a route is served less often than it should be at least. */
  isUnderserved(route: string): boolean;
  /** Placements a millisecond that a route gets at least. */
  getMinRate(route: string): number;
}

interface Counts {
  asked: number;
  placed: number;
}

/** Creates shares without any request. */
export function createRouteFairness(now: () => number): RouteFairness {
  const routes = new Map<string, Counts>();
  const total: Counts = { asked: 0, placed: 0 };
  let decayedAt = now();

  return {
    recordRequest(route) {
      decay();
      getCounts(route).asked += 1;
      total.asked += 1;
    },
    recordPlacement(route) {
      decay();
      getCounts(route).placed += 1;
      total.placed += 1;
    },
    isUnderserved(route) {
      decay();
      const { asked, placed } = getCounts(route);
      return placed < FLOOR * getMeanShare() * asked;
    },
    getMinRate(route) {
      decay();
      return (FLOOR * getMeanShare() * getCounts(route).asked) / MEMORY_MS;
    },
  };

  function getMeanShare(): number {
    return total.asked === 0 ? 0 : Math.min(1, total.placed / total.asked);
  }

  function getCounts(route: string): Counts {
    const known = routes.get(route);
    if (known !== undefined) return known;
    const created = { asked: 0, placed: 0 };
    routes.set(route, created);
    return created;
  }

  function decay(): void {
    const time = now();
    if (time - decayedAt < DECAY_STEP_MS) return;
    const kept = Math.exp((decayedAt - time) / MEMORY_MS);
    decayedAt = time;
    for (const counts of [total, ...routes.values()]) {
      counts.asked *= kept;
      counts.placed *= kept;
    }
  }
}
