/**
 * The order of requests that wait, for loads above the capacity. Teams go first by their rank.
 * Within a team's rank, requests that can still meet their objective go before those that no
 * longer can, whose answers are worth less; then routes by their rank, the short requests of each
 * rank first. Requests whose endpoint broke off, whose callers have waited for nothing so far, go
 * before all others of the team's rank.
 */

const TEAM_STEP = 10_000;
const LATE_STEP = 1_000;
const ROUTE_STEP = 2;
const MAX_ROUTE_RANK = LATE_STEP / ROUTE_STEP - 2;

/** What the order depends on. */
export interface Urgency {
  teamRank: number;
  routeRank: number;
  isLate: boolean;
  isShort: boolean;
  /** Whether it ran at an endpoint that broke off. */
  wasInterrupted: boolean;
}

/** Position in the order; smaller is more urgent. */
export function getQueueRank(urgency: Urgency): number {
  const { teamRank, routeRank, isLate, isShort, wasInterrupted } = urgency;
  const team = teamRank * TEAM_STEP;
  if (wasInterrupted) return team;
  const route = 1 + Math.min(routeRank, MAX_ROUTE_RANK) * ROUTE_STEP + (isShort ? 0 : 1);
  return team + (isLate ? LATE_STEP : 0) + route;
}
