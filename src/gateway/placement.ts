/**
 * Chooses an endpoint for a request. Endpoints of one pool differ several times in speed: long
 * requests go to fast ones, which would else be the last to finish or not finish at all, and short
 * ones spread by load. Engines read prompts one after the other, so that one very long prompt
 * delays the first piece of all answers behind it: what an engine has still to read counts against
 * the objective of the request.
 */

/** What the choice needs to know of an endpoint. */
export interface Candidate<Endpoint> {
  endpoint: Endpoint;
  /** Requests there, from all gateways. */
  occupancy: number;
  slots: number;
  /** Mean pause between pieces of its streams, in milliseconds. */
  chunkIntervalMs: number | undefined;
  /** Prompt tokens that it has still to read. */
  unreadTokens: number;
  /** Time that it takes for one token of a prompt, in milliseconds. */
  promptTokenMs: number | undefined;
}

/** What the choice needs to know of a request. */
export interface Demand {
  /** Work against the mean of the pool. */
  relativeWork: number;
  promptTokens: number;
  /** Time within which the answer should begin, in milliseconds. */
  objectiveMs: number;
}

/** Cost of a full endpoint against an empty one, in the time of a whole request. */
const LOAD_COST = 0.6;
/** Cost of an answer that begins only after the objective, in the same measure. */
const BEGIN_COST = 1;
/** Costs that differ by less count as equal, since reports are late. */
const EQUAL_COST = 0.04;

/**
 * The endpoint with the smallest cost, undefined when all are full. Gateways that choose at the same
 * time on the same reports must not all choose the same one, hence `random`.
 */
export function tryChooseEndpoint<Endpoint>(
  candidates: readonly Candidate<Endpoint>[],
  demand: Demand,
  random: () => number,
): Endpoint | undefined {
  const free = candidates.filter(({ occupancy, slots }) => occupancy < slots);
  const means = {
    pauseMs: getMean(candidates.flatMap(({ chunkIntervalMs: pauseMs }) => pauseMs ?? [])),
    promptTokenMs: getMean(candidates.flatMap(({ promptTokenMs }) => promptTokenMs ?? [])),
  };
  const costs = free.map((candidate) => getCost(candidate, demand, means));
  const least = Math.min(...costs);
  const equals = free.filter((_candidate, index) => (costs[index] ?? 0) <= least + EQUAL_COST);
  return equals[Math.floor(random() * equals.length)]?.endpoint;
}

interface PaceMeans {
  pauseMs: number;
  promptTokenMs: number;
}

function getCost<Endpoint>(
  { occupancy, slots, chunkIntervalMs: pauseMs, unreadTokens, promptTokenMs }: Candidate<Endpoint>,
  { relativeWork, promptTokens, objectiveMs }: Demand,
  means: PaceMeans,
): number {
  const slowness = pauseMs === undefined || means.pauseMs === 0 ? 1 : pauseMs / means.pauseMs;
  const beginMs = (unreadTokens + promptTokens) * (promptTokenMs ?? means.promptTokenMs);
  const beginCost = objectiveMs > 0 ? (BEGIN_COST * beginMs) / objectiveMs : 0;
  return relativeWork * slowness + (LOAD_COST * occupancy) / slots + beginCost;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(values.length, 1);
}
