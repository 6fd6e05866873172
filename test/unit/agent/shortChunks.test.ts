/** Answers of engines in short chunks, of which an agent keeps no object each. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAnswerStream } from '../../../src/agent/answerStream.js';
import { createTailBuffer, readUsage } from '../../../src/agent/endpointClient.js';
import { joinChunks } from '../../../src/agent/joinedChunks.js';
import type { AgentFrameBody } from '../../../src/agent/types.js';
import type { AgentFrame } from '../../../src/generated/dispatch.js';
import {
  createPieces,
  measureHeldBytes,
  measurementErrorBytes,
} from '../../fixtures/heldMemory.js';

/** What an agent retains while its entry takes nothing. */
const RETAINED_BYTES = 256 * 1024;
const SINGLE_PIECES = 4_096;

function createChunk(requestId: string, offset: number, text: string): AgentFrame {
  return { requestId, body: { $case: 'chunk', value: { offset, data: Buffer.from(text) } } };
}

function describeFrame({ requestId, body }: AgentFrame): string {
  if (body?.$case !== 'chunk') return `${requestId} ${body?.$case}`;
  return `${requestId} ${body.value.offset} ${body.value.data.toString()}`;
}

describe('an answer in short chunks', () => {
  // 256 KiB in chunks of one byte took tens of megabytes, and each chunk kept the read it came with.
  it('is retained in memory in proportion to its bytes', () => {
    for (const [bytes, piecesPerRead] of [[RETAINED_BYTES], [SINGLE_PIECES, 1]] as const) {
      const stream = createAnswerStream(() => {}, 0);
      const heldBytes = measureHeldBytes(() => {
        for (const piece of createPieces(bytes, 1, piecesPerRead)) stream.push(piece, () => {});
      });
      assert.equal(stream.length, bytes);
      assert.ok(heldBytes < 2 * bytes + measurementErrorBytes, `${heldBytes} bytes for ${bytes}`);
    }
  });

  it('is sent again from any position that is retained', () => {
    const sent: AgentFrameBody[] = [];
    const stream = createAnswerStream((body) => void sent.push(body), 0);
    for (const character of 'abcdefgh') stream.push(Buffer.from(character), () => {});
    stream.credit(2);
    assert.equal(stream.attach(1), false);
    sent.length = 0;
    assert.ok(stream.attach(3));
    stream.push(Buffer.from('i'), () => {});
    const frames = sent.map((body) => describeFrame({ requestId: 'a', body }));
    assert.deepEqual(frames, ['a 3 defgh', 'a 8 i']);
  });

  // Each of the last 4,096 chunks kept all that was read together with it: 64 MB an answer.
  it('keeps only its last bytes for the token counts', () => {
    const tail = createTailBuffer();
    const heldBytes = measureHeldBytes(() => {
      for (const piece of createPieces(SINGLE_PIECES, 1, 1)) tail.push(piece);
    });
    assert.ok(heldBytes < measurementErrorBytes, `${heldBytes} bytes`);
    for (const character of '"completion_tokens": 7') tail.push(Buffer.from(character));
    assert.equal(readUsage(tail.read()).outputTokens, 7);
    assert.equal(tail.read().length, SINGLE_PIECES);
  });

  // Frames of one byte took some fifty bytes each, in one message of up to several megabytes.
  it('is sent as one frame a message', () => {
    const frames = joinChunks([
      { requestId: 'a', body: { $case: 'started', value: { status: 200, headers: [] } } },
      createChunk('a', 0, 'a'),
      createChunk('b', 5, 'v'),
      createChunk('a', 1, 'bc'),
      createChunk('b', 6, 'w'),
      createChunk('a', 7, 'h'),
      createChunk('a', 8, 'i'),
      { requestId: 'b', body: { $case: 'started', value: { status: 200, headers: [] } } },
      createChunk('b', 7, 'x'),
    ]);
    assert.deepEqual(frames.map(describeFrame), [
      'a started',
      'a 0 abc',
      'b 5 vw',
      'a 7 hi',
      'b started',
      'b 7 x',
    ]);
  });
});
