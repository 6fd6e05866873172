/**
 * Passive health tracking (outlier ejection) of one endpoint. Repeated failures eject the endpoint
 * for a while. It is then on probation: single requests probe it, retryable ones first. Active
 * health checks are not used, as they reveal little about gray failures.
 */

/** Consecutive attempts without a response after which an endpoint is ejected. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** Share of failed responses above which an endpoint is ejected. */
const MAX_FAILURE_SHARE = 0.4;
/** Weight of the newest outcome in the moving average of failures. */
const SMOOTHING_FACTOR = 0.12;
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Time in which the first announcement of an endpoint that starts again has arrived. */
const RESTART_ANNOUNCEMENT_MS = 4_000;
/** Time on probation during which only retryable requests probe the endpoint. */
const RETRYABLE_ONLY_MS = 1_000;

/** A request that may probe an endpoint on probation. */
export interface ProbeCandidate {
  /** Requests of this gateway that run there. */
  running: number;
  isRetryable: boolean;
}

/** Health of one endpoint. */
export interface EndpointHealth {
  /** Whether failures seen by this gateway ejected it and it has not responded since. */
  readonly isEjected: boolean;
  /** Whether a new request may be sent there. */
  isUsable(now: number, candidate: ProbeCandidate): boolean;
  recordSuccess(): void;
  /** Records that a part of a response arrived. */
  recordResponseData(now: number): void;
  /** Records that another gateway has ejected the endpoint. */
  recordRemoteEjection(): void;
  /** Records that the endpoint returned an error response of its own. */
  recordErrorResponse(now: number): void;
  /** Records that the endpoint did not respond, or that the response broke off. */
  recordBrokenResponse(now: number): void;
  /**
   * Records that no connection could be made, which ejects the endpoint at once. `isRefused` means
   * that nothing listens at its address, as after a crash.
   */
  recordUnreachable(now: number, isRefused?: boolean): void;
  /**
   * Records that the endpoint's process has ended. What answers at its address next may be another
   * incarnation, of another software version; its announcement replaces this state.
   */
  recordCrash(now: number): void;
  /** Records that the endpoint wants no requests from this gateway until `until`. */
  recordUnwanted(until: number): void;
}

/** Creates the state of a healthy endpoint. */
export function createEndpointHealth(): EndpointHealth {
  let consecutiveFailures = 0;
  let failureShare = 0;
  let ejectedUntil = 0;
  let ejectionMs = MIN_EJECTION_MS;
  let awayUntil = 0;
  let isOnProbation = false;
  let isEjectedElsewhere = false;

  return {
    get isEjected() {
      return isOnProbation;
    },
    isUsable,
    recordResponseData(now) {
      isEjectedElsewhere = false;
      if (now >= ejectedUntil) isOnProbation = false;
    },
    recordRemoteEjection() {
      // Not included in this gateway's own reports: two gateways would otherwise keep confirming
      // each other's ejection.
      isEjectedElsewhere = true;
    },
    recordSuccess() {
      consecutiveFailures = 0;
      failureShare *= 1 - SMOOTHING_FACTOR;
      if (failureShare < MAX_FAILURE_SHARE / 2) ejectionMs = MIN_EJECTION_MS;
    },
    recordErrorResponse,
    recordBrokenResponse,
    recordUnreachable(now, isRefused = false) {
      if (isRefused) recordCrash(now);
      // Further requests would not get through for a while either.
      else eject(now);
    },
    recordCrash,
    recordUnwanted: keepFrom,
  };

  function recordCrash(now: number): void {
    eject(now);
    keepFrom(now + RESTART_ANNOUNCEMENT_MS);
  }

  function keepFrom(until: number): void {
    awayUntil = Math.max(awayUntil, until);
  }

  function isUsable(now: number, { running, isRetryable }: ProbeCandidate): boolean {
    if (now < Math.max(ejectedUntil, awayUntil)) return false;
    if (!isOnProbation && !isEjectedElsewhere) return true;
    if (running > 0) return false;
    return isRetryable || now >= ejectedUntil + RETRYABLE_ONLY_MS;
  }

  function recordErrorResponse(now: number): void {
    failureShare += SMOOTHING_FACTOR * (1 - failureShare);
    if (failureShare > MAX_FAILURE_SHARE) eject(now);
  }

  function recordBrokenResponse(now: number): void {
    consecutiveFailures += 1;
    if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) eject(now);
    else recordErrorResponse(now);
  }

  function eject(now: number): void {
    if (now < ejectedUntil) return;
    ejectedUntil = now + ejectionMs;
    isOnProbation = true;
    ejectionMs = Math.min(2 * ejectionMs, MAX_EJECTION_MS);
    // One more failure after the return ejects the endpoint again.
    consecutiveFailures = MAX_CONSECUTIVE_FAILURES - 1;
  }
}
