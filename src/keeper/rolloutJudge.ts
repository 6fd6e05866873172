/**
 * Decides how a rollout goes on, from what is known of it; has no clock and no network. A canary
 * phase at a small share is followed by quick steps up, which end early enough before the deadline
 * that requests at the old version have ended by then. docs/design/rollouts.md gives the reasons.
 */

import type { RolloutSettings } from '../generated/schemas.js';
import { compare, tryFindFault, type Comparison, type Evidence } from './rolloutEvidence.js';
import { countAnswered } from './versionCounts.js';

/** What is known of a rollout in progress. */
export interface RolloutView extends Evidence {
  durationMs: number;
  ageMs: number;
  share: number;
  /** Time since the share was last changed. */
  sharedForMs: number;
  /** Requests that run at other versions than the new one. */
  othersRunning: number;
}

export type RolloutDecision =
  | { kind: 'hold' }
  | { kind: 'step'; share: number; reason: string }
  | { kind: 'complete'; reason: string }
  | { kind: 'revert'; reason: string };

/** Points of an order's age, in milliseconds. */
interface RolloutSchedule {
  /** The canary phase ends. */
  rampAt: number;
  /** All requests should go to the new version. */
  fullAt: number;
  /** They go there even on little evidence, or the rollout is reverted. */
  lastChanceAt: number;
  /** The rollout is completed if nothing runs at the old version. */
  completeAt: number;
  deadline: number;
  /** Time that requests at the old version take to end. */
  drainMs: number;
}

/** Probability for a good version below which it is reverted; it is looked at every 100 ms. */
const REVERT_CHANCE = 1e-6;
/** Probability below which its share is not raised, and below which it is reverted in the end. */
const HOLD_CHANCE = 2e-3;
const LAST_CHANCE = 1e-3;
/** Part of the allowance of a bad version that the canary phase may use; steps up need the rest. */
const CANARY_BUDGET = 0.3;
/** Share at first, in parts of the greatest share of a bad version. */
const MIN_CANARY_PART = 1 / 2;
const MAX_CANARY_SHARE = 0.5;
/** Time at a share before the rate of requests is known well enough for another one. */
const MIN_RATE_MS = 1_500;
const MAX_RATE_MS = 3_000;
const RATE_PART = 0.05;
/** Time after the order from which on requests are counted, and until they are reported. */
const COUNT_DELAY_MS = 800;
/** A canary share is changed only if it differs by this factor. */
const CANARY_CHANGE = 1.3;
/** Shares after the canary phase. */
const steps = [0.25, 0.5, 1];
const MAX_RAMP_MS = 7_000;
const RAMP_PART = 0.15;
/** Time in which a completion is committed although the leader is lost just then. */
const MAX_MARGIN_MS = 2_500;
const MARGIN_PART = 0.05;
/** Streams take up to about 15 s. */
const MAX_DRAIN_MS = 16_000;
const MIN_DRAIN_MS = 2_000;
const MAX_DRAIN_PART = 0.5;
/** Part of the time that old requests take to end which is left at the last chance. */
const LAST_CHANCE_PART = 0.75;
/** Ratio of the longest responses of a route to its mean. */
const LONGEST_PER_MEAN = 8;
/** Added to the estimated duration of the longest responses. */
const DRAIN_MARGIN_MS = 1_000;
/** Responses of a route from which on its mean counts. */
const MIN_MEAN_RESPONSES = 5;
/** Answers of the new version, over all routes and on each with traffic, that allow a step. */
const MIN_ANSWERS = 30;
const MIN_ROUTE_ANSWERS = 4;
/** Part of a pool's requests from which on a route counts as one with traffic. */
const ROUTE_TRAFFIC = 0.05;
/** With fewer requests in the pool, it is chance that none has gone to the new version. */
const MIN_TELLING_REQUESTS = 8;

/** Decides the next change of a rollout in progress. */
export function judgeRollout(view: RolloutView, settings: RolloutSettings): RolloutDecision {
  const fault = tryFindFault(view, REVERT_CHANCE);
  if (fault !== undefined) return { kind: 'revert', reason: fault };
  const schedule = planRollout(view);
  if (view.share >= 1) return judgeFull(view, schedule);
  const isCanary = view.ageMs < schedule.rampAt;
  // Late, without a leader until now, it still begins small.
  if (isCanary || (view.share === 0 && view.ageMs < schedule.lastChanceAt)) {
    return judgeCanary(view, schedule, settings);
  }
  return judgeRamp(view, schedule);
}

/** Returns the schedule, which follows from the duration and the times that responses take. */
function planRollout(view: RolloutView): RolloutSchedule {
  const { durationMs: deadline } = view;
  const completeAt = deadline - Math.min(MAX_MARGIN_MS, MARGIN_PART * deadline);
  const drainMs = Math.min(estimateDrainMs(view), MAX_DRAIN_PART * deadline);
  const fullAt = completeAt - drainMs;
  const rampAt = fullAt - Math.min(MAX_RAMP_MS, RAMP_PART * deadline);
  const lastChanceAt = completeAt - LAST_CHANCE_PART * drainMs;
  return { rampAt, fullAt, lastChanceAt, completeAt, deadline, drainMs };
}

function estimateDrainMs({ windows, toVersion }: RolloutView): number {
  const routes = compare(windows[0] ?? [], toVersion).slice(1);
  const means = routes
    .filter(({ others }) => others.completed >= MIN_MEAN_RESPONSES)
    .map(({ others }) => others.totalMs / others.completed);
  if (means.length === 0) return MAX_DRAIN_MS;
  const longestMs = LONGEST_PER_MEAN * Math.max(...means) + DRAIN_MARGIN_MS;
  return Math.min(MAX_DRAIN_MS, Math.max(MIN_DRAIN_MS, longestMs));
}

function judgeCanary(
  view: RolloutView,
  schedule: RolloutSchedule,
  settings: RolloutSettings,
): RolloutDecision {
  const { share, sharedForMs } = view;
  const first = MIN_CANARY_PART * settings.maxShare;
  if (share === 0 && first > 0) return { kind: 'step', share: first, reason: 'canary' };
  const rateMs = Math.max(MIN_RATE_MS, Math.min(MAX_RATE_MS, RATE_PART * view.durationMs));
  if (sharedForMs < rateMs || !hasReadyEndpoint(view)) return { kind: 'hold' };
  const wanted = Math.max(first, chooseCanaryShare(view, schedule, settings));
  if (wanted === share) return { kind: 'hold' };
  const ratio = wanted / share;
  const isRaise = ratio > CANARY_CHANGE;
  if (!isRaise && ratio > 1 / CANARY_CHANGE) return { kind: 'hold' };
  if (isRaise && tryFindFault(view, HOLD_CHANCE) !== undefined) return { kind: 'hold' };
  return { kind: 'step', share: wanted, reason: 'canary by rate' };
}

/** Returns the share at which the canary phase uses its part of what a bad version may get. */
function chooseCanaryShare(
  view: RolloutView,
  { rampAt, deadline }: RolloutSchedule,
  { maxShare, maxExcess }: RolloutSettings,
): number {
  const [all] = compare(view.windows[0] ?? [], view.toVersion) as [Comparison];
  const ratePerMs =
    (all.others.begun + all.newVersion.begun) / Math.max(1, view.ageMs - COUNT_DELAY_MS);
  const budget = CANARY_BUDGET * (maxShare * ratePerMs * deadline + maxExcess);
  const share =
    (budget - all.newVersion.begun) / (ratePerMs * Math.max(rampAt / 4, rampAt - view.ageMs));
  return Math.min(MAX_CANARY_SHARE, Number.isFinite(share) ? Number(share.toFixed(3)) : 0);
}

function judgeRamp(view: RolloutView, schedule: RolloutSchedule): RolloutDecision {
  const { ageMs, share, sharedForMs } = view;
  const { rampAt, fullAt, lastChanceAt } = schedule;
  const doubt = tryFindFault(view, HOLD_CHANCE) ?? tryFindGap(view);
  if (ageMs >= lastChanceAt) return judgeLastChance(view);
  if (doubt !== undefined) return { kind: 'hold' };
  const [first = 1] = steps;
  // The first steps share the time of the ramp. A late one takes as long.
  const dwellMs = (fullAt - rampAt) / (steps.length - 1);
  if (share >= first && sharedForMs < dwellMs) return { kind: 'hold' };
  const next = steps.find((candidate) => candidate > share) ?? 1;
  return { kind: 'step', share: next, reason: 'good answers' };
}

/** Returns why the answers of the new version do not allow a step yet. */
function tryFindGap({ windows, toVersion }: RolloutView): string | undefined {
  const [all, ...routes] = compare(windows[0] ?? [], toVersion) as [Comparison, ...Comparison[]];
  const answers = countAnswered(all.newVersion);
  if (answers < MIN_ANSWERS) return `${answers} answers`;
  const traffic = ROUTE_TRAFFIC * (all.others.begun + all.newVersion.begun);
  const gap = routes.find(
    ({ newVersion, others }) =>
      others.begun + newVersion.begun >= traffic && countAnswered(newVersion) < MIN_ROUTE_ANSWERS,
  );
  return gap && `${countAnswered(gap.newVersion)} answers on ${gap.route}`;
}

function judgeLastChance(view: RolloutView): RolloutDecision {
  const doubt = tryFindFault(view, LAST_CHANCE);
  if (doubt !== undefined) return { kind: 'revert', reason: `in doubt: ${doubt}` };
  const [all] = compare(view.windows[0] ?? [], view.toVersion) as [Comparison];
  if (!hasReadyEndpoint(view)) {
    return { kind: 'revert', reason: 'no endpoint of the new version is ready' };
  }
  const requests = all.others.begun + all.newVersion.begun;
  if (all.newVersion.completed === 0 && requests >= MIN_TELLING_REQUESTS) {
    return { kind: 'revert', reason: 'no complete answer of the new version' };
  }
  return { kind: 'step', share: 1, reason: 'few answers, no bad ones beyond chance' };
}

function hasReadyEndpoint({ ready, toVersion }: RolloutView): boolean {
  return (ready.get(toVersion) ?? 0) > 0;
}

function judgeFull(view: RolloutView, schedule: RolloutSchedule): RolloutDecision {
  const { ageMs, sharedForMs, othersRunning } = view;
  const { completeAt, deadline, drainMs } = schedule;
  if (ageMs < completeAt) return { kind: 'hold' };
  // Reports of what was begun just before the step take some time.
  const hasEnded = othersRunning === 0 && sharedForMs >= drainMs / 2;
  if (hasEnded) return { kind: 'complete', reason: 'old version ended' };
  // Some requests may never be reported as ended: their callers left, or their gateway did.
  const lastAt = (completeAt + deadline) / 2;
  // A step that was late, after a time without a leader, leaves less; nothing must be cut off.
  const isLate = ageMs >= lastAt && sharedForMs >= drainMs / 2;
  return isLate ? { kind: 'complete', reason: 'deadline' } : { kind: 'hold' };
}
