/** Bytes that are kept from pieces of any size. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createByteBuffer } from '../../../src/common/byteBuffer.js';
import { createClientMemory } from '../../../src/common/clientMemory.js';

const PIECE_SIZES = [1, 3, 511, 512, 513, 5_000, 64 * 1024, 200_000];
const TOTAL_BYTES = 300_000;
/** The largest block. */
const BLOCK_BYTES = 64 * 1024;

function createBytes(): Buffer {
  return Buffer.from(Array.from({ length: TOTAL_BYTES }, (_unused, index) => (index * 7) % 251));
}

describe('a byte buffer', () => {
  it('returns its bytes in their order, and counts what it takes', () => {
    const bytes = createBytes();
    for (const size of PIECE_SIZES) {
      const { responses } = createClientMemory();
      const buffer = createByteBuffer(responses);
      for (let at = 0; at < bytes.length; at += size) buffer.append(bytes.subarray(at, at + size));
      assert.equal(buffer.length, bytes.length);
      assert.equal(responses.total, buffer.capacity);
      assert.ok(buffer.capacity <= 2 * bytes.length + BLOCK_BYTES);
      assert.ok(bytes.equals(buffer.take()), `pieces of ${size}`);
      assert.deepEqual([buffer.length, buffer.capacity, responses.total], [0, 0, 0]);
    }
  });

  it('keeps nothing of the pieces themselves', () => {
    const buffer = createByteBuffer();
    const piece = Buffer.from('abc');
    buffer.append(piece);
    piece.fill('x');
    assert.equal(buffer.take().toString(), 'abc');
  });

  it('returns the rest of its bytes while its beginning is discarded', () => {
    const bytes = createBytes();
    for (const size of PIECE_SIZES) {
      const { responses } = createClientMemory();
      const buffer = createByteBuffer(responses);
      let discarded = 0;
      for (let at = 0; at < bytes.length; at += size) {
        buffer.append(bytes.subarray(at, at + size));
        const count = Math.floor((buffer.length * 2) / 3);
        buffer.discard(count);
        discarded += count;
        if (at % 1_000 > 0 && size < 512) continue;
        const end = Math.min(at + size, bytes.length);
        assert.ok(bytes.subarray(discarded, end).equals(buffer.read(0)), `pieces of ${size}`);
        assert.ok(buffer.capacity <= 2 * buffer.length + 2 * BLOCK_BYTES);
        assert.equal(responses.total, buffer.capacity);
      }
      buffer.discard(buffer.length);
      assert.equal(responses.total, 0);
    }
  });
});
