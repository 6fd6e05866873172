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
}

/** The properties of a request that determine the cost of a placement. */
export interface PlacementDemand {
  /** Work relative to the mean of the pool. */
  relativeWork: number;
  promptTokens: number;
  /** Time within which the response should start, in milliseconds. */
  objectiveMs: number;
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
): Endpoint | undefined {
  const free = candidates.filter(({ occupancy, slots }) => occupancy < slots);
  const means = {
    chunkIntervalMs: getMean(candidates.flatMap(({ chunkIntervalMs }) => chunkIntervalMs ?? [])),
    promptTokenMs: getMean(candidates.flatMap(({ promptTokenMs }) => promptTokenMs ?? [])),
  };
  const costs = free.map((candidate) => getCost(candidate, demand, means));
  const least = Math.min(...costs);
  const equals = free.filter((_candidate, index) => (costs[index] ?? 0) <= least + COST_TOLERANCE);
  return equals[Math.floor(random() * equals.length)]?.endpoint;
}

interface PoolMeans {
  chunkIntervalMs: number;
  promptTokenMs: number;
}

function getCost<Endpoint>(
  { occupancy, slots, chunkIntervalMs, unreadTokens, promptTokenMs }: Candidate<Endpoint>,
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

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(values.length, 1);
}
