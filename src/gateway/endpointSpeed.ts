/** How fast an endpoint reads prompts and goes on with its streams, learned from its answers. */

const WEIGHT = 0.1;
/** Streams with fewer pieces say little. */
const MIN_PIECES = 3;
/** Share of what was learned that is left after another `MEMORY_TOKENS` prompt tokens. */
const REMAINING_SHARE = 1 / Math.E;
const MEMORY_TOKENS = 100_000;

/** Learned pace of one endpoint. */
export interface EndpointSpeed {
  /** Mean pause between two pieces, in milliseconds; undefined until something was learned. */
  readonly chunkIntervalMs: number | undefined;
  /** Time that one token of a prompt takes, in milliseconds; undefined until something was learned. */
  readonly promptTokenMs: number | undefined;
  /** Notes a stream of `pieces` that took `elapsedMs` from its first piece to its last. */
  recordStream(pieces: number, elapsedMs: number): void;
  /** Notes that an answer began `elapsedMs` after its send, behind `tokens` of prompts and its own. */
  recordFirstChunk(tokens: number, elapsedMs: number): void;
}

/** Creates the pace of an endpoint of which nothing is known. */
export function createEndpointSpeed(): EndpointSpeed {
  let pauseMs: number | undefined;
  let readTokens = 0;
  let readMs = 0;

  return {
    get chunkIntervalMs() {
      return pauseMs;
    },
    get promptTokenMs() {
      return readTokens === 0 ? undefined : readMs / readTokens;
    },
    recordStream(pieces, elapsedMs) {
      if (pieces < MIN_PIECES) return;
      const observed = elapsedMs / (pieces - 1);
      pauseMs = pauseMs === undefined ? observed : pauseMs + WEIGHT * (observed - pauseMs);
    },
    recordFirstChunk(tokens, elapsedMs) {
      const kept = REMAINING_SHARE ** (tokens / MEMORY_TOKENS);
      readTokens = readTokens * kept + tokens;
      readMs = readMs * kept + elapsedMs;
    },
  };
}
