/** Estimates of what requests cost and how long their callers have been waiting, from what callers state. */

import type { Route } from '../routing/types.js';
import type { RequestHead } from './types.js';

/** Prompt tokens that take as much of an engine as one token of an answer. */
const PROMPT_TOKENS_A_TOKEN = 35;
const MEAN_WEIGHT = 0.02;
/** Callers are patient to differing degrees; one that states less than this of the longest time has come before. */
const RETURNED_SHARE = 0.75;

/** Work of a request, in tokens of an answer; 0 for what is no model request. */
export function estimateWork({ tokens }: Pick<RequestHead, 'tokens'>): number {
  return tokens === undefined ? 0 : tokens.output + tokens.prompt / PROMPT_TOKENS_A_TOKEN;
}

/** Running figures of the requests of each pool and route. */
export interface WorkEstimator {
  /** Notes a request of a pool; its work against the mean of the pool. */
  recordWork(pool: string, work: number): number;
  /**
   * Time that a caller has probably waited before this try, in milliseconds: callers of a route
   * state similar times at first and what is left of it when they come again.
   */
  estimateWaitedMs(route: Pick<Route, 'name'>, statedMs: number | undefined): number;
}

/** Creates figures without any request. */
export function createWorkEstimator(): WorkEstimator {
  const meanWork = new Map<string, number>();
  const longestMs = new Map<string, number>();

  return { recordWork: noteWork, estimateWaitedMs: getWaitedMs };

  function noteWork(pool: string, work: number): number {
    const mean = meanWork.get(pool) ?? work;
    meanWork.set(pool, mean + MEAN_WEIGHT * (work - mean));
    return mean === 0 ? 0 : work / mean;
  }

  function getWaitedMs({ name }: Pick<Route, 'name'>, statedMs: number | undefined): number {
    if (statedMs === undefined) return 0;
    const longest = Math.max(longestMs.get(name) ?? 0, statedMs);
    longestMs.set(name, longest);
    return statedMs < RETURNED_SHARE * longest ? longest - statedMs : 0;
  }
}
