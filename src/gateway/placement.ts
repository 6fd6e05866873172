/**
 * Chooses an endpoint for a request. The speeds of endpoints in one pool differ by several times.
 * Long requests therefore go to fast endpoints, as they would otherwise finish last or not at all,
 * and short requests are spread by load.
 *
 * Engines process prompts one after the other, so one very long prompt delays the first chunk of
 * every response behind it. The prompt tokens that an engine has not processed yet are therefore
 * weighed against the objective of the request.
 */

/** The properties of an endpoint that determine its cost. */
export interface Candidate<Endpoint> {
  endpoint: Endpoint;
  /** Requests running there, from all gateways. */
  occupancy: number;
  slots: number;
  /** Mean time between two chunks of its streams, in milliseconds. */
  chunkIntervalMs: number | undefined;
  /** Prompt tokens that it has not processed yet. */
  unreadTokens: number;
  /** Mean processing time of one prompt token, in milliseconds. */
  promptTokenMs: number | undefined;
  /** Mean time for one output token, in milliseconds. */
  outputTokenMs: number | undefined;
  /** Mean longest pause between two chunks of a stream, in milliseconds. */
  pauseMs: number | undefined;
  /** How long work takes on its VM now, relative to its usual time. */
  slowdown: number;
  /** Whether it is in the failure domain of the gateway. */
  isLocal: boolean;
}

/** The properties of a request that determine the cost of a placement. */
export interface PlacementDemand {
  /** Work relative to the mean of the pool. */
  relativeWork: number;
  promptTokens: number;
  /** Largest length of the response. */
  outputTokens: number;
  /** Time within which the response should start, in milliseconds. */
  objectiveMs: number;
  /** Longest pause between two events of a stream that is in time, in milliseconds; 0 without one. */
  pauseObjectiveMs: number;
  /** Time until the caller leaves, in milliseconds. */
  remainingMs: number;
}

/** Decides how good each candidate is for a request. */
export interface PlacementPolicy {
  /** Returns the cost of each candidate. */
  getCosts(candidates: readonly Candidate<unknown>[], demand: PlacementDemand): number[];
}

/** Cost of a full endpoint compared with an empty one; 1 is the duration of a whole request. */
const LOAD_COST = 0.6;
/** Cost of a response that starts only when its objective is up, in the same unit. */
const FIRST_CHUNK_COST = 1;
/** Costs that differ by no more than this count as equal, since load reports arrive late. */
const COST_TOLERANCE = 0.04;

/**
 * Returns the endpoint with the lowest cost, or undefined if all are full. Ties are broken by
 * `random`: gateways that choose at the same time from the same reports must not all choose the
 * same endpoint.
 */
export function tryChooseEndpoint<Endpoint>(
  candidates: readonly Candidate<Endpoint>[],
  demand: PlacementDemand,
  random: () => number,
  policy: PlacementPolicy,
): Endpoint | undefined {
  const costs = policy.getCosts(candidates, demand);
  const free = candidates.flatMap(({ endpoint, occupancy, slots }, index) =>
    occupancy < slots ? [{ endpoint, cost: costs[index] ?? 0 }] : [],
  );
  const least = Math.min(...free.map(({ cost }) => cost));
  const equals = free.filter(({ cost }) => cost <= least + COST_TOLERANCE);
  return equals[Math.floor(random() * equals.length)]?.endpoint;
}

/** Weighs speed, load and the first chunk against each other. */
export class LoadPlacement implements PlacementPolicy {
  getCosts(candidates: readonly Candidate<unknown>[], demand: PlacementDemand): number[] {
    const means = {
      chunkIntervalMs: getMean(candidates, ({ chunkIntervalMs }) => chunkIntervalMs),
      promptTokenMs: getMean(candidates, ({ promptTokenMs }) => promptTokenMs),
    };
    return candidates.map((candidate) => getCost(candidate, demand, means));
  }
}

interface PoolMeans {
  chunkIntervalMs: number;
  promptTokenMs: number;
}

function getCost(
  { occupancy, slots, chunkIntervalMs, unreadTokens, promptTokenMs }: Candidate<unknown>,
  { relativeWork, promptTokens, objectiveMs }: PlacementDemand,
  means: PoolMeans,
): number {
  const slowness =
    chunkIntervalMs === undefined || means.chunkIntervalMs === 0
      ? 1
      : chunkIntervalMs / means.chunkIntervalMs;
  const firstChunkMs = (unreadTokens + promptTokens) * (promptTokenMs ?? means.promptTokenMs);
  const firstChunkCost = objectiveMs > 0 ? (FIRST_CHUNK_COST * firstChunkMs) / objectiveMs : 0;
  return relativeWork * slowness + (LOAD_COST * occupancy) / slots + firstChunkCost;
}

/** Returns the mean of a figure over the candidates that have one; 0 if none has. */
export function getMean(
  candidates: readonly Candidate<unknown>[],
  get: (candidate: Candidate<unknown>) => number | undefined,
): number {
  let sum = 0;
  let count = 0;
  for (const candidate of candidates) {
    const value = get(candidate);
    if (value === undefined) continue;
    sum += value;
    count += 1;
  }
  return count === 0 ? 0 : sum / count;
}
