/**
 * How fast an endpoint is, as seen by all gateways together. One of many gateways sees too few
 * responses of an endpoint to know its speed before that changes, so each reports the sums of what it
 * has seen, and adds what the sums of others have grown by to its own means.
 */

import type { GatewayReport, SpeedSums } from '../generated/control.js';

/** Streams with fewer chunks rarely meet the pauses that long ones have. */
const MIN_PAUSE_CHUNKS = 8;
/** Prompts from which on the time to the first chunk shows the reading speed rather than the latency. */
const MIN_PROMPT_TOKENS = 2_000;
/** Streams, prompt tokens and output tokens after which an earlier sample counts for a third. */
const STREAM_MEMORY = 20;
const PROMPT_TOKEN_MEMORY = 200_000;
const OUTPUT_TOKEN_MEMORY = 10_000;

/** A start of a gateway; its sums begin at 0. */
export type GatewayIncarnation = Pick<GatewayReport, 'gatewayId' | 'incarnation'>;

/** Timing of a complete stream. */
export interface StreamSample {
  chunks: number;
  /** From the first chunk to the last, in milliseconds. */
  elapsedMs: number;
  /** Longest time between two chunks, in milliseconds. */
  longestPauseMs: number;
  /** Largest length that the request allowed. */
  outputTokens: number;
}

/** Means over the responses that all gateways have seen; undefined before the first sample. */
export interface SpeedMeans {
  /** Time between two chunks of a stream, in milliseconds. */
  readonly chunkIntervalMs: number | undefined;
  /** Longest time between two chunks of a stream, in milliseconds. */
  readonly pauseMs: number | undefined;
  /** Time for one prompt token, in milliseconds. */
  readonly promptTokenMs: number | undefined;
  /** Time for one output token, in milliseconds. */
  readonly outputTokenMs: number | undefined;
}

/** Speed of one incarnation of an endpoint. */
export interface SharedSpeed extends SpeedMeans {
  /**
   * Returns the sums over the responses that this gateway has seen, for its report; undefined if they
   * have not changed since the last call.
   */
  takeSums(): SpeedSums | undefined;
  recordStream(sample: StreamSample): void;
  /** Records that a response began `elapsedMs` after it was sent, behind `tokens` prompt tokens. */
  recordFirstChunk(tokens: number, elapsedMs: number): void;
  /** Adds what the sums of another gateway have grown by since its last report. */
  applyPeer(gateway: GatewayIncarnation, sums: SpeedSums): void;
}

/** A mean in which earlier samples count less and less. */
interface DecayingMean {
  readonly value: number | undefined;
  add(weight: number, total: number): void;
}

/** Creates the speed of an endpoint without any samples. */
export function createSharedSpeed(): SharedSpeed {
  const chunkInterval = createDecayingMean(STREAM_MEMORY);
  const pause = createDecayingMean(STREAM_MEMORY);
  const promptToken = createDecayingMean(PROMPT_TOKEN_MEMORY);
  const outputToken = createDecayingMean(OUTPUT_TOKEN_MEMORY);
  const own = createSums();
  const peers = new Map<string, { incarnation: string; sums: SpeedSums }>();
  let hasChanged = false;

  return {
    get chunkIntervalMs() {
      return chunkInterval.value;
    },
    get pauseMs() {
      return pause.value;
    },
    get promptTokenMs() {
      return promptToken.value;
    },
    get outputTokenMs() {
      return outputToken.value;
    },
    takeSums,
    recordStream,
    recordFirstChunk,
    applyPeer,
  };

  function recordStream({ chunks, elapsedMs, longestPauseMs, outputTokens }: StreamSample): void {
    if (chunks < 2) return;
    const sample = createSums();
    sample.streams = 1;
    sample.chunkIntervalMs = elapsedMs / (chunks - 1);
    sample.outputTokens = outputTokens;
    sample.outputMs = elapsedMs;
    if (chunks >= MIN_PAUSE_CHUNKS) {
      sample.pausedStreams = 1;
      sample.pauseMs = longestPauseMs;
    }
    addOwn(sample);
  }

  function recordFirstChunk(tokens: number, elapsedMs: number): void {
    if (tokens < MIN_PROMPT_TOKENS) return;
    const sample = { ...createSums(), promptTokens: tokens, promptMs: elapsedMs };
    addOwn(sample);
  }

  function addOwn(sample: SpeedSums): void {
    addSums(own, sample);
    addToMeans(sample);
    hasChanged = true;
  }

  function takeSums(): SpeedSums | undefined {
    if (!hasChanged) return undefined;
    hasChanged = false;
    return { ...own };
  }

  function applyPeer({ gatewayId, incarnation }: GatewayIncarnation, sums: SpeedSums): void {
    const known = peers.get(gatewayId);
    peers.set(gatewayId, { incarnation, sums });
    const isContinued = known?.incarnation === incarnation;
    addToMeans(isContinued ? subtractSums(sums, known.sums) : sums);
  }

  function addToMeans(sample: SpeedSums): void {
    chunkInterval.add(sample.streams, sample.chunkIntervalMs);
    pause.add(sample.pausedStreams, sample.pauseMs);
    promptToken.add(sample.promptTokens, sample.promptMs);
    outputToken.add(sample.outputTokens, sample.outputMs);
  }
}

function createDecayingMean(memory: number): DecayingMean {
  let weights = 0;
  let totals = 0;

  return {
    get value() {
      return weights === 0 ? undefined : totals / weights;
    },
    add(weight, total) {
      if (weight <= 0) return;
      const kept = Math.exp(-weight / memory);
      weights = weights * kept + weight;
      totals = totals * kept + total;
    },
  };
}

function createSums(): SpeedSums {
  return {
    streams: 0,
    chunkIntervalMs: 0,
    pausedStreams: 0,
    pauseMs: 0,
    promptTokens: 0,
    promptMs: 0,
    outputTokens: 0,
    outputMs: 0,
  };
}

function addSums(sums: SpeedSums, added: SpeedSums): void {
  for (const field of sumFields) sums[field] += added[field];
}

function subtractSums(sums: SpeedSums, earlier: SpeedSums): SpeedSums {
  const growth = createSums();
  for (const field of sumFields) growth[field] = sums[field] - earlier[field];
  return growth;
}

const sumFields = Object.keys(createSums()) as readonly (keyof SpeedSums)[];
