/**
 * Holds a request back while another one computes the same prompt head, so that the head is
 * computed once and then read from the endpoint's cache.
 */

import type { Clock } from '../common/clock.js';
import { isUrgent } from './preemption.js';
import type { EndpointCapacity } from './endpointCapacity.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { Job } from './types.js';

/** Shorter heads are computed faster than it pays to wait for; tokens. */
const MIN_HELD_TOKENS = 128;

/** Whether `job` should wait for a head that is being computed. */
export function awaitsPrefix(
  job: Job,
  room: EndpointCapacity,
  gauge: SpeedEstimator,
  clock: Clock,
): boolean {
  if (job.promptTokens < MIN_HELD_TOKENS || job.prefixHash === '') return false;
  if (!isComputing(job.prefixHash, room)) return false;
  return !isUrgent(job, gauge, clock.now());
}

function isComputing(prefixHash: string, room: EndpointCapacity): boolean {
  for (const running of room.values()) {
    const isCold = running.firstByteAt === 0 && running.cachedTokens === 0;
    if (isCold && running.prefixHash === prefixHash) return true;
  }
  return false;
}
