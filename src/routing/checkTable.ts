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
  return tryGetTeamProblem(table.teams ?? []);
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

function tryGetTeamProblem(teams: readonly Team[]): TableProblem | undefined {
  const unsendable = teams.find(({ name }) => !isHeaderText(name));
  if (unsendable !== undefined) return { kind: 'unsendableTeam', team: unsendable.name };
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

/**
 * Whether a header can carry a text in UTF-8 without a change: it has no control characters, no
 * unpaired surrogates and no space at its ends.
 */
function isHeaderText(text: string): boolean {
  return !/[\p{Cc}\p{Surrogate}]/u.test(text) && !/^ | $/.test(text);
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
    case 'unsendableTeam':
      return `no header can carry the name of team ${JSON.stringify(problem.team)}`;
    default:
      return assertNever(problem);
  }
}
