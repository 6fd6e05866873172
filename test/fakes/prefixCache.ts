/** Prompt prefixes that a stand-in engine has computed, in blocks, least recently used out first. */

import { createHash } from 'node:crypto';

const BLOCK_CHARACTERS = 64;
/** Tokens of one block. */
export const BLOCK_TOKENS = 16;

/** A limited cache of prompt blocks. */
export interface PrefixCache {
  /** Leading tokens of the prompt that are cached. */
  match(prompt: string): number;
  insert(prompt: string): void;
}

/** Creates an empty cache for `limitTokens`. */
export function createPrefixCache(limitTokens: number): PrefixCache {
  const blocks = new Set<string>();

  return { match, insert };

  function match(prompt: string): number {
    let cached = 0;
    for (const hash of hashBlocks(prompt)) {
      if (!blocks.has(hash)) break;
      touch(hash);
      cached += BLOCK_TOKENS;
    }
    return cached;
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

function* hashBlocks(prompt: string): Generator<string> {
  let chain = '';
  for (let at = 0; at + BLOCK_CHARACTERS <= prompt.length; at += BLOCK_CHARACTERS) {
    const block = prompt.slice(at, at + BLOCK_CHARACTERS);
    chain = createHash('sha1').update(chain).update(block).digest('base64url');
    yield chain;
  }
}
