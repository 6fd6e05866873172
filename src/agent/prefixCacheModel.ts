/** Guess of which prompt heads the endpoint has cached: those it saw last, up to its room. */

import type { Job } from './types.js';

/** Recently served prompt heads. */
export interface PrefixCacheModel {
  /** Prompt tokens of the job that are probably cached. */
  guessCached(job: Job): number;
  note(job: Job): void;
}

interface Prefix {
  tokens: number;
}

/** Creates an empty record that holds `tokenRoom` tokens at most. */
export function createPrefixCacheModel(tokenRoom: number): PrefixCacheModel {
  // In order of last use.
  const prefixes = new Map<string, Prefix>();
  let total = 0;

  return { guessCached, note };

  function guessCached(job: Job): number {
    const known = prefixes.get(job.prefixHash);
    return known === undefined ? 0 : Math.min(known.tokens, job.promptTokens);
  }

  function note(job: Job): void {
    if (job.prefixHash === '') return;
    const known = prefixes.get(job.prefixHash);
    if (known !== undefined) {
      total -= known.tokens;
      prefixes.delete(job.prefixHash);
    }
    prefixes.set(job.prefixHash, { tokens: job.promptTokens });
    total += job.promptTokens;
    forgetOldest();
  }

  function forgetOldest(): void {
    for (const [hash, prefix] of prefixes) {
      if (total <= tokenRoom) return;
      prefixes.delete(hash);
      total -= prefix.tokens;
    }
  }
}
