/** How fast an endpoint's streams go on, learned from the pauses between their pieces. */

const WEIGHT = 0.1;
/** Streams with fewer pieces say little. */
const MIN_PIECES = 3;

/** Learned pace of one endpoint. */
export interface EndpointPace {
  /** Mean pause between two pieces, in milliseconds; undefined until something was learned. */
  readonly pauseMs: number | undefined;
  /** Notes a stream of `pieces` that took `elapsedMs` from its first piece to its last. */
  note(pieces: number, elapsedMs: number): void;
}

/** Creates the pace of an endpoint of which nothing is known. */
export function createEndpointPace(): EndpointPace {
  let pauseMs: number | undefined;

  return {
    get pauseMs() {
      return pauseMs;
    },
    note(pieces, elapsedMs) {
      if (pieces < MIN_PIECES) return;
      const observed = elapsedMs / (pieces - 1);
      pauseMs = pauseMs === undefined ? observed : pauseMs + WEIGHT * (observed - pauseMs);
    },
  };
}
