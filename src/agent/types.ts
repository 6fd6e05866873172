/** Types of the agent. */

import type { AgentFrame, Dispatch, Finished, Span } from '../generated/dispatch.js';

/** A frame's body without the request's id. */
export type AgentFrameBody = NonNullable<AgentFrame['body']>;

export type JobState = 'waiting' | 'granted' | 'running' | 'ended';

/** One request at this agent, from its reservation until its answer was taken. */
export interface Job {
  readonly requestId: string;
  /** Entry and incarnation that own the request. */
  readonly entryKey: string;
  readonly tierRank: number;
  readonly team: string;
  readonly shedOrder: number;
  readonly weight: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Agent's clock when the answer is of no use any more; milliseconds. */
  readonly usefulUntil: number;
  readonly idempotent: boolean;
  readonly prefixHash: string;
  readonly digest: string;
  readonly alone: boolean;
  readonly enqueuedAt: number;
  state: JobState;
  grantId: string;
  grantedAt: number;
  dispatchedAt: number;
  firstByteAt: number;
  /** Prompt tokens believed to be cached at the endpoint when the request was dispatched. */
  cachedTokens: number;
  /** Pieces of the answer received so far. */
  pieces: number;
  /** Set when the run is to be stopped. */
  stopReason: StopReason | undefined;
  span: Span;
}

export type StopReason = 'callerLeft' | 'preempted' | 'suspect' | 'endpointGone';

/** How a run at the endpoint ended. */
export type RunOutcome =
  | { kind: 'complete'; usage: Usage }
  | { kind: 'notRun'; reason: string }
  | { kind: 'cut'; reason: string }
  | { kind: 'stopped'; reason: StopReason };

/** Token counts as the engine reports them; zero when it reports none. */
export interface Usage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** What the endpoint is stated to do. */
export interface ConfiguredSpeeds {
  /** Tokens a second. */
  prefillTokensPerSecond: number;
  /** Tokens a second of one request. */
  decodeTokensPerSecond: number;
}

/** Sends frames to entries. */
export interface FrameSender {
  send(entryKey: string, requestId: string, body: AgentFrameBody): void;
}

/** What starts a run: a new dispatch, or an answer that an earlier agent began to forward. */
export type RunStart =
  { kind: 'dispatch'; dispatch: Dispatch } | { kind: 'resume'; offset: number };

export type FinishedOutcome = Finished['outcome'];
