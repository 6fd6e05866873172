/** Learns how fast an endpoint processes prompts and streams responses from its past responses. */

/** Weight of the newest stream in the moving average of chunk intervals. */
const SMOOTHING_FACTOR = 0.1;
/** Streams with fewer chunks give too noisy a mean. */
const MIN_CHUNKS = 3;
/** Weight that earlier prompts keep after a further `DECAY_TOKENS` prompt tokens. */
const DECAY_FACTOR = 1 / Math.E;
const DECAY_TOKENS = 100_000;

/** Measured speed of one endpoint. */
export interface EndpointSpeed {
  /** Mean time between two chunks of a stream, in milliseconds; undefined before the first sample. */
  readonly chunkIntervalMs: number | undefined;
  /** Mean processing time of one prompt token, in milliseconds; undefined before the first sample. */
  readonly promptTokenMs: number | undefined;
  /** Records a stream of `chunks` chunks that took `elapsedMs` from the first chunk to the last. */
  recordStream(chunks: number, elapsedMs: number): void;
  /**
   * Records that a response started `elapsedMs` after its request was sent. `tokens` counts the
   * request's own prompt and the prompts that were queued ahead of it.
   */
  recordFirstChunk(tokens: number, elapsedMs: number): void;
}

/** Creates the speed record of an endpoint without any samples. */
export function createEndpointSpeed(): EndpointSpeed {
  let chunkIntervalMs: number | undefined;
  let processedTokens = 0;
  let processingMs = 0;

  return {
    get chunkIntervalMs() {
      return chunkIntervalMs;
    },
    get promptTokenMs() {
      return processedTokens === 0 ? undefined : processingMs / processedTokens;
    },
    recordStream(chunks, elapsedMs) {
      if (chunks < MIN_CHUNKS) return;
      const observed = elapsedMs / (chunks - 1);
      chunkIntervalMs =
        chunkIntervalMs === undefined
          ? observed
          : chunkIntervalMs + SMOOTHING_FACTOR * (observed - chunkIntervalMs);
    },
    recordFirstChunk(tokens, elapsedMs) {
      const kept = DECAY_FACTOR ** (tokens / DECAY_TOKENS);
      processedTokens = processedTokens * kept + tokens;
      processingMs = processingMs * kept + elapsedMs;
    },
  };
}
