/**
 * Further sends of requests, bounded over all gateways: in each window a gateway sends no more of
 * them than a part of the requests that it had in the same window and its share of the burst.
 */

/** Part of the allowed amounts that gateways use, since their counts are not of the same window. */
const USED_SHARE = 0.8;
/** Assumed until reports tell how many gateways there are. */
const MIN_GATEWAYS = 3;
/** Parts that a window is counted in. */
const SLICES = 20;
/** Share of the burst that a gateway has at its start: its predecessor may have used the same window. */
const INITIAL_BURST_SHARE = 0.5;

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
  recordRequest(pool: string): void;
  /** Whether one more send to the pool is allowed; takes it from the budget. */
  tryConsume(pool: string): boolean;
}

interface Slice {
  /** Number of the slice since the budget was created. */
  index: number;
  requests: number;
  sends: number;
}

/** Creates a budget; `countGateways` gives the gateways that share the limits. */
export function createRetryBudget(
  limits: RetryLimits,
  now: () => number,
  countGateways: () => number,
): RetryBudget {
  const startedAt = now();
  const sliceMs = limits.windowMs / SLICES;
  const pools = new Map<string, Slice[]>();

  return {
    recordRequest(pool) {
      getSlice(pool).requests += 1;
    },
    tryConsume(pool) {
      const slice = getSlice(pool);
      const slices = pools.get(pool) ?? [];
      // The oldest slice reaches beyond the window: its requests are too old, its sends may not be.
      const oldest = slice.index - SLICES;
      const requests = sum(slices, ({ index, requests: count }) => (index > oldest ? count : 0));
      const sends = sum(slices, (counted) => counted.sends);
      const allowed = USED_SHARE * (limits.ratio * requests + getBurst());
      if (sends + 1 > allowed) return false;
      slice.sends += 1;
      return true;
    },
  };

  function getBurst(): number {
    const age = (now() - startedAt) / limits.windowMs;
    const share = Math.min(1, INITIAL_BURST_SHARE + age);
    return (limits.burst * share) / Math.max(countGateways(), MIN_GATEWAYS);
  }

  /** The slice of a pool that is being counted; drops those that are older than a window. */
  function getSlice(pool: string): Slice {
    const index = Math.floor((now() - startedAt) / sliceMs);
    const slices = pools.get(pool) ?? [];
    pools.set(pool, slices);
    while (slices[0] !== undefined && slices[0].index < index - SLICES) slices.shift();
    const last = slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, sends: 0 };
    slices.push(created);
    return created;
  }
}

function sum(slices: readonly Slice[], count: (slice: Slice) => number): number {
  return slices.reduce((total, slice) => total + count(slice), 0);
}
