/** Estimates the work of requests and how long their callers have waited, from the request headers. */

import type { Route } from '../routing/types.js';
import type { RequestHead } from './types.js';

/** Number of prompt tokens that cost an engine as much as one output token. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 35;
/** Weight of the newest request in the moving average of a pool's work. */
const SMOOTHING_FACTOR = 0.02;
/**
 * A request is taken for a retry if its stated wait time is below this share of the longest on its
 * route. Wait times above it are ordinary variation among callers.
 */
const RETRY_WAIT_SHARE = 0.75;

/** Returns the work of a request in output tokens; 0 if it is not a model request. */
export function estimateWork({ tokens }: Pick<RequestHead, 'tokens'>): number {
  return tokens === undefined ? 0 : tokens.output + tokens.prompt / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
}

/** Running statistics on the requests of each pool and route. */
export interface WorkEstimator {
  /** Records a request of a pool and returns its work relative to the mean of the pool. */
  recordWork(pool: string, work: number): number;
  /**
   * Estimates the time that a caller has waited in earlier tries, in milliseconds. Callers of a
   * route state similar wait times on their first try and the remainder when they retry.
   */
  estimateWaitedMs(route: Pick<Route, 'name'>, statedMs: number | undefined): number;
}

/** Creates an estimator without any samples. */
export function createWorkEstimator(): WorkEstimator {
  const meanWork = new Map<string, number>();
  const longestMs = new Map<string, number>();

  return { recordWork, estimateWaitedMs };

  function recordWork(pool: string, work: number): number {
    const mean = meanWork.get(pool) ?? work;
    meanWork.set(pool, mean + SMOOTHING_FACTOR * (work - mean));
    return mean === 0 ? 0 : work / mean;
  }

  function estimateWaitedMs({ name }: Pick<Route, 'name'>, statedMs: number | undefined): number {
    if (statedMs === undefined) return 0;
    const longest = Math.max(longestMs.get(name) ?? 0, statedMs);
    longestMs.set(name, longest);
    return statedMs < RETRY_WAIT_SHARE * longest ? longest - statedMs : 0;
  }
}
