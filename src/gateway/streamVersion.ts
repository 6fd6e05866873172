/**
 * Keeps a stream to one software version. An endpoint that has started again may serve requests
 * before it announces its version, so the version of an attempt may become known late.
 */

import type { Attempt } from './attempt.js';
import type { PlacementRequest } from './scheduler.js';

/** The software version of one stream, which its placement request is kept in line with. */
export interface StreamVersion {
  /** Whether events of an attempt may follow those that the caller has. */
  admits(attempt: Attempt): boolean;
  /** Records that events of an attempt are forwarded. */
  recordForwarded(attempt: Attempt): void;
  recordFailure(attempt: Attempt): void;
}

export function createStreamVersion(
  placement: Pick<PlacementRequest, 'softwareVersion'>,
): StreamVersion {
  /** The attempt whose events have been forwarded last. */
  let latest: Attempt | undefined;

  return {
    admits(attempt) {
      const { softwareVersion } = placement;
      if (attempt === latest || softwareVersion === undefined) return true;
      return attempt.softwareVersion === softwareVersion;
    },
    recordForwarded(attempt) {
      latest = attempt;
      placement.softwareVersion = attempt.softwareVersion;
    },
    recordFailure(attempt) {
      if (attempt === latest) placement.softwareVersion = attempt.softwareVersion;
    },
  };
}
