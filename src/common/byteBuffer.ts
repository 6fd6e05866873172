/**
 * A buffer for bytes that arrive in pieces of any size. Pieces are copied into a few blocks, because
 * a piece that is kept takes some hundred bytes of heap however short it is, and may keep in memory
 * everything that was read from the socket together with it.
 */

import type { MemoryPart } from './clientMemory.js';

const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;
const emptyBlock = Buffer.alloc(0);

/** Bytes in the order of their arrival. */
export interface ByteBuffer {
  /** Number of bytes in the buffer. */
  readonly length: number;
  /** Memory that the buffer takes, in bytes: at most twice its length, and two blocks more. */
  readonly capacity: number;
  /** Copies a piece to the end. */
  append(piece: Buffer): void;
  /** Returns the bytes from position `from` on. They may share memory with the buffer. */
  read(from: number): Buffer;
  /** Removes bytes from the beginning. */
  discard(count: number): void;
  /** Returns all bytes and empties the buffer. */
  take(): Buffer;
  clear(): void;
}

/** Creates an empty buffer; what it takes is added to `heldBytes`. */
export function createByteBuffer(heldBytes?: Pick<MemoryPart, 'add'>): ByteBuffer {
  let fullBlocks: Buffer[] = [];
  let block = emptyBlock;
  let blockUsed = 0;
  /** Bytes at the beginning of the first block that have been discarded. */
  let discarded = 0;
  let length = 0;
  let capacity = 0;

  return {
    get length() {
      return length;
    },
    get capacity() {
      return capacity;
    },
    append,
    read,
    discard,
    take,
    clear,
  };

  function append(piece: Buffer): void {
    let copied = 0;
    while (copied < piece.length) {
      if (blockUsed === block.length) addBlock(piece.length - copied);
      const count = piece.copy(block, blockUsed, copied);
      copied += count;
      blockUsed += count;
      length += count;
    }
  }

  /** Blocks grow with the buffer, so that a short one takes little and a long one has few. */
  function addBlock(neededBytes: number): void {
    if (blockUsed > 0) fullBlocks.push(block);
    const size = Math.min(Math.max(length, neededBytes, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
    block = Buffer.allocUnsafeSlow(size);
    blockUsed = 0;
    addCapacity(size);
  }

  function addCapacity(bytes: number): void {
    capacity += bytes;
    heldBytes?.add(bytes);
  }

  function read(from: number): Buffer {
    const last = block.subarray(0, blockUsed);
    const all = fullBlocks.length === 0 ? last : Buffer.concat([...fullBlocks, last]);
    return all.subarray(discarded + from);
  }

  function discard(count: number): void {
    if (count >= length) {
      clear();
      return;
    }
    length -= count;
    discarded += count;
    for (;;) {
      const [first] = fullBlocks;
      if (first === undefined || discarded < first.length) return;
      fullBlocks.shift();
      discarded -= first.length;
      addCapacity(-first.length);
    }
  }

  function take(): Buffer {
    const bytes = read(0);
    clear();
    return bytes;
  }

  function clear(): void {
    addCapacity(-capacity);
    fullBlocks = [];
    block = emptyBlock;
    blockUsed = 0;
    discarded = 0;
    length = 0;
  }
}
