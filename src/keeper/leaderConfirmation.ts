/**
 * When a quorum last confirmed that a replica has applied all that was committed. Word from a leader
 * is not enough: a replica hears from it also while it lags or hangs on its disk.
 */

/** The confirmations of one replica. All times are milliseconds of the monotonic clock. */
export interface LeaderConfirmation {
  /** At `time` a leader held its lease, and nothing after `index` had been committed. */
  record(index: number, time: number): void;
  /**
   * Milliseconds since the last recorded time for which all that was committed is applied here;
   * infinite before that.
   */
  getAgeMs(appliedIndex: number, time: number): number;
}

interface Commit {
  index: number;
  recordedAt: number;
}

/** Creates an empty record. */
export function createLeaderConfirmation(): LeaderConfirmation {
  /** The oldest one that was not applied when last asked; newer ones may always be ahead. */
  let awaited: Commit | undefined;
  let latest: Commit | undefined;
  let confirmedAt = Number.NEGATIVE_INFINITY;

  return {
    record(index, time) {
      latest = { index, recordedAt: time };
      awaited ??= latest;
    },
    getAgeMs(appliedIndex, time) {
      for (const commit of [awaited, latest]) {
        if (commit === undefined || appliedIndex < commit.index) continue;
        confirmedAt = Math.max(confirmedAt, commit.recordedAt);
        awaited = commit === latest ? undefined : latest;
      }
      return time - confirmedAt;
    },
  };
}
