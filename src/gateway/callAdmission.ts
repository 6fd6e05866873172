/** Admission control: checks a request against the routing table and quotas before it is queued. */

import { choosePool, type RouteIndex } from '../routing/routeIndex.js';
import type { Route, Team } from '../routing/types.js';
import type { LocalReply } from './responseWriter.js';
import type { Quotas } from './quotas.js';
import type { RequestHead } from './types.js';

/** Spread of the times at which refused callers return, relative to the expected wait. */
const RETURN_SPREAD = 0.3;

/** A request that the routing table allows. */
export interface AdmittedRequest {
  route: Route;
  pool: string;
  team: Team | undefined;
}

export type Admission =
  { kind: 'admitted'; request: AdmittedRequest } | { kind: 'refused'; reply: LocalReply };

/** The routing table in force, or when one is expected. */
export interface TableState {
  /** Undefined while there is no table that may be used. */
  readonly index: RouteIndex | undefined;
  /** Expected time until there is one, in milliseconds. */
  readonly expectedWaitMs: number;
}

/**
 * Looks up the route of a request. `share` (0 to 1) selects among the targets of a split route, and
 * spreads the times at which callers return that are refused while there is no table.
 */
export function admit(state: TableState, head: RequestHead, share: number): Admission {
  const { index } = state;
  if (index === undefined) {
    const retryAfterMs = state.expectedWaitMs * (1 + share * RETURN_SPREAD);
    return refuse({ status: 503, reason: 'no table yet', retryAfterMs });
  }
  const route = index.tryGetRoute(head.host, head.path);
  if (route === undefined) return refuse({ status: 404, reason: 'no such route' });
  const team = head.key === undefined ? undefined : index.tryGetTeam(head.key);
  const needsKey = index.table.teams !== undefined && !route.isPublic;
  if (needsKey && team === undefined) return refuse({ status: 401, reason: 'unknown key' });
  return { kind: 'admitted', request: { route, pool: choosePool(route, share), team } };
}

/** Deducts the request from its team's quota; returns a reply if the quota is exceeded. */
export function consumeQuota(
  quotas: Quotas,
  team: Team | undefined,
  head: RequestHead,
  isContinued: boolean,
): LocalReply | undefined {
  if (team?.quota === undefined) return undefined;
  const decision = quotas.consume(team, getUnits(team, head), isContinued);
  if (decision.kind === 'admitted') return undefined;
  return { status: 429, reason: 'over quota', retryAfterMs: decision.retryAfterMs };
}

function getUnits({ quota }: Team, { tokens }: RequestHead): number {
  if (quota?.unit !== 'token') return 1;
  return tokens === undefined ? quota.defaultUnits : tokens.prompt + tokens.output;
}

function refuse(reply: LocalReply): Admission {
  return { kind: 'refused', reply };
}
