/** What the failure of an attempt says about its endpoint, and how log lines describe it. */

import { assertNever } from '../common/debug.js';
import type { Attempt } from './attempt.js';
import { toConnectFailure, type ConnectFailure } from './connectFailure.js';
import type { EndpointHealth } from './endpointHealth.js';
import type { AttemptFailure, ResponseHead } from './types.js';

/** Records a failure in the health and pace of the attempt's endpoint, and as an outcome of its version. */
export function recordAttemptFailure(
  attempt: Pick<Attempt, 'endpoint' | 'head' | 'sentAt' | 'recordFailure'>,
  failure: AttemptFailure,
  now: number,
): void {
  const { endpoint, head, sentAt } = attempt;
  const { health, pace } = endpoint;
  attempt.recordFailure(failure);
  const wasEjected = health.isEjected;
  recordInHealth(health, failure, now);
  if (health.isEjected && !wasEjected) pace.recordEjection();
  if (failure.kind === 'unsendable' || isOutsidePace(head)) return;
  if (failure.kind === 'notSent' && toConnectFailure(failure.reason) === 'notTried') return;
  pace.recordFailure(sentAt);
}

/** Whether the endpoint states that it takes fewer requests for another reason than its load. */
function isOutsidePace(head: ResponseHead | undefined): boolean {
  if (head === undefined) return false;
  return head.isLeaving || head.unwantedForMs !== undefined || head.maxRequestRate !== undefined;
}

function recordInHealth(health: EndpointHealth, failure: AttemptFailure, now: number): void {
  switch (failure.kind) {
    case 'notSent':
      recordConnectFailure(health, toConnectFailure(failure.reason), now);
      break;
    case 'unknown':
      health.recordBrokenResponse(now);
      break;
    case 'failed':
      health.recordErrorResponse(now);
      break;
    case 'notRun':
    case 'unsendable':
      break;
    default:
      assertNever(failure);
  }
}

function recordConnectFailure(health: EndpointHealth, failure: ConnectFailure, now: number): void {
  if (failure !== 'notTried') health.recordUnreachable(now, failure === 'refused');
}

/** Formats a failure for log lines. */
export function describeAttemptFailure(failure: AttemptFailure): string {
  switch (failure.kind) {
    case 'notSent':
    case 'unsendable':
    case 'unknown':
      return `${failure.kind}: ${failure.reason}`;
    default:
      return `${failure.kind}: ${failure.status}`;
  }
}
