/** Counts of how the responses of one software version turned out on one route, over all gateways. */

import type { VersionOutcome } from '../generated/control.js';

/** Counts and sums, or the differences of two of them. */
export interface Counts {
  begun: number;
  completed: number;
  failed: number;
  /** Complete responses that blame the request. */
  rejected: number;
  /** Complete responses that took several times as long as usual. */
  slow: number;
  /** Responses that callers gave up when they were long overdue. */
  overdue: number;
  totalMs: number;
  work: number;
  /** Slow and overdue responses by endpoint. */
  lateByEndpoint: ReadonlyMap<string, number>;
}

/** Outcomes of one version on one route. */
export interface VersionCounts extends Counts {
  version: string;
  route: string;
}

export const noCounts: Counts = {
  begun: 0,
  completed: 0,
  failed: 0,
  rejected: 0,
  slow: 0,
  overdue: 0,
  totalMs: 0,
  work: 0,
  lateByEndpoint: new Map(),
};

/** Reads the counts that a gateway reports. */
export function toVersionCounts(outcome: VersionOutcome): VersionCounts {
  const { softwareVersion: version, route, begun, completed, failed, slow } = outcome;
  const { overdue, rejected, totalMs, work } = outcome;
  const lateByEndpoint = new Map(
    outcome.lateResponses.map(({ endpointId, count }) => [endpointId, count]),
  );
  const counts = { begun, completed, failed, rejected, slow, overdue, totalMs, work };
  return { version, route, ...counts, lateByEndpoint };
}

/** Returns `left` plus `factor` times `right`. */
export function combineCounts(left: Counts, right: Counts, factor = 1): Counts {
  const lateByEndpoint = new Map(left.lateByEndpoint);
  for (const [endpoint, count] of right.lateByEndpoint) {
    lateByEndpoint.set(endpoint, (lateByEndpoint.get(endpoint) ?? 0) + factor * count);
  }
  return {
    begun: left.begun + factor * right.begun,
    completed: left.completed + factor * right.completed,
    failed: left.failed + factor * right.failed,
    rejected: left.rejected + factor * right.rejected,
    slow: left.slow + factor * right.slow,
    overdue: left.overdue + factor * right.overdue,
    totalMs: left.totalMs + factor * right.totalMs,
    work: left.work + factor * right.work,
    lateByEndpoint,
  };
}

/** Number of responses that succeeded or failed. */
export function countAnswered({ completed, failed }: Counts): number {
  return completed + failed;
}

/** Number of responses, those that blame the request included. */
export function countResponses(counts: Counts): number {
  return countAnswered(counts) + counts.rejected;
}

/** Number of requests that have not ended as far as is known. */
export function countRunning(counts: Counts): number {
  return counts.begun - countResponses(counts) - counts.overdue;
}

/** Number of responses of which it is known whether they were late. */
export function countTimed({ completed, overdue }: Counts): number {
  return completed + overdue;
}

export function countLate({ slow, overdue }: Counts): number {
  return slow + overdue;
}

/** Number of late responses but for those of the endpoint that has most. */
export function countLateElsewhere(counts: Counts): number {
  return countLate(counts) - getMostLate(counts);
}

/** Number of overdue responses but for as many as the endpoint with most late ones may have. */
export function countOverdueElsewhere(counts: Counts): number {
  return Math.max(0, counts.overdue - getMostLate(counts));
}

function getMostLate({ lateByEndpoint }: Counts): number {
  return Math.max(0, ...lateByEndpoint.values());
}
