/**
 * Chooses the keeper that sends the reports of the other gateways. One is enough, as all of them
 * receive all reports, but without reports each gateway soon sends more than its share.
 */

/** Silence after which another keeper is asked; keepers push an update each 100 ms. */
const MAX_SILENCE_MS = 300;

/** A connected keeper. */
export interface ReportSource {
  /** Monotonic time of its last update, in milliseconds. */
  activeAt: number;
}

/** Returns the current source unless it is silent, and else the keeper that was active last. */
export function chooseReportSource<Source extends ReportSource>(
  connected: readonly Source[],
  current: Source | undefined,
  now: number,
): Source | undefined {
  if (current !== undefined && connected.includes(current)) {
    if (now - current.activeAt <= MAX_SILENCE_MS) return current;
  }
  let latest: Source | undefined;
  for (const source of connected) {
    if (latest === undefined || source.activeAt > latest.activeAt) latest = source;
  }
  return latest;
}
