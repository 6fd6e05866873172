/** Refusals and failures as callers see them (RFC 9457), each with what is known of the run. */

/** Whether the request ran at an endpoint. */
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

/** One problem. */
export interface Problem {
  kind: ProblemKind;
  outcome: Outcome;
  detail: string;
}

interface ProblemRule {
  status: number;
  title: string;
  /** Seconds after which trying again makes sense. */
  retryAfter: number | undefined;
}

const rules: Record<ProblemKind, ProblemRule> = {
  unauthorized: { status: 401, title: 'Unknown key', retryAfter: undefined },
  bad_request: { status: 400, title: 'Malformed request', retryAfter: undefined },
  too_large: { status: 413, title: 'Body too large', retryAfter: undefined },
  unknown_model: { status: 404, title: 'Unknown model', retryAfter: undefined },
  unknown_service: { status: 404, title: 'Unknown service', retryAfter: undefined },
  key_required: { status: 400, title: 'Idempotency-Key required', retryAfter: undefined },
  key_conflict: { status: 409, title: 'Key used for another request', retryAfter: undefined },
  key_expired: { status: 409, title: 'Key expired', retryAfter: undefined },
  key_unavailable: { status: 503, title: 'Claims are unavailable', retryAfter: 1 },
  answer_not_kept: {
    status: 409,
    title: 'Ran before; the answer is not kept',
    retryAfter: undefined,
  },
  team_limit: { status: 429, title: 'Too many requests of the team', retryAfter: 1 },
  shed: { status: 503, title: 'Shed under load', retryAfter: 2 },
  timeout: { status: 503, title: 'Useful time passed before a start', retryAfter: 2 },
  not_ready: { status: 503, title: 'This entry is not ready', retryAfter: 1 },
  convicted: { status: 422, title: 'Request crashes endpoints', retryAfter: undefined },
  preempted: { status: 503, title: 'Stopped for a higher tier', retryAfter: 2 },
  cut: { status: 502, title: 'The answer was cut off', retryAfter: undefined },
  lost: { status: 502, title: 'The outcome is unknown', retryAfter: undefined },
};

/** A problem that occurred before anything was dispatched. */
export function createRefusal(kind: ProblemKind, detail: string): Problem {
  return { kind, outcome: 'not_run', detail };
}

export function getStatus(problem: Problem): number {
  return rules[problem.kind].status;
}

/** Seconds for `Retry-After`, if any. */
export function tryGetRetryAfter(problem: Problem): number | undefined {
  return rules[problem.kind].retryAfter;
}

/** Body of `application/problem+json`; `error` is what usual model clients read. */
export function toProblemBody(problem: Problem, requestId: string): string {
  const { status, title } = rules[problem.kind];
  const type = `urn:turmericrack:problem:${problem.kind}`;
  const { outcome, detail } = problem;
  const error = { message: `${title}: ${detail}`, type: problem.kind, code: outcome };
  return JSON.stringify({ type, title, status, detail, outcome, requestId, error });
}
