/** Types shared by the modules of the entry. */

import type { EntryFrame, Header } from '../generated/dispatch.js';
import type { Team, Tier } from '../generated/schemas.js';
import type { Problem } from './problem.js';

/** The payload of a frame, without the request ID. */
export type EntryFrameBody = NonNullable<EntryFrame['body']>;

/** The model or service that a request addresses. */
export type Target = { kind: 'model'; name: string } | { kind: 'service'; name: string };

/** A validated request from a caller, with the estimates used for scheduling. */
export interface CallerRequest {
  readonly id: string;
  /** SHA-256 of the caller's API key, in the form in which teams list it. */
  readonly keyDigest: string;
  readonly team: Team;
  readonly tier: Tier;
  readonly pool: string;
  readonly target: Target;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** Estimated prompt length, in tokens. */
  readonly promptTokens: number;
  /** Estimated output length, in tokens. */
  readonly outputTokens: number;
  /** Hash of the beginning of the prompt; empty for plain services. */
  readonly prefixHash: string;
  /** Hexadecimal SHA-256 of the request's content, which identifies it after a crash. */
  readonly digest: string;
  readonly idempotent: boolean;
  /** Arrival time on the entry's clock, in milliseconds. */
  readonly arrivedAt: number;
  /** Time on the entry's clock, in milliseconds, after which a response is no longer useful. */
  readonly deadline: number;
}

/** The grant under which a request was dispatched. */
export interface Grant {
  agentId: string;
  grantId: string;
  incarnation: string;
}

export type RequestState = 'waiting' | 'dispatched' | 'streaming' | 'ended';

/** A request that has been admitted, together with its scheduling state. */
export interface PendingRequest extends CallerRequest {
  /** Team, tier and pool are updated when the configuration changes while the request waits. */
  team: Team;
  tier: Tier;
  pool: string;
  state: RequestState;
  /** IDs of the agents that hold a reservation for this request. */
  readonly reservations: Set<string>;
  /** By agent ID, the time on the entry's clock before which the agent is not asked again. */
  readonly avoidUntil: Map<string, number>;
  /** Time on the entry's clock at which reservations were last added. */
  lastReservedAt: number;
  grant: Grant | undefined;
  /** Bytes of the response body received so far, without gaps. */
  receivedBytes: number;
  /** Bytes that the caller has consumed and for which the agent has not been given credit yet. */
  uncreditedBytes: number;
  /** Time on the entry's clock at which the connection to the dispatched agent was lost. */
  lostAt: number | undefined;
  /** Whether the request must run with nothing else on the endpoint. */
  readonly exclusive: boolean;
  readonly traceparent: string;
  readonly sink: ResponseSink;
}

/** The final result of a request. */
export type RequestResult =
  | { kind: 'complete'; stats: RunStats }
  | { kind: 'failed'; problem: Problem; stats: RunStats | undefined };

/** Token counts and times reported by the agent; times are in microseconds since the epoch. */
export interface RunStats {
  agentId: string;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  wastedTokens: number;
  grantedUs: number;
  dispatchedUs: number;
  firstByteUs: number;
  endedUs: number;
}

/** Receives the response of one request. */
export interface ResponseSink {
  start(status: number, headers: readonly Header[], agentId: string): void;
  /** Calls `onConsumed` once `data` has been consumed and the sink can take more. */
  write(data: Buffer, onConsumed: () => void): void;
  end(result: RequestResult): void;
}
