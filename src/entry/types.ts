/** Types of the entry. */

import type { EntryFrame, Header } from '../generated/dispatch.js';
import type { Team, Tier } from '../generated/schemas.js';
import type { Problem } from './problem.js';

/** A frame's body without the request's id. */
export type EntryFrameBody = NonNullable<EntryFrame['body']>;

/** What a request is for. */
export type Target = { kind: 'model'; name: string } | { kind: 'service'; name: string };

/** What a caller asked for, checked and measured. */
export interface CallerRequest {
  readonly id: string;
  /** SHA-256 of the caller's key, as teams list it. */
  readonly keyDigest: string;
  readonly team: Team;
  readonly tier: Tier;
  readonly pool: string;
  /** Model or service asked for. */
  readonly target: Target;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** Estimates, in tokens. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hash of the prompt's head; empty for plain services. */
  readonly prefixHash: string;
  /** SHA-256 of what runs at the endpoint, hexadecimal. */
  readonly digest: string;
  readonly idempotent: boolean;
  /** Entry's clock, milliseconds. */
  readonly arrivedAt: number;
  readonly usefulUntil: number;
}

/** Where a request was dispatched. */
export interface Grant {
  agentId: string;
  grantId: string;
  incarnation: string;
}

export type RequestState = 'waiting' | 'dispatched' | 'streaming' | 'ended';

/** A request from its admission to its end. */
export interface PendingRequest extends CallerRequest {
  /** Admitted anew when the configuration changes while the request waits. */
  team: Team;
  tier: Tier;
  pool: string;
  state: RequestState;
  /** Agents that hold a reservation. */
  readonly reservations: Set<string>;
  /** Agents not to be asked again before the time; entry's clock. */
  readonly avoidUntil: Map<string, number>;
  /** Entry's clock when reservations were last added. */
  placedAt: number;
  grant: Grant | undefined;
  /** Bytes of the answer received in order. */
  received: number;
  /** Bytes that the caller has taken and the agent has no credit for yet. */
  uncredited: number;
  /** Entry's clock when the dispatch's connection was lost. */
  lostAt: number | undefined;
  readonly alone: boolean;
  readonly traceparent: string;
  readonly sink: AnswerSink;
}

/** How a request ended. */
export type RequestEnd =
  | { kind: 'complete'; end: AnswerEnd }
  | { kind: 'failed'; problem: Problem; end: AnswerEnd | undefined };

/** What the agent told about the run. */
export interface AnswerEnd {
  agentId: string;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  wastedTokens: number;
  grantedUs: number;
  firstByteUs: number;
  endedUs: number;
}

/** Takes the answer of one request. */
export interface AnswerSink {
  start(status: number, headers: readonly Header[], agentId: string): void;
  /** `onTaken` is called once the bytes have left. */
  write(data: Buffer, onTaken: () => void): void;
  end(end: RequestEnd): void;
}
