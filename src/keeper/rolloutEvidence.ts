/** What the outcomes of a rollout's versions show: whether the new version is worse beyond chance. */

import {
  combineCounts,
  countAnswered,
  countLate,
  countLateElsewhere,
  countOverdueElsewhere,
  countResponses,
  countTimed,
  noCounts,
  type Counts,
  type VersionCounts,
} from './versionCounts.js';

/** What is known of the versions of a pool. */
export interface Evidence {
  toVersion: string;
  /** Counts since the order, then those of ever shorter recent times. */
  windows: readonly (readonly VersionCounts[])[];
  /** Number of endpoints that take requests, by version. */
  ready: ReadonlyMap<string, number>;
  /** Most failures of the new version at about the same moment. */
  failureBurst: number;
}

/** Counts of the new version and of all others, over all routes or of one. */
export interface Comparison {
  route: string | undefined;
  newVersion: Counts;
  others: Counts;
}

/** Fewer bad responses than this are no evidence, however improbable. */
const MIN_BAD = 4;
/** Shares of bad responses that any version may have: single faults of machines and links. */
const USUAL_FAILED = 0.01;
const USUAL_LATE = 0.04;
const USUAL_OVERDUE = 0.01;
/** A share of bad responses that exceeds that of the old version by less is no difference. */
const TOLERATED_RATIO = 1.5;
/** Weight of the assumption that one response in this many is bad, before any is known. */
const PRIOR_RESPONSES = 20;
/** A recent time with fewer responses of the old version says nothing about it. */
const MIN_RECENT_OLD = 20;
/**
 * Requests that run at one endpoint fail together when it ends, which is no fault of its version. So
 * many failures at one moment are left out.
 */
const MIN_CRASH_FAILURES = 3;
const MAX_CRASH_FAILURES = 12;
/** Greatest share of late responses that is put down to a single slow endpoint. */
const MAX_SLOW_ENDPOINT_SHARE = 0.3;
/**
 * Ratio of mean times from which on endpoints' own speeds do not explain it: they differ by up to
 * 5 times, and other work on their VMs adds 22% on average.
 */
const MAX_SPEED_RATIO = 7;
const MIN_MEAN_RESPONSES = 20;

/**
 * Returns why the new version is bad, or undefined if what was seen has a probability of more than
 * `chance` for a good one.
 */
export function tryFindFault(evidence: Evidence, chance: number): string | undefined {
  const [total = [], ...recent] = evidence.windows;
  const sinceOrder = compare(total, evidence.toVersion);
  for (const comparison of sinceOrder) {
    const fault =
      tryFindBadShare(evidence, comparison, comparison.others, chance) ??
      tryFindSlowMean(comparison);
    if (fault !== undefined) return fault;
  }
  for (const window of recent) {
    for (const comparison of compare(window, evidence.toVersion)) {
      const known = sinceOrder.find(({ route }) => route === comparison.route)?.others;
      const fault = tryFindBadShare(evidence, comparison, known ?? noCounts, chance);
      if (fault !== undefined) return fault;
    }
  }
  return undefined;
}

/** Returns the sums over all routes, and those of each route. */
export function compare(window: readonly VersionCounts[], toVersion: string): Comparison[] {
  const all: Comparison = { route: undefined, newVersion: noCounts, others: noCounts };
  const byRoute = new Map<string, Comparison>();
  for (const counts of window) {
    const { route } = counts;
    const known = byRoute.get(route) ?? { route, newVersion: noCounts, others: noCounts };
    byRoute.set(route, known);
    for (const comparison of [all, known]) {
      const side = counts.version === toVersion ? 'newVersion' : 'others';
      comparison[side] = combineCounts(comparison[side], counts);
    }
  }
  return [all, ...byRoute.values()];
}

/** `othersSinceOrder` are the counts of the other versions on the same route since the order. */
function tryFindBadShare(
  evidence: Evidence,
  comparison: Comparison,
  othersSinceOrder: Counts,
  chance: number,
): string | undefined {
  return (
    tryFindFailures(evidence, comparison, othersSinceOrder, chance) ??
    tryFindRejections(comparison, othersSinceOrder, chance) ??
    tryFindLateResponses(evidence, comparison, othersSinceOrder, chance)
  );
}

function tryFindFailures(
  { failureBurst }: Evidence,
  { route, newVersion, others }: Comparison,
  othersSinceOrder: Counts,
  chance: number,
): string | undefined {
  const histories = listHistories(others, othersSinceOrder, countAnswered);
  const usual = getUsualShare(USUAL_FAILED, histories, ({ failed }) => failed, countAnswered);
  const isCrash = failureBurst >= MIN_CRASH_FAILURES;
  const failed = newVersion.failed - (isCrash ? Math.min(failureBurst, MAX_CRASH_FAILURES) : 0);
  const answered = countAnswered(newVersion);
  return isImprobable(failed, answered, usual, chance)
    ? describe('failed', newVersion.failed, answered, usual, route)
    : undefined;
}

/** Some requests deserve to be rejected, which both versions do alike. */
function tryFindRejections(
  { route, newVersion, others }: Comparison,
  othersSinceOrder: Counts,
  chance: number,
): string | undefined {
  const histories = listHistories(others, othersSinceOrder, countResponses);
  const usual = getUsualShare(USUAL_FAILED, histories, ({ rejected }) => rejected, countResponses);
  const { rejected } = newVersion;
  const responses = countResponses(newVersion);
  return isImprobable(rejected, responses, usual, chance)
    ? describe('rejected', rejected, responses, usual, route)
    : undefined;
}

/**
 * One endpoint that is slow by itself makes its share of the responses late. So that share is usual,
 * but only for the endpoint that has most of them.
 */
function tryFindLateResponses(
  { ready, toVersion }: Evidence,
  { route, newVersion, others }: Comparison,
  othersSinceOrder: Counts,
  chance: number,
): string | undefined {
  const histories = listHistories(others, othersSinceOrder, countTimed);
  const timed = countTimed(newVersion);
  const oneEndpoint = 1 / Math.max(1, ready.get(toVersion) ?? 1);
  const late = countLate(newVersion);
  const allowance = Math.max(USUAL_LATE, Math.min(oneEndpoint, MAX_SLOW_ENDPOINT_SHARE));
  const usual = getUsualShare(allowance, histories, countLate, countTimed);
  if (isImprobable(late, timed, usual, chance)) {
    return describe('late', late, timed, usual, route);
  }
  const usualElsewhere = getUsualShare(USUAL_LATE, histories, countLate, countTimed);
  const lateElsewhere = countLateElsewhere(newVersion);
  const timedElsewhere = Math.round(timed * (1 - oneEndpoint));
  if (isImprobable(lateElsewhere, timedElsewhere, usualElsewhere, chance)) {
    return describe(
      'late but for one endpoint',
      lateElsewhere,
      timedElsewhere,
      usualElsewhere,
      route,
    );
  }
  const usualOverdue = getUsualShare(
    USUAL_OVERDUE,
    histories,
    ({ overdue }) => overdue,
    countTimed,
  );
  const overdue = countOverdueElsewhere(newVersion);
  return isImprobable(overdue, timedElsewhere, usualOverdue, chance)
    ? describe('overdue but for one endpoint', overdue, timedElsewhere, usualOverdue, route)
    : undefined;
}

/** Counts of the other versions that tell what is usual: since the order, and lately if enough. */
function listHistories(
  recent: Counts,
  sinceOrder: Counts,
  count: (counts: Counts) => number,
): Counts[] {
  return count(recent) >= MIN_RECENT_OLD ? [sinceOrder, recent] : [sinceOrder];
}

function getUsualShare(
  least: number,
  histories: readonly Counts[],
  countBad: (counts: Counts) => number,
  count: (counts: Counts) => number,
): number {
  const shares = histories.map(
    (counts) => (countBad(counts) + 1) / (count(counts) + PRIOR_RESPONSES),
  );
  return Math.max(least, Math.min(1, TOLERATED_RATIO * Math.max(...shares)));
}

function tryFindSlowMean({ route, newVersion, others }: Comparison): string | undefined {
  // Routes differ in what one unit of work takes.
  if (route === undefined) return undefined;
  if (Math.min(others.completed, newVersion.completed) < MIN_MEAN_RESPONSES) return undefined;
  const ratio = getMsPerWork(newVersion) / getMsPerWork(others);
  return ratio > MAX_SPEED_RATIO
    ? `${ratio.toFixed(1)} times as long for the same work on ${route}`
    : undefined;
}

function getMsPerWork({ totalMs, work, completed }: Counts): number {
  return Math.max(totalMs, 1) / (work > 0 ? work : completed);
}

function describe(
  kind: string,
  bad: number,
  count: number,
  usual: number,
  route: string | undefined,
): string {
  const where = route === undefined ? '' : ` on ${route}`;
  return `${bad} of ${count} ${kind}${where}, usual share ${usual.toFixed(3)}`;
}

/** Whether `bad` or more of `count` responses are bad with a probability below `chance`. */
function isImprobable(bad: number, count: number, share: number, chance: number): boolean {
  if (bad < MIN_BAD || bad <= share * count || share >= 1) return false;
  if (bad >= count) return share ** bad < chance;
  // The terms of the binomial distribution from `bad` on, each from the one before.
  let logTerm = bad * Math.log(share) + (count - bad) * Math.log1p(-share);
  for (let index = 1; index <= bad; index += 1) logTerm += Math.log((count - bad + index) / index);
  let term = Math.exp(logTerm);
  let sum = term;
  for (let hits = bad + 1; hits <= count && term > sum * Number.EPSILON; hits += 1) {
    term *= ((count - hits + 1) / hits) * (share / (1 - share));
    sum += term;
  }
  return sum < chance;
}
