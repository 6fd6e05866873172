/**
 * Estimates which prompt prefixes the endpoint has cached: those most recently dispatched to it, up
 * to its token capacity.
 */

import type { Job } from './types.js';

/** Model of the endpoint's prefix cache. */
export interface PrefixCacheModel {
  /** Prompt tokens of the job that are probably cached. */
  estimateCachedTokens(job: Job): number;
  recordPrompt(job: Job): void;
}

interface CachedPrefix {
  tokens: number;
}

/** Creates an empty model that holds at most `tokenLimit` tokens. */
export function createPrefixCacheModel(tokenLimit: number): PrefixCacheModel {
  // Least recently used first.
  const prefixes = new Map<string, CachedPrefix>();
  let totalTokens = 0;

  return { estimateCachedTokens, recordPrompt };

  function estimateCachedTokens(job: Job): number {
    const cached = prefixes.get(job.prefixHash);
    return cached === undefined ? 0 : Math.min(cached.tokens, job.promptTokens);
  }

  function recordPrompt(job: Job): void {
    if (job.prefixHash === '') return;
    const cached = prefixes.get(job.prefixHash);
    if (cached !== undefined) {
      totalTokens -= cached.tokens;
      prefixes.delete(job.prefixHash);
    }
    prefixes.set(job.prefixHash, { tokens: job.promptTokens });
    totalTokens += job.promptTokens;
    evictOldest();
  }

  function evictOldest(): void {
    for (const [hash, prefix] of prefixes) {
      if (totalTokens <= tokenLimit) return;
      prefixes.delete(hash);
      totalTokens -= prefix.tokens;
    }
  }
}
