/**
 * Priority order of waiting requests under overload. Sort keys, most significant first:
 *
 * 1. The rank of the team.
 * 2. Interrupted requests, whose endpoint failed while running them or whose callers take up a
 *    stream that broke off: they have already waited without a result, or have a part of it.
 * 3. Requests that can still meet their objective before late ones, whose responses are worth less.
 * 4. The rank of the route.
 * 5. Short requests before long ones.
 */

const TEAM_STEP = 10_000;
const LATE_STEP = 1_000;
const ROUTE_STEP = 2;
const MAX_ROUTE_RANK = LATE_STEP / ROUTE_STEP - 2;

/** The properties of a request that determine its rank. */
export interface RankFactors {
  teamRank: number;
  routeRank: number;
  /** Whether it can no longer meet its objective. */
  isLate: boolean;
  isShort: boolean;
  /** Whether an endpoint failed while running it, in this request or the one that it takes up. */
  wasInterrupted: boolean;
}

/** Returns the position in the priority order; smaller is more urgent. */
export function getQueueRank(factors: RankFactors): number {
  const { teamRank, routeRank, isLate, isShort, wasInterrupted } = factors;
  const team = teamRank * TEAM_STEP;
  if (wasInterrupted) return team;
  const route = 1 + Math.min(routeRank, MAX_ROUTE_RANK) * ROUTE_STEP + (isShort ? 0 : 1);
  return team + (isLate ? LATE_STEP : 0) + route;
}
