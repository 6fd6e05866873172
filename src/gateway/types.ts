/** Types that the parts of a gateway share. */

import type { IncomingMessage } from 'node:http';
import type { Route, RoutingTable, Team } from '../routing/types.js';

/** Sizes of a model request, in tokens. */
export interface TokenCounts {
  prompt: number;
  /** Most tokens that the answer may have. */
  output: number;
}

/** What the head of a caller's request says. */
export interface RequestHead {
  /** Given by the caller; each try of a caller has its own. */
  id: string;
  method: string;
  /** Path and query as sent. */
  target: string;
  /** Lower case, without a port. */
  host: string;
  path: string;
  key: string | undefined;
  /** How long the caller waits, in milliseconds. */
  waitMs: number | undefined;
  tokens: TokenCounts | undefined;
  /** Id of the last event that the caller has of this stream. */
  resumeAfter: string | undefined;
  /** Names and values in turn, as they go on to the endpoint. */
  headers: string[];
}

/** A request that was admitted. */
export interface Call {
  head: RequestHead;
  route: Route;
  pool: string;
  team: Team | undefined;
  /** Revision of the table that the call was admitted under. */
  revision: number;
  body: Buffer | undefined;
  /** Work against the mean of the pool. */
  relativeWork: number;
  /** Time that the caller has probably waited in earlier tries, in milliseconds. */
  waitedMs: number;
  /** Monotonic times in milliseconds. */
  arrivedAt: number;
  /** When the caller or the route's timeout gives up. */
  deadline: number;
}

/** What one send adds to a request. */
export interface AttemptMetadata {
  endpointId: string;
  team: string | undefined;
  remainingMs: number;
  resumeAfter: string | undefined;
}

/** What the head of an endpoint's answer says. */
export interface ResponseHead {
  status: number;
  /** Id of the request that the answer belongs to. */
  callId: string | undefined;
  /** Whether the endpoint vouches for the answer. */
  isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  isNotRun: boolean;
  load: ReportedLoad | undefined;
  /** Names and values in turn, as they go back to the caller. */
  headers: string[];
}

/** What an endpoint says of its load. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** Translates between a protocol on the wire and a gateway's own types. */
export interface Dialect {
  /** Undefined for a request that lacks what every request has. */
  tryParseRequest(request: IncomingMessage): RequestHead | undefined;
  toEndpointHeaders(call: RequestHead, send: AttemptMetadata): string[];
  parseResponse(status: number, rawHeaders: readonly Buffer[]): ResponseHead;
  /** Raises `invalidTable`. */
  decodeTable(document: Uint8Array): RoutingTable;
}

/** Why a send ended without a whole answer. */
export type AttemptFailure =
  /** No byte of the request reached the endpoint. */
  | { kind: 'notSent'; reason: string }
  /** The endpoint states that it did not run the request. */
  | { kind: 'notRun'; status: number }
  /** The request may have run. */
  | { kind: 'unknown'; reason: string }
  /** The endpoint has answered with a failure of its own. */
  | { kind: 'failed'; status: number };
