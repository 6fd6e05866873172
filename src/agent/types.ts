/** Types shared by the modules of the agent. */

import type { AgentFrame, Dispatch, Finished, Span } from '../generated/dispatch.js';

/** Body of a frame to an entry, without the request ID. */
export type AgentFrameBody = NonNullable<AgentFrame['body']>;

export type JobState = 'waiting' | 'granted' | 'running' | 'ended';

/** One request at this agent, from its reservation until its answer is discarded. */
export interface Job {
  readonly requestId: string;
  /** ID and incarnation of the entry that owns the request. */
  readonly entryKey: string;
  readonly tierRank: number;
  readonly team: string;
  readonly shedOrder: number;
  readonly weight: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time in milliseconds on the agent's clock after which the answer is of no use. */
  readonly deadline: number;
  readonly idempotent: boolean;
  readonly prefixHash: string;
  readonly digest: string;
  /** Runs with nothing else on the endpoint. */
  readonly isExclusive: boolean;
  readonly enqueuedAt: number;
  state: JobState;
  grantId: string;
  grantedAt: number;
  dispatchedAt: number;
  firstByteAt: number;
  /** Estimate of the prompt tokens cached at the endpoint when the request was dispatched. */
  cachedTokens: number;
  /** Chunks of the answer received from the endpoint so far. */
  chunksReceived: number;
  /** Defined once the run has been told to stop. */
  stopReason: StopReason | undefined;
  span: Span;
}

export type StopReason = 'callerLeft' | 'preempted' | 'suspect' | 'endpointGone';

/** How a run at the endpoint ended. */
export type RunOutcome =
  | { kind: 'complete'; usage: TokenUsage }
  | { kind: 'notRun'; reason: string }
  | { kind: 'cut'; reason: string }
  | { kind: 'stopped'; reason: StopReason };

/** Token counts reported by the engine; zero when it reports none. */
export interface TokenUsage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** Speeds of the endpoint according to the agent's settings. */
export interface ConfiguredSpeeds {
  prefillTokensPerSecond: number;
  /** Speed of a single request. */
  decodeTokensPerSecond: number;
}

/** Sends frames to entries. */
export interface FrameSender {
  send(entryKey: string, requestId: string, body: AgentFrameBody): void;
}

/** How a run starts: a new dispatch, or an answer resumed from an earlier incarnation. */
export type RunStart =
  { kind: 'dispatch'; dispatch: Dispatch } | { kind: 'resume'; offset: number };

export type FinishedOutcome = Finished['outcome'];
