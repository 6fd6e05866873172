/** Checks a declared table as a whole before it is accepted. */

import { assertNever } from '../common/debug.js';
import type { Route, RoutingTable, TableProblem, Team } from './types.js';

/** The first problem of a table, undefined for a valid one. */
export function tryGetTableProblem(table: RoutingTable): TableProblem | undefined {
  const pools = new Set(table.pools.map((pool) => pool.name));
  const places = new Set<string>();
  for (const route of table.routes) {
    const problem = tryGetRouteProblem(route, pools, places);
    if (problem !== undefined) return problem;
  }
  return tryGetKeyProblem(table.teams ?? []);
}

function tryGetRouteProblem(
  route: Route,
  pools: ReadonlySet<string>,
  places: Set<string>,
): TableProblem | undefined {
  const { name, host, prefix, targets } = route;
  const place = `${host} ${prefix}`;
  if (places.has(place)) return { kind: 'duplicateRoute', host, prefix };
  places.add(place);
  const unknown = targets.find((target) => !pools.has(target.pool));
  if (unknown !== undefined) return { kind: 'unknownPool', route: name, pool: unknown.pool };
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  if (total <= 0 || targets.some((target) => target.weight < 0)) {
    return { kind: 'noWeight', route: name };
  }
  return route.timeoutMs > 0 ? undefined : { kind: 'noTimeout', route: name };
}

function tryGetKeyProblem(teams: readonly Team[]): TableProblem | undefined {
  const owners = new Map<string, string>();
  for (const { name: team, keys } of teams) {
    for (const key of keys) {
      const otherTeam = owners.get(key);
      if (otherTeam !== undefined && otherTeam !== team) {
        return { kind: 'sharedKey', team, otherTeam };
      }
      owners.set(key, team);
    }
  }
  return undefined;
}

/** One line for an operator. */
export function describeTableProblem(problem: TableProblem): string {
  switch (problem.kind) {
    case 'unreadable':
      return `the table cannot be read: ${problem.reason}`;
    case 'unknownPool':
      return `route ${problem.route} names the unknown pool ${problem.pool}`;
    case 'duplicateRoute':
      return `two routes have the host ${problem.host} and the path ${problem.prefix}`;
    case 'noWeight':
      return `the weights of route ${problem.route} add up to nothing`;
    case 'noTimeout':
      return `route ${problem.route} has no timeout`;
    case 'sharedKey':
      return `teams ${problem.otherTeam} and ${problem.team} share a key`;
    default:
      return assertNever(problem);
  }
}
