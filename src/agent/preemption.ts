/** Choice of running requests that give way to a higher tier. */

import type { EndpointCapacity } from './endpointCapacity.js';
import { getTokens } from './endpointCapacity.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { Job, ConfiguredSpeeds } from './types.js';

/** A job is urgent when less than this multiple of its run time is left before its latest start. */
const URGENCY_FACTOR = 0.5;
const URGENCY_MARGIN_MS = 100;

/** Whether a waiting job would be late if it went on waiting. */
export function isUrgent(job: Job, gauge: SpeedEstimator, now: number): boolean {
  const runMs = gauge.estimate(job) / Math.max(gauge.speed, Number.EPSILON);
  const slackMs = job.usefulUntil - now - runMs;
  return slackMs < URGENCY_FACTOR * runMs + URGENCY_MARGIN_MS;
}

/** Prompt tokens computed for a running job that a stop would throw away. */
export function getWaste(job: Job, speeds: ConfiguredSpeeds | undefined, now: number): number {
  const uncached = Math.max(0, job.promptTokens - job.cachedTokens);
  if (job.firstByteAt > 0 || speeds === undefined) return uncached;
  return Math.min(uncached, ((now - job.dispatchedAt) / 1000) * speeds.prefillTokensPerSecond);
}

/** Fewest running jobs of lower tiers whose stop makes room for `job`; empty when none would. */
export function chooseVictims(
  job: Job,
  room: EndpointCapacity,
  speeds: ConfiguredSpeeds | undefined,
  now: number,
): Job[] {
  const running = room.list();
  const candidates = running.filter((other) => isPreemptible(other, job.tierRank));
  candidates.sort((left, right) => compareVictims(left, right, speeds, now));
  const pending = running.filter((other) => other.stopReason !== undefined);
  let slotsMissing = running.length - pending.length + 1 - room.usableSlots;
  let tokensMissing = getTokens(job) - room.freeTokens - sumTokens(pending);
  const victims: Job[] = [];
  for (const candidate of candidates) {
    if (slotsMissing <= 0 && tokensMissing <= 0) break;
    victims.push(candidate);
    slotsMissing -= 1;
    tokensMissing -= getTokens(candidate);
  }
  return slotsMissing <= 0 && tokensMissing <= 0 ? victims : [];
}

/** Whether a running job of a lower tier may be stopped. */
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
  return getWaste(left, speeds, now) - getWaste(right, speeds, now);
}

function sumTokens(jobs: readonly Job[]): number {
  return jobs.reduce((sum, job) => sum + getTokens(job), 0);
}
