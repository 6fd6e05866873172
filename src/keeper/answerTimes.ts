/**
 * Times that a replica puts into its answers to a leader, and that the leader returns. A message that
 * returns one was sent after it. Unlike the time of receipt, this also holds for a message that the
 * replica reads late, for example because it was frozen.
 */

/** Range of the offset; far longer than any process runs. */
const MAX_OFFSET_MS = 1e12;
/** Offsets cost the fractions some digits. */
const ROUNDING_MS = 1;

/** The times of one process, in milliseconds of the monotonic clock. */
export interface AnswerTimes {
  encode(time: number): number;
  /** Returns undefined for a time that an earlier process of this replica has sent. */
  tryDecode(encoded: number, now: number): number | undefined;
}

/** Creates the times of a process that has started at `startedAt`; `random` is in [0, 1). */
export function createAnswerTimes(startedAt: number, random: number): AnswerTimes {
  const offset = Math.floor(random * MAX_OFFSET_MS);

  return {
    encode: (time) => time + offset,
    tryDecode(encoded, now) {
      const time = encoded - offset;
      if (time < startedAt - ROUNDING_MS || time > now + ROUNDING_MS) return undefined;
      return Math.min(time, now);
    },
  };
}
