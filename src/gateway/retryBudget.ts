/**
 * Further sends of requests, bounded over all gateways: each earns a part of a send with every
 * request of a pool and holds its share of the burst.
 */

/** Part of the allowed amounts that gateways use, since their counts are not of the same window. */
const USED_SHARE = 0.8;
/** Assumed until reports tell how many gateways there are. */
const MIN_GATEWAYS = 3;

/** Limits over all gateways together. */
export interface RetryLimits {
  /** Further sends for each request. */
  ratio: number;
  /** Further sends beyond the ratio in one window. */
  burst: number;
  windowMs: number;
}

/** The budget of this gateway. */
export interface RetryBudget {
  /** Notes a request of a pool. */
  earn(pool: string): void;
  /** Whether one more send to the pool is allowed; takes it from the budget. */
  tryTake(pool: string): boolean;
}

/** Creates a budget; `countGateways` gives the gateways that share the limits. */
export function createRetryBudget(
  limits: RetryLimits,
  now: () => number,
  countGateways: () => number,
): RetryBudget {
  const pools = new Map<string, { tokens: number; at: number }>();

  return {
    earn(pool) {
      const budget = getPool(pool);
      budget.tokens = Math.min(getBurst(), budget.tokens + limits.ratio * USED_SHARE);
    },
    tryTake(pool) {
      const budget = getPool(pool);
      if (budget.tokens < 1) return false;
      budget.tokens -= 1;
      return true;
    },
  };

  function getBurst(): number {
    // Half may be there at the beginning of a window, the other half returns during it.
    const half = (limits.burst * USED_SHARE) / 2;
    return half / Math.max(countGateways(), MIN_GATEWAYS);
  }

  /** The state of a pool, with what has returned since its last use. */
  function getPool(pool: string): { tokens: number; at: number } {
    const time = now();
    const known = pools.get(pool);
    if (known === undefined) {
      const created = { tokens: getBurst(), at: time };
      pools.set(pool, created);
      return created;
    }
    const returned = (getBurst() * (time - known.at)) / limits.windowMs;
    known.tokens = Math.min(getBurst(), known.tokens + returned);
    known.at = time;
    return known;
  }
}
