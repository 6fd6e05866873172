/** Index for looking up routes, pools and teams in a routing table. */

import type { Pool, Route, RoutingTable, Team } from './types.js';

/** Look-ups in one routing table. */
export interface RouteIndex {
  readonly table: RoutingTable;
  /** The route of `host` with the longest prefix that matches `path`. */
  tryGetRoute(host: string, path: string): Route | undefined;
  tryGetPool(name: string): Pool | undefined;
  /** The team that holds a key. */
  tryGetTeam(key: string): Team | undefined;
}

/** Builds the index of a table that `tryGetTableProblem` accepts. */
export function createRouteIndex(table: RoutingTable): RouteIndex {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of table.routes) {
    const routes = routesByHost.get(route.host) ?? new Map<string, Route>();
    routes.set(route.prefix, route);
    routesByHost.set(route.host, routes);
  }
  const pools = new Map(table.pools.map((pool) => [pool.name, pool]));
  const teams = new Map<string, Team>();
  for (const team of table.teams ?? []) {
    for (const key of team.keys) teams.set(key, team);
  }

  return {
    table,
    tryGetRoute,
    tryGetPool: (name) => pools.get(name),
    tryGetTeam: (key) => teams.get(key),
  };

  function tryGetRoute(host: string, path: string): Route | undefined {
    const routes = routesByHost.get(host);
    if (routes === undefined) return undefined;
    // Prefixes end in a slash, so only the parts of the path up to a slash can match. The longest
    // is tried first.
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
      end = path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

/**
 * Returns the target pool at `fraction` (from 0 up to but excluding 1) of the route's cumulative
 * weights. A uniformly distributed fraction selects each pool in proportion to its weight.
 */
export function choosePool(route: Route, fraction: number): string {
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * totalWeight;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.pool;
  }
  return route.targets.at(-1)?.pool ?? '';
}
