/**
 * The declarative routing table of the gateways: which requests go to which pool, which teams may
 * send them, and within which limits.
 */

/**
 * Whether a request may be run again: an `idempotent` one may, the others run at most once. Streams
 * of a resumable route may still continue at another endpoint.
 */
export type RouteKind = 'stream' | 'idempotent' | 'nonIdempotent';

/** A pool that receives a share of a route's requests, in proportion to its weight. */
export interface RouteTarget {
  pool: string;
  weight: number;
}

/** Rules for the requests to one host whose paths begin with one prefix. */
export interface Route {
  name: string;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Maximum time for which the gateway holds a request, in milliseconds. */
  timeoutMs: number;
  /** Latency objective for the whole answer, or a stream's first event, in milliseconds. */
  objectiveMs: number;
  /** Objective for the time between two events of a stream, in milliseconds. */
  pauseObjectiveMs: number | undefined;
  /** Priority; 0 is the most urgent. */
  rank: number;
  targets: RouteTarget[];
  /** Maximum number of endpoints that may run one request. */
  maxAttempts: number;
  /** Whether requests are accepted without a key. */
  isPublic: boolean;
  /** Whether an interrupted stream may continue after its last event at another endpoint. */
  isResumable: boolean;
}

/** A set of endpoints of one kind. */
export interface Pool {
  name: string;
  /** Maximum connections to one endpoint, over all gateways. */
  maxConnections: number;
  /** Set only if the endpoints are model engines. */
  engine: EngineLimits | undefined;
}

/** Capacity of one model engine of a pool. */
export interface EngineLimits {
  /** Maximum requests in a batch. */
  slots: number;
  /** Maximum tokens of all running requests and cached prompts together. */
  tokenCapacity: number;
}

export type QuotaUnit = 'request' | 'token';

/** Rate limit on a team's requests or tokens, with a permitted burst. */
export interface Quota {
  unit: QuotaUnit;
  ratePerSecond: number;
  burst: number;
  /** Units charged for a request that does not state its size. */
  defaultUnits: number;
}

/** The holder of one or more keys. */
export interface Team {
  name: string;
  keys: string[];
  /** Priority; 0 is the most urgent. Compared before the rank of the route. */
  rank: number;
  quota: Quota | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A complete declared configuration. */
export interface RoutingTable {
  /** Increases with each accepted change. */
  revision: number;
  routes: Route[];
  pools: Pool[];
  /** Undefined if no request needs a key. */
  teams: Team[] | undefined;
  limits: CallerLimits;
}

/** Why a table is rejected. */
export type TableProblem =
  | { kind: 'unreadable'; reason: string }
  | { kind: 'unknownPool'; route: string; pool: string }
  | { kind: 'duplicateRoute'; host: string; prefix: string }
  | { kind: 'noWeight'; route: string }
  | { kind: 'noTimeout'; route: string }
  | { kind: 'sharedKey'; team: string; otherTeam: string }
  | { kind: 'unsendableTeam'; team: string };
