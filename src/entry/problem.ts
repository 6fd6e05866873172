/**
 * Problem details (RFC 9457) for rejected and failed requests. Each problem states whether the
 * request ran.
 */

/** Whether the request was run by an endpoint, as far as the entry knows. */
export type Outcome = 'not_run' | 'unknown' | 'ran';

export type ProblemKind =
  | 'unauthorized'
  | 'bad_request'
  | 'too_large'
  | 'unknown_model'
  | 'unknown_service'
  | 'key_required'
  | 'key_conflict'
  | 'key_expired'
  | 'key_unavailable'
  | 'answer_not_kept'
  | 'team_limit'
  | 'shed'
  | 'timeout'
  | 'not_ready'
  | 'convicted'
  | 'preempted'
  | 'cut'
  | 'lost';

export interface Problem {
  kind: ProblemKind;
  outcome: Outcome;
  detail: string;
}

interface ProblemType {
  status: number;
  title: string;
  /** Seconds after which a retry makes sense; undefined if no `Retry-After` header is sent. */
  retryAfterSeconds: number | undefined;
}

const problemTypes: Record<ProblemKind, ProblemType> = {
  unauthorized: { status: 401, title: 'Unknown key', retryAfterSeconds: undefined },
  bad_request: { status: 400, title: 'Malformed request', retryAfterSeconds: undefined },
  too_large: { status: 413, title: 'Body too large', retryAfterSeconds: undefined },
  unknown_model: { status: 404, title: 'Unknown model', retryAfterSeconds: undefined },
  unknown_service: { status: 404, title: 'Unknown service', retryAfterSeconds: undefined },
  key_required: { status: 400, title: 'Idempotency-Key required', retryAfterSeconds: undefined },
  key_conflict: {
    status: 409,
    title: 'Key used for another request',
    retryAfterSeconds: undefined,
  },
  key_expired: { status: 409, title: 'Key expired', retryAfterSeconds: undefined },
  key_unavailable: { status: 503, title: 'Claims are unavailable', retryAfterSeconds: 1 },
  answer_not_kept: {
    status: 409,
    title: 'Ran before; the answer is not kept',
    retryAfterSeconds: undefined,
  },
  team_limit: { status: 429, title: 'Too many requests of the team', retryAfterSeconds: 1 },
  shed: { status: 503, title: 'Shed under load', retryAfterSeconds: 2 },
  timeout: { status: 503, title: 'Useful time passed before a start', retryAfterSeconds: 2 },
  not_ready: { status: 503, title: 'This entry is not ready', retryAfterSeconds: 1 },
  convicted: { status: 422, title: 'Request crashes endpoints', retryAfterSeconds: undefined },
  preempted: { status: 503, title: 'Stopped for a higher tier', retryAfterSeconds: 2 },
  cut: { status: 502, title: 'The answer was cut off', retryAfterSeconds: undefined },
  lost: { status: 502, title: 'The outcome is unknown', retryAfterSeconds: undefined },
};

/** Creates a problem for a request that was rejected before anything was dispatched. */
export function createRejection(kind: ProblemKind, detail: string): Problem {
  return { kind, outcome: 'not_run', detail };
}

export function getStatus(problem: Problem): number {
  return problemTypes[problem.kind].status;
}

/** Returns the value of the `Retry-After` header in seconds, if the problem has one. */
export function tryGetRetryAfterSeconds(problem: Problem): number | undefined {
  return problemTypes[problem.kind].retryAfterSeconds;
}

/**
 * Serializes a problem as `application/problem+json`. The `error` member is the one that common
 * clients of model APIs read.
 */
export function toProblemBody(problem: Problem, requestId: string): string {
  const { status, title } = problemTypes[problem.kind];
  const type = `urn:turmericrack:problem:${problem.kind}`;
  const { outcome, detail } = problem;
  const error = { message: `${title}: ${detail}`, type: problem.kind, code: outcome };
  return JSON.stringify({ type, title, status, detail, outcome, requestId, error });
}
