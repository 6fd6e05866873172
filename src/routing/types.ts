/** The declared table that gateways act on: which requests go to which pool, for whom and within which limits. */

/** What may be repeated: an `idempotent` call may run again, the others run at most once. */
export type RouteKind = 'stream' | 'idempotent' | 'nonIdempotent';

/** One of the pools that share a route's requests. */
export interface RouteTarget {
  pool: string;
  weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  name: string;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Longest time that a request is kept, in milliseconds. */
  timeoutMs: number;
  /** Objective for the whole answer, or for the first event of a stream, in milliseconds. */
  objectiveMs: number;
  /** Objective for the pause between two events of a stream, in milliseconds. */
  pauseObjectiveMs: number | undefined;
  /** 0 is the most urgent. */
  rank: number;
  targets: RouteTarget[];
  /** Most endpoints that may run one request. */
  maxAttempts: number;
  /** Whether requests need no key. */
  isPublic: boolean;
  /** Whether a stream may go on at another endpoint after its last event. */
  isResumable: boolean;
}

/** Endpoints of one kind. */
export interface Pool {
  name: string;
  /** Connections that one endpoint accepts from all gateways together. */
  maxConnections: number;
  /** Only of model engines. */
  engine: EngineLimits | undefined;
}

/** What one engine of a pool can hold. */
export interface EngineLimits {
  /** Requests in one batch. */
  slots: number;
  /** Tokens of all running requests and cached prompts. */
  tokenRoom: number;
}

export type QuotaUnit = 'request' | 'token';

/** A team's share of the deployment. */
export interface Quota {
  unit: QuotaUnit;
  ratePerSecond: number;
  burst: number;
  /** Units of a request that does not state its size. */
  defaultUnits: number;
}

/** Those who hold a key. */
export interface Team {
  name: string;
  keys: string[];
  /** 0 is the most urgent; goes before the rank of a route. */
  rank: number;
  quota: Quota | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One whole declared state. */
export interface RoutingTable {
  /** Rises with each accepted change. */
  revision: number;
  routes: Route[];
  pools: Pool[];
  /** Undefined when requests need no key at all. */
  teams: Team[] | undefined;
  limits: CallerLimits;
}

/** Why a table is refused. */
export type TableProblem =
  | { kind: 'unreadable'; reason: string }
  | { kind: 'unknownPool'; route: string; pool: string }
  | { kind: 'duplicateRoute'; host: string; prefix: string }
  | { kind: 'noWeight'; route: string }
  | { kind: 'noTimeout'; route: string }
  | { kind: 'sharedKey'; team: string; otherTeam: string };
