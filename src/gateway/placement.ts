/**
 * Chooses an endpoint for a request. Endpoints of one pool differ several times in speed: long
 * requests go to fast ones, which would else be the last to finish or not finish at all, and short
 * ones spread by load.
 */

/** What the choice needs to know of an endpoint. */
export interface Candidate<Endpoint> {
  endpoint: Endpoint;
  /** Requests there, from all gateways. */
  occupancy: number;
  slots: number;
  /** Mean pause between pieces of its streams, in milliseconds. */
  pauseMs: number | undefined;
}

/** Cost of a full endpoint against an empty one, in the time of a whole request. */
const LOAD_COST = 0.6;
/** Costs that differ by less count as equal, since reports are late. */
const EQUAL_COST = 0.04;

/**
 * The endpoint with the smallest cost, undefined when all are full. `relativeWork` is the work of
 * the request against the mean of its pool. Gateways that choose at the same time on the same
 * reports must not all choose the same one, hence `random`.
 */
export function tryChooseEndpoint<Endpoint>(
  candidates: readonly Candidate<Endpoint>[],
  relativeWork: number,
  random: () => number,
): Endpoint | undefined {
  const free = candidates.filter(({ occupancy, slots }) => occupancy < slots);
  const meanPauseMs = getMeanPauseMs(candidates);
  const costs = free.map((candidate) => getCost(candidate, relativeWork, meanPauseMs));
  const least = Math.min(...costs);
  const equals = free.filter((_candidate, index) => (costs[index] ?? 0) <= least + EQUAL_COST);
  return equals[Math.floor(random() * equals.length)]?.endpoint;
}

function getCost<Endpoint>(
  { occupancy, slots, pauseMs }: Candidate<Endpoint>,
  relativeWork: number,
  meanPauseMs: number,
): number {
  const slowness = pauseMs === undefined || meanPauseMs === 0 ? 1 : pauseMs / meanPauseMs;
  return relativeWork * slowness + (LOAD_COST * occupancy) / slots;
}

function getMeanPauseMs<Endpoint>(candidates: readonly Candidate<Endpoint>[]): number {
  const known = candidates.flatMap(({ pauseMs }) => pauseMs ?? []);
  return known.reduce((sum, pauseMs) => sum + pauseMs, 0) / Math.max(known.length, 1);
}
