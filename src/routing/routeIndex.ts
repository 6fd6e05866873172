/** Look-ups in one declared table. */

import type { Pool, Route, RoutingTable, Team } from './types.js';

/** What gateways ask of a table. */
export interface RouteIndex {
  readonly table: RoutingTable;
  /** The route of the host whose prefix is the longest that begins `path`. */
  tryGetRoute(host: string, path: string): Route | undefined;
  tryGetPool(name: string): Pool | undefined;
  /** The holder of a key. */
  tryGetTeam(key: string): Team | undefined;
}

/** Indexes a valid table. */
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
    // Prefixes end at a slash, so only those places can match; the longest comes first.
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

/** The pool of a route's targets at `share` (0 included, 1 excluded) of their weights. */
export function choosePool(route: Route, share: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = share * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.pool;
  }
  return route.targets.at(-1)?.pool ?? '';
}
