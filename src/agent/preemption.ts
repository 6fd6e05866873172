/** Selects running requests to stop in favour of a higher tier. */

import type { EndpointCapacity } from './endpointCapacity.js';
import { getHeldTokens } from './endpointCapacity.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { Job, ConfiguredSpeeds } from './types.js';

/** A job is urgent when the time until its latest start is below this multiple of its run time. */
const URGENCY_FACTOR = 0.5;
const URGENCY_MARGIN_MS = 100;

/** Whether a waiting job would miss its deadline if it waited any longer. */
export function isUrgent(job: Job, speedEstimator: SpeedEstimator, now: number): boolean {
  const runMs =
    speedEstimator.estimateDurationMs(job) / Math.max(speedEstimator.speed, Number.EPSILON);
  const slackMs = job.deadline - now - runMs;
  return slackMs < URGENCY_FACTOR * runMs + URGENCY_MARGIN_MS;
}

/** Computed prompt tokens of a running job that would be lost if it were stopped. */
export function getWastedTokens(
  job: Job,
  speeds: ConfiguredSpeeds | undefined,
  now: number,
): number {
  const uncached = Math.max(0, job.promptTokens - job.cachedTokens);
  if (job.firstByteAt > 0 || speeds === undefined) return uncached;
  return Math.min(uncached, ((now - job.dispatchedAt) / 1000) * speeds.prefillTokensPerSecond);
}

/**
 * Returns as few running jobs of lower tiers as have to be stopped for `job` to fit, or none when
 * stopping all of them would not be enough.
 */
export function chooseVictims(
  job: Job,
  capacity: EndpointCapacity,
  speeds: ConfiguredSpeeds | undefined,
  now: number,
): Job[] {
  const running = capacity.list();
  const candidates = running.filter((other) => isPreemptible(other, job.tierRank));
  candidates.sort((left, right) => compareVictims(left, right, speeds, now));
  const stopping = running.filter((other) => other.stopReason !== undefined);
  let slotsMissing = running.length - stopping.length + 1 - capacity.usableSlots;
  let tokensMissing = getHeldTokens(job) - capacity.freeTokens - sumTokens(stopping);
  const victims: Job[] = [];
  for (const candidate of candidates) {
    if (slotsMissing <= 0 && tokensMissing <= 0) break;
    victims.push(candidate);
    slotsMissing -= 1;
    tokensMissing -= getHeldTokens(candidate);
  }
  return slotsMissing <= 0 && tokensMissing <= 0 ? victims : [];
}

/** Whether `job` is a running job of a tier below `tierRank` that may be stopped. */
export function isPreemptible(job: Job, tierRank: number): boolean {
  if (job.tierRank <= tierRank || !job.idempotent) return false;
  return job.state === 'running' && job.stopReason === undefined;
}

function compareVictims(
  left: Job,
  right: Job,
  speeds: ConfiguredSpeeds | undefined,
  now: number,
): number {
  if (left.tierRank !== right.tierRank) return right.tierRank - left.tierRank;
  if (left.shedOrder !== right.shedOrder) return left.shedOrder - right.shedOrder;
  return getWastedTokens(left, speeds, now) - getWastedTokens(right, speeds, now);
}

function sumTokens(jobs: readonly Job[]): number {
  return jobs.reduce((sum, job) => sum + getHeldTokens(job), 0);
}
