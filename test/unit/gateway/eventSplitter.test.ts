/** Splitting of streams at event boundaries, for chunks of any size. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { createEventObserver, createEventSplitter } from '../../../src/gateway/eventSplitter.js';
import {
  createPieces,
  measureHeldBytes,
  measurementErrorBytes,
} from '../../fixtures/heldMemory.js';

const stream = 'id: 1\ndata: one\n\nid: 2\ndata: an id: 9 in data\n\nid: 13\ndata: x\n\n';

/** Time for 32 MiB of one event in 1 KiB chunks; joining it anew at each chunk takes minutes. */
const MAX_SPLIT_MS = 1_000;
/** Bytes of an event without end: half of what a stream may hold. */
const PARTIAL_EVENT_BYTES = 512 * 1024;
/** The same where each piece comes with a read of its own. */
const SINGLE_PIECES = 4_096;

describe('an event splitter', () => {
  it('returns only complete events, for chunks of any size', () => {
    for (let size = 1; size <= stream.length; size += 1) {
      const splitter = createEventSplitter(createClientMemory().responses);
      let passed = '';
      for (let at = 0; at < stream.length; at += size) {
        passed += splitter.push(Buffer.from(stream.slice(at, at + size)))?.toString() ?? '';
        assert.ok(passed === '' || passed.endsWith('\n\n'), `chunks of ${size}`);
      }
      assert.equal(passed, stream);
      assert.equal(splitter.lastEventId, '13');
      assert.equal(splitter.hasPartialEvent, false);
    }
  });

  it('resumes after the last complete event', () => {
    const splitter = createEventSplitter(createClientMemory().responses);
    splitter.push(Buffer.from('id: 1\ndata: one\n\nid: 2\nda'));
    assert.equal(splitter.lastEventId, '1');
    assert.equal(splitter.hasPartialEvent, true);
    splitter.dropPartialEvent();
    const next = 'id: 2\ndata: two\n\n';
    assert.equal(splitter.push(Buffer.from(next))?.toString(), next);
    assert.equal(splitter.lastEventId, '2');
  });

  it('splits between the two newlines that end an event', () => {
    const splitter = createEventSplitter(createClientMemory().responses);
    assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n')), undefined);
    assert.equal(String(splitter.push(Buffer.from('\nid: 2\n'))), 'id: 1\ndata: a\n\n');
    assert.equal(splitter.lastEventId, '1');
    assert.equal(String(splitter.push(Buffer.from('data: b\n\n'))), 'id: 2\ndata: b\n\n');
    assert.equal(splitter.lastEventId, '2');
  });

  it('reports an event without end, and takes time in proportion to its bytes', () => {
    const splitter = createEventSplitter(createClientMemory().responses);
    const chunk = Buffer.alloc(1024, 'x');
    const startedAt = performance.now();
    for (let count = 0; count < 32 * 1024; count += 1) splitter.push(chunk);
    assert.ok(splitter.isTooLong);
    assert.ok(performance.now() - startedAt < MAX_SPLIT_MS);
    splitter.dropPartialEvent();
    assert.equal(splitter.isTooLong, false);
    assert.equal(String(splitter.push(Buffer.from('data: c\n\n'))), 'data: c\n\n');
  });

  // Streams in chunks of one byte took a hundred times their bytes, and the heap of a gateway.
  for (const pieceBytes of [1, 2, 7, 60, 700, 4_000, 9_000]) {
    it(`holds and counts what an event takes in pieces of ${pieceBytes} bytes`, () => {
      checkHeldBytes(PARTIAL_EVENT_BYTES, createPieces(PARTIAL_EVENT_BYTES, pieceBytes));
      const singleBytes = SINGLE_PIECES * Math.min(pieceBytes, 60);
      checkHeldBytes(singleBytes, createPieces(singleBytes, Math.min(pieceBytes, 60), 1));
    });
  }
});

/** Checks what a splitter holds, and counts, for a partial event of `bytes` in all. */
function checkHeldBytes(bytes: number, pieces: Iterable<Buffer>): void {
  const { responses } = createClientMemory();
  const splitter = createEventSplitter(responses);
  const heldBytes = measureHeldBytes(() => {
    for (const piece of pieces) splitter.push(piece);
  });
  assert.ok(splitter.hasPartialEvent);
  const limitBytes = 2 * bytes + measurementErrorBytes;
  assert.ok(heldBytes < limitBytes, `${heldBytes} bytes for ${bytes}`);
  assert.ok(responses.total >= bytes);
  assert.ok(responses.total > heldBytes - measurementErrorBytes, `${responses.total} counted`);
  splitter.dropPartialEvent();
  assert.equal(responses.total, 0);
}

describe('an event observer', () => {
  it('passes on all chunks, and tells whether the stream ends within an event', () => {
    const observer = createEventObserver();
    assert.equal(observer.hasPartialEvent, false);
    const partial: boolean[] = [];
    for (const text of ['id: 1\n', '\n', 'id: 2\ndata: b\n\n', 'd']) {
      assert.equal(observer.push(Buffer.from(text))?.toString(), text);
      partial.push(observer.hasPartialEvent);
    }
    assert.deepEqual(partial, [true, false, false, true]);
  });
});
