/** Responses that an entry keeps until they are complete. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createBufferingSink } from '../../../src/entry/responseSinks.js';
import type { RunStats } from '../../../src/entry/types.js';
import {
  createPieces,
  measureHeldBytes,
  measurementErrorBytes,
} from '../../fixtures/heldMemory.js';

const RESPONSE_BYTES = 256 * 1024;

function createStats(): RunStats {
  const times = { grantedUs: 0, dispatchedUs: 0, firstByteUs: 0, endedUs: 0 };
  const tokens = { promptTokens: 0, cachedTokens: 0, outputTokens: 0, wastedTokens: 0 };
  return { agentId: 'agent', ...tokens, ...times };
}

describe('a response that is kept until it is complete', () => {
  // One in chunks of one byte took a hundred times its bytes.
  it('takes memory in proportion to its bytes', () => {
    const sink = createBufferingSink(({ body }) => assert.equal(body.length, RESPONSE_BYTES));
    const heldBytes = measureHeldBytes(() => {
      for (const piece of createPieces(RESPONSE_BYTES, 1)) sink.write(piece, () => {});
    });
    assert.ok(heldBytes < 2 * RESPONSE_BYTES + measurementErrorBytes, `${heldBytes} bytes`);
    sink.end({ kind: 'complete', stats: createStats() });
  });
});
