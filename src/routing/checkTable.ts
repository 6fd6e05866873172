/** Validation of a declared routing table before it is accepted. */

import { assertNever } from '../common/debug.js';
import type { Route, RoutingTable, TableProblem, Team } from './types.js';

/** Returns the first problem found in a table, or undefined if it is valid. */
export function tryGetTableProblem(table: RoutingTable): TableProblem | undefined {
  const pools = new Set(table.pools.map((pool) => pool.name));
  const hostPrefixes = new Set<string>();
  for (const route of table.routes) {
    const problem = tryGetRouteProblem(route, pools, hostPrefixes);
    if (problem !== undefined) return problem;
  }
  return tryGetKeyProblem(table.teams ?? []);
}

function tryGetRouteProblem(
  route: Route,
  pools: ReadonlySet<string>,
  hostPrefixes: Set<string>,
): TableProblem | undefined {
  const { name, host, prefix, targets } = route;
  const hostPrefix = `${host} ${prefix}`;
  if (hostPrefixes.has(hostPrefix)) return { kind: 'duplicateRoute', host, prefix };
  hostPrefixes.add(hostPrefix);
  const undeclared = targets.find((target) => !pools.has(target.pool));
  if (undeclared !== undefined) return { kind: 'unknownPool', route: name, pool: undeclared.pool };
  const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
  if (totalWeight <= 0 || targets.some((target) => target.weight < 0)) {
    return { kind: 'noWeight', route: name };
  }
  return route.timeoutMs > 0 ? undefined : { kind: 'noTimeout', route: name };
}

function tryGetKeyProblem(teams: readonly Team[]): TableProblem | undefined {
  const teamByKey = new Map<string, string>();
  for (const { name: team, keys } of teams) {
    for (const key of keys) {
      const otherTeam = teamByKey.get(key);
      if (otherTeam !== undefined && otherTeam !== team) {
        return { kind: 'sharedKey', team, otherTeam };
      }
      teamByKey.set(key, team);
    }
  }
  return undefined;
}

/** Describes a problem to operators in one line. */
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
