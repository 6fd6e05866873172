/**
 * Placement by expected latency, for engines of uneven speed that read long prompts while they
 * stream other responses. It answers two loads: streams whose events pause because a long prompt is
 * read beside them, and requests that a slow or slowed engine cannot serve in time.
 *
 * An engine reads prompts one after the other, in chunks between the steps of its streams. Each
 * event of a stream is therefore delayed by at most the prompts that are ahead at that moment. The
 * cost of a placement is the number of responses that it is expected to make late: the request's
 * own, and those that already run at the engine.
 */

import {
  getMean,
  type Candidate,
  type PlacementDemand,
  type PlacementPolicy,
} from './placement.js';

/** Cost of a full engine compared with an empty one: free slots serve what comes next. */
const LOAD_COST = 0.2;
/** Cost of an engine that takes twice as long as the mean for a request of mean size. */
const DURATION_COST = 0.3;
/** Cost of an endpoint in another failure domain, whose bytes cross a narrow and expensive link. */
const REMOTE_COST = 0.08;
/** Cost of a response that does not end before its caller leaves: its work is lost as well. */
const DEADLINE_COST = 2;
/** Output tokens from which on a stream is long enough to meet the usual longest pause. */
const LONG_OUTPUT_TOKENS = 150;
/** How sharply the risk rises towards the objective. */
const RISK_EXPONENT = 3;
/** Added risk for each further objective by which a response is late; a later one is worse. */
const OVERTIME_RISK = 0.3;

/** Means over the candidates, used for engines that have not answered yet. */
interface Means {
  chunkIntervalMs: number;
  promptTokenMs: number;
  outputTokenMs: number;
  pauseMs: number;
}

/** Chooses the candidate with the least expected lateness. */
export class LatencyPlacement implements PlacementPolicy {
  getCosts(candidates: readonly Candidate<unknown>[], demand: PlacementDemand): number[] {
    const means = getMeans(candidates);
    return candidates.map((candidate) => getCost(candidate, demand, means));
  }
}

function getMeans(candidates: readonly Candidate<unknown>[]): Means {
  return {
    chunkIntervalMs: getMean(candidates, ({ chunkIntervalMs }) => chunkIntervalMs),
    promptTokenMs: getMean(candidates, ({ promptTokenMs }) => promptTokenMs),
    outputTokenMs: getMean(candidates, ({ outputTokenMs }) => outputTokenMs),
    pauseMs: getMean(candidates, ({ pauseMs }) => pauseMs),
  };
}

function getCost(candidate: Candidate<unknown>, demand: PlacementDemand, means: Means): number {
  const { occupancy, slots, slowdown, isLocal } = candidate;
  const loadCost = (LOAD_COST * occupancy * slowdown) / slots;
  const remoteCost = isLocal ? 0 : REMOTE_COST;
  if (demand.promptTokens === 0 && demand.outputTokens === 0) {
    // Requests to a plain service queue for its slots.
    return (slowdown * (occupancy + 1)) / slots + remoteCost;
  }
  return (
    getOwnRisk(candidate, demand, means) +
    getAddedRisk(candidate, demand, means) +
    loadCost +
    remoteCost
  );
}

/** Expected lateness of the request itself. */
function getOwnRisk(candidate: Candidate<unknown>, demand: PlacementDemand, means: Means): number {
  const { outputTokens, objectiveMs, remainingMs, pauseObjectiveMs } = demand;
  const { slowdown, unreadTokens } = candidate;
  const tokenMs = (candidate.promptTokenMs ?? means.promptTokenMs) * slowdown;
  const outputTokenMs = candidate.outputTokenMs ?? means.outputTokenMs;
  const firstMs = (unreadTokens + demand.promptTokens) * tokenMs;
  const durationMs = outputTokens * outputTokenMs;
  const pauseMs = candidate.pauseMs ?? means.pauseMs;
  const pauseShare = Math.min(1, outputTokens / LONG_OUTPUT_TOKENS);
  const slowness = means.outputTokenMs === 0 ? 1 : outputTokenMs / means.outputTokenMs;
  return (
    getRisk(firstMs, objectiveMs) +
    pauseShare * getRisk(pauseMs, pauseObjectiveMs) +
    DEADLINE_COST * getRisk(firstMs + durationMs, remainingMs) +
    DURATION_COST * demand.relativeWork * slowness
  );
}

/** Expected lateness that reading the prompt adds to the streams that run there. */
function getAddedRisk(
  candidate: Candidate<unknown>,
  { promptTokens, pauseObjectiveMs }: PlacementDemand,
  means: Means,
): number {
  const { occupancy, slowdown, unreadTokens } = candidate;
  const tokenMs = (candidate.promptTokenMs ?? means.promptTokenMs) * slowdown;
  const intervalMs = (candidate.chunkIntervalMs ?? means.chunkIntervalMs) * slowdown;
  const before = getRisk(intervalMs + unreadTokens * tokenMs, pauseObjectiveMs);
  const after = getRisk(intervalMs + (unreadTokens + promptTokens) * tokenMs, pauseObjectiveMs);
  return occupancy * (after - before);
}

/** Returns the risk that what is expected after `expectedMs` is late: 1 where the objective is up. */
function getRisk(expectedMs: number, objectiveMs: number): number {
  if (objectiveMs <= 0) return 0;
  const ratio = expectedMs / objectiveMs;
  return ratio < 1 ? ratio ** RISK_EXPONENT : 1 + OVERTIME_RISK * (ratio - 1);
}
