/** Decides by the table in force whether a request may run, before it asks for a place. */

import { choosePool, type RouteIndex } from '../routing/routeIndex.js';
import type { Route, Team } from '../routing/types.js';
import type { LocalReply } from './responseWriter.js';
import type { Quotas } from './quotas.js';
import type { RequestHead } from './types.js';

/** Time after which a gateway without a table is expected to have one. */
const NO_TABLE_RETRY_MS = 500;

/** A request that the table allows. */
export interface AdmittedRequest {
  route: Route;
  pool: string;
  team: Team | undefined;
}

export type Admission =
  { kind: 'admitted'; request: AdmittedRequest } | { kind: 'refused'; answer: LocalReply };

/** Looks the request up in a table; `share` (0 to 1) chooses among the targets of a split route. */
export function admit(index: RouteIndex | undefined, head: RequestHead, share: number): Admission {
  if (index === undefined) {
    return refuse({ status: 503, reason: 'no table yet', retryAfterMs: NO_TABLE_RETRY_MS });
  }
  const route = index.tryGetRoute(head.host, head.path);
  if (route === undefined) return refuse({ status: 404, reason: 'no such route' });
  const team = head.key === undefined ? undefined : index.tryGetTeam(head.key);
  const needsKey = index.table.teams !== undefined && !route.isPublic;
  if (needsKey && team === undefined) return refuse({ status: 401, reason: 'unknown key' });
  return { kind: 'admitted', request: { route, pool: choosePool(route, share), team } };
}

/** Takes what the request needs from its team's quota. */
export function consumeQuota(
  quotas: Quotas,
  team: Team | undefined,
  head: RequestHead,
): LocalReply | undefined {
  if (team?.quota === undefined) return undefined;
  const decision = quotas.consume(team, getUnits(team, head));
  if (decision.kind === 'admitted') return undefined;
  return { status: 429, reason: 'over quota', retryAfterMs: decision.retryAfterMs };
}

function getUnits({ quota }: Team, { tokens }: RequestHead): number {
  if (quota?.unit !== 'token') return 1;
  return tokens === undefined ? quota.defaultUnits : tokens.prompt + tokens.output;
}

function refuse(answer: LocalReply): Admission {
  return { kind: 'refused', answer };
}
