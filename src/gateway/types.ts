/** Types shared by the modules of a gateway. */

import type { IncomingMessage } from 'node:http';
import type { Route, RoutingTable, Team } from '../routing/types.js';

/** Sizes of a model request, in tokens. */
export interface TokenCounts {
  prompt: number;
  /** Maximum length of the response. */
  output: number;
}

/** Parsed request line and headers of a caller's request. */
export interface RequestHead {
  /** Chosen by the caller; each retry by the caller has a new id. */
  id: string;
  method: string;
  /** Path and query as sent. */
  target: string;
  /** Lower case, without a port. */
  host: string;
  path: string;
  key: string | undefined;
  /** How long the caller waits for the response, in milliseconds. */
  waitMs: number | undefined;
  tokens: TokenCounts | undefined;
  /**
   * Ids of the parts of the prompt that other requests may have in common with this one: all but
   * the last, which belongs to the request or its session.
   */
  sharedParts: readonly string[];
  /** Id of the last event of this stream that the caller has received. */
  resumeAfter: string | undefined;
  /** Id of the caller's request that brought the first event of the stream that this one resumes. */
  resumedCallId: string | undefined;
  /** Alternating names and values, as forwarded to the endpoint. */
  headers: string[];
}

/** An admitted request. */
export interface Call {
  head: RequestHead;
  route: Route;
  pool: string;
  team: Team | undefined;
  /** The software version that must continue a stream that has begun earlier; undefined for others. */
  softwareVersion: string | undefined;
  /** Revision of the routing table under which the call was admitted. */
  revision: number;
  body: Buffer | undefined;
  /** Estimated work relative to the mean of the pool. */
  relativeWork: number;
  /** Estimated time that the caller has already waited in earlier tries, in milliseconds. */
  waitedMs: number;
  /** Monotonic time in milliseconds. */
  arrivedAt: number;
  /** Monotonic time at which the caller's wait time or the route's timeout ends, in milliseconds. */
  deadline: number;
}

/** Values that are added to the request headers for one attempt. */
export interface AttemptMetadata {
  endpointId: string;
  team: string | undefined;
  remainingMs: number;
  resumeAfter: string | undefined;
}

/** Parsed status and headers of an endpoint's response. */
export interface ResponseHead {
  status: number;
  /** Id of the request that this is the response to. */
  callId: string | undefined;
  /** Whether the response carries the endpoint's signature. */
  isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  isNotRun: boolean;
  load: ReportedLoad | undefined;
  /** Requests per second that the endpoint takes from all gateways together; undefined without a limit. */
  maxRequestRate: number | undefined;
  /** Whether the endpoint states that it leaves, so that it gets no new requests. */
  isLeaving: boolean;
  /** Time for which the endpoint wants no more requests from this gateway, in milliseconds. */
  unwantedForMs: number | undefined;
  /** Alternating names and values, as forwarded to the caller. */
  headers: string[];
}

/** Load as an endpoint reports it in a response header. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes on the endpoint's VM now, relative to its usual time; undefined if not stated. */
  slowdown: number | undefined;
}

/** Translates between a protocol on the wire and the gateway's own types. */
export interface Dialect {
  /** Returns undefined if the request lacks a mandatory field. */
  tryParseRequest(request: IncomingMessage): RequestHead | undefined;
  toEndpointHeaders(call: RequestHead, attempt: AttemptMetadata): string[];
  parseResponse(status: number, rawHeaders: readonly Buffer[]): ResponseHead;
  /** Raises `invalidTable`. */
  decodeTable(document: Uint8Array): RoutingTable;
}

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
  /** No byte of the request reached the endpoint. */
  | { kind: 'notSent'; reason: string }
  /** The request cannot be sent to any endpoint, as it is no valid HTTP. */
  | { kind: 'unsendable'; reason: string }
  /** The endpoint states that it did not run the request. */
  | { kind: 'notRun'; status: number }
  /** The request may have run. */
  | { kind: 'unknown'; reason: string }
  /** The endpoint returned an error response of its own. */
  | { kind: 'failed'; status: number };
