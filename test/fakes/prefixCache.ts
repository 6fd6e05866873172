/** LRU cache of the prompt prefixes that a fake engine has computed, in blocks of tokens. */

import { createHash } from 'node:crypto';

const BLOCK_CHARACTERS = 64;
export const BLOCK_TOKENS = 16;

/** A prefix cache of limited size. */
export interface PrefixCache {
  /** Returns the number of leading tokens of the prompt that are cached. */
  match(prompt: string): number;
  insert(prompt: string): void;
}

/** Creates an empty cache that holds at most `limitTokens` tokens. */
export function createPrefixCache(limitTokens: number): PrefixCache {
  // Least recently used first.
  const blocks = new Set<string>();

  return { match, insert };

  function match(prompt: string): number {
    let cachedTokens = 0;
    for (const hash of hashBlocks(prompt)) {
      if (!blocks.has(hash)) break;
      touch(hash);
      cachedTokens += BLOCK_TOKENS;
    }
    return cachedTokens;
  }

  function insert(prompt: string): void {
    for (const hash of hashBlocks(prompt)) touch(hash);
    for (const oldest of blocks) {
      if (blocks.size * BLOCK_TOKENS <= limitTokens) return;
      blocks.delete(oldest);
    }
  }

  function touch(hash: string): void {
    blocks.delete(hash);
    blocks.add(hash);
  }
}

/** Yields a hash for each whole block, which covers the prompt up to the end of that block. */
function* hashBlocks(prompt: string): Generator<string> {
  let prefixHash = '';
  for (let start = 0; start + BLOCK_CHARACTERS <= prompt.length; start += BLOCK_CHARACTERS) {
    const block = prompt.slice(start, start + BLOCK_CHARACTERS);
    prefixHash = createHash('sha1').update(prefixHash).update(block).digest('base64url');
    yield prefixHash;
  }
}
