/**
 * Holds a request back while another one computes the same prompt prefix, so that the prefix is
 * computed once and then read from the endpoint's cache.
 */

import type { Clock } from '../common/clock.js';
import { isUrgent } from './preemption.js';
import type { EndpointCapacity } from './endpointCapacity.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { Job } from './types.js';

/** For shorter prompts, waiting costs more time than it saves. */
const MIN_PREFIX_WAIT_TOKENS = 128;

/** Whether `job` should wait until another request has computed its prefix. */
export function shouldWaitForPrefix(
  job: Job,
  capacity: EndpointCapacity,
  speedEstimator: SpeedEstimator,
  clock: Clock,
): boolean {
  if (job.promptTokens < MIN_PREFIX_WAIT_TOKENS || job.prefixHash === '') return false;
  if (!isBeingComputed(job.prefixHash, capacity)) return false;
  return !isUrgent(job, speedEstimator, clock.now());
}

function isBeingComputed(prefixHash: string, capacity: EndpointCapacity): boolean {
  for (const running of capacity.values()) {
    const isCacheMiss = running.firstByteAt === 0 && running.cachedTokens === 0;
    if (isCacheMiss && running.prefixHash === prefixHash) return true;
  }
  return false;
}
