/**
 * Judges one endpoint by the outcomes of what was sent to it: out after repeated failures, then on
 * probation, where single requests try it, those that may be repeated first. Health checks are not
 * used: they say little about grey failures.
 */

/** Failures in a row, without any answer, after which an endpoint gets nothing new. */
const MAX_FAILURES_IN_ROW = 3;
/** Share of failed answers above which an endpoint is taken out. */
const MAX_FAILURE_SHARE = 0.4;
/** Answers that are judged together, as the weight of the newest one. */
const OUTCOME_WEIGHT = 0.12;
const OUT_MIN_MS = 500;
const OUT_MAX_MS = 4_000;
/** Time on probation after which also a request that may not be repeated tries the endpoint. */
const REPEATABLE_FIRST_MS = 1_000;

/** A request that may try an endpoint on probation. */
export interface ProbeCandidate {
  /** Requests of this gateway that run there. */
  running: number;
  isRetryable: boolean;
}

/** State of one endpoint. */
export interface EndpointHealth {
  /** Whether failures seen here took it out and it has not answered since. */
  readonly isEjected: boolean;
  /** Whether a new request may go there. */
  isUsable(now: number, trial: ProbeCandidate): boolean;
  recordSuccess(): void;
  /** A piece of an answer came. */
  recordResponseData(now: number): void;
  /** Another gateway has taken the endpoint out. */
  recordRemoteEjection(): void;
  /** The endpoint answered with a failure of its own. */
  recordErrorResponse(now: number): void;
  /** The endpoint did not answer, or broke off. */
  recordBrokenResponse(now: number): void;
  /** No connection could be made: nothing will get through for a while. */
  recordUnreachable(now: number): void;
}

/** Creates the state of a healthy endpoint. */
export function createEndpointHealth(): EndpointHealth {
  let failuresInRow = 0;
  let failureShare = 0;
  let outUntil = 0;
  let outMs = OUT_MIN_MS;
  let isOnProbation = false;
  let isOutElsewhere = false;

  return {
    get isEjected() {
      return isOnProbation;
    },
    isUsable,
    recordResponseData(now) {
      isOutElsewhere = false;
      if (now >= outUntil) isOnProbation = false;
    },
    recordRemoteEjection() {
      // Not told on: two gateways would else keep up each other's doubts.
      isOutElsewhere = true;
    },
    recordSuccess() {
      failuresInRow = 0;
      failureShare *= 1 - OUTCOME_WEIGHT;
      if (failureShare < MAX_FAILURE_SHARE / 2) outMs = OUT_MIN_MS;
    },
    recordErrorResponse: noteFailedAnswer,
    recordBrokenResponse: noteBroken,
    recordUnreachable: takeOut,
  };

  function isUsable(now: number, { running, isRetryable: mayRepeat }: ProbeCandidate): boolean {
    if (now < outUntil) return false;
    if (!isOnProbation && !isOutElsewhere) return true;
    if (running > 0) return false;
    return mayRepeat || now >= outUntil + REPEATABLE_FIRST_MS;
  }

  function noteFailedAnswer(now: number): void {
    failureShare += OUTCOME_WEIGHT * (1 - failureShare);
    if (failureShare > MAX_FAILURE_SHARE) takeOut(now);
  }

  function noteBroken(now: number): void {
    failuresInRow += 1;
    if (failuresInRow >= MAX_FAILURES_IN_ROW) takeOut(now);
    else noteFailedAnswer(now);
  }

  function takeOut(now: number): void {
    if (now < outUntil) return;
    outUntil = now + outMs;
    isOnProbation = true;
    outMs = Math.min(2 * outMs, OUT_MAX_MS);
    // One more failure after the return is enough to be out again.
    failuresInRow = MAX_FAILURES_IN_ROW - 1;
  }
}
