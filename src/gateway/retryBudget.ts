/**
 * Limits retries across all gateways. In each window a gateway makes no more retries than a fixed
 * ratio of the requests it received in that window, plus its share of the burst.
 */

/** Share of the limits that is used, since the windows of different gateways are not aligned. */
const USED_SHARE = 0.8;
/** Minimum number of gateways to assume; reports tell the actual number only later. */
const MIN_GATEWAYS = 3;
/** Number of slices into which a window is divided for counting. */
const SLICES = 20;
/**
 * Share of the burst that is available at startup: the process that this one replaces may have used
 * the burst in the same window.
 */
const INITIAL_BURST_SHARE = 0.5;

/** Limits for all gateways together. */
export interface RetryLimits {
  /** Retries per request. */
  ratio: number;
  /** Retries beyond the ratio in one window. */
  burst: number;
  windowMs: number;
}

/** The retry budget of this gateway. */
export interface RetryBudget {
  /** Records a request to a pool. */
  recordRequest(pool: string): void;
  /** Takes one retry to a pool from the budget; returns false if none is left. */
  tryConsume(pool: string): boolean;
}

interface Slice {
  /** Number of the slice since the budget was created. */
  index: number;
  requests: number;
  retries: number;
}

/** Creates a budget; `countGateways` returns the number of gateways that share the limits. */
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
      // The oldest slice lies only partly within the window. To stay within the limits, its
      // requests are not counted, but its retries are.
      const oldest = slice.index - SLICES;
      const requests = sum(slices, ({ index, requests: count }) => (index > oldest ? count : 0));
      const retries = sum(slices, (counted) => counted.retries);
      const allowed = USED_SHARE * (limits.ratio * requests + getBurst());
      if (retries + 1 > allowed) return false;
      slice.retries += 1;
      return true;
    },
  };

  function getBurst(): number {
    const age = (now() - startedAt) / limits.windowMs;
    const share = Math.min(1, INITIAL_BURST_SHARE + age);
    return (limits.burst * share) / Math.max(countGateways(), MIN_GATEWAYS);
  }

  /** Returns the current slice of a pool and drops slices that are older than a window. */
  function getSlice(pool: string): Slice {
    const index = Math.floor((now() - startedAt) / sliceMs);
    const slices = pools.get(pool) ?? [];
    pools.set(pool, slices);
    while (slices[0] !== undefined && slices[0].index < index - SLICES) slices.shift();
    const last = slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, retries: 0 };
    slices.push(created);
    return created;
  }
}

function sum(slices: readonly Slice[], count: (slice: Slice) => number): number {
  return slices.reduce((total, slice) => total + count(slice), 0);
}
