/**
 * Collects the body of a request from its first byte on, and copies small chunks together. Chunks
 * that wait in the stream of a request are objects of their own: a body in chunks of one byte takes
 * hundreds of times its size there.
 */

import type { IncomingMessage } from 'node:http';
import { RaisedFailure } from './failure.js';
import { takeReadTurn } from './readTurns.js';

/** Chunks from this size on are kept as they are. */
const COPIED_BYTES = 4 * 1024;
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Bytes that are taken before anybody reads the body. */
const EARLY_BYTES = 64 * 1024;
/** Small chunks after which other connections are read first: one read brings up to 10,922. */
const CHUNKS_PER_TURN = 2_048;
/** Chunks of a body that nobody reads after which its connection is closed. */
const MAX_DISCARDED_CHUNKS = 65_536;

/** The connection that a body arrives on. */
export interface BodySource {
  /** Stops or continues reading from the connection. */
  hold(isHeld: boolean): void;
  close(): void;
}

/** Reads a body that may have begun to arrive. */
export interface BodyCollector {
  /** Bytes that have arrived. */
  readonly size: number;
  /**
   * Resolves with the body. Raises `usage` if it is larger than `maxBytes` or incomplete. Reading
   * stops while `tryReserve`, called with the bytes read so far, has returned false.
   */
  read(maxBytes: number, tryReserve: (size: number) => boolean): Promise<Buffer>;
  /** Continues after `tryReserve` has returned false. */
  resume(): void;
  /** Drops what has arrived and what follows; closes the connection of a body that is too large. */
  discard(): void;
}

/** Receives what has arrived. */
interface Reader {
  maxBytes: number;
  tryReserve(size: number): boolean;
  resolve(body: Buffer): void;
  reject(message: string): void;
}

const collectors = new WeakMap<IncomingMessage, BodyCollector>();

/** Returns the collector of a request, created at the latest now. */
export function getBodyCollector(request: IncomingMessage): BodyCollector {
  const hold = (isHeld: boolean): void => void (isHeld ? request.pause() : request.resume());
  return (
    collectors.get(request) ?? collectBody(request, { hold, close: () => void request.destroy() })
  );
}

/** Begins to collect the body of a request. */
export function collectBody(request: IncomingMessage, source: BodySource): BodyCollector {
  let parts: Buffer[] = [];
  let block = Buffer.alloc(0);
  let blockUsed = 0;
  let size = 0;
  let state: 'arriving' | 'complete' | 'broken' | 'discarded' = 'arriving';
  let reader: Reader | undefined;
  let isTooLarge = false;
  let isHeld = false;
  /** Whether the reader has to find room for what has arrived. */
  let needsRoom = false;
  /** Whether the body waits for its turn. */
  let isPaced = false;
  let chunkCount = 0;
  let discardedChunks = 0;
  const collector: BodyCollector = {
    get size() {
      return size;
    },
    read,
    resume,
    discard,
  };
  collectors.set(request, collector);
  request.on('data', receive);
  request.on('end', () => settle('complete'));
  request.on('error', () => settle('broken'));
  request.on('close', () => settle('broken'));
  return collector;

  function receive(chunk: Buffer): void {
    if (chunk.length < COPIED_BYTES) pace();
    if (state === 'discarded') {
      discardedChunks += 1;
      if (discardedChunks === MAX_DISCARDED_CHUNKS) source.close();
      return;
    }
    size += chunk.length;
    if (reader !== undefined && size > reader.maxBytes) {
      refuseTooLarge(reader);
      return;
    }
    if (chunk.length < COPIED_BYTES) copy(chunk);
    else {
      sealBlock();
      parts.push(chunk);
    }
    if (reader !== undefined) reserve(reader);
    else if (size > EARLY_BYTES) setHeld(true);
  }

  function copy(chunk: Buffer): void {
    if (blockUsed + chunk.length > block.length) {
      sealBlock();
      const next = Math.min(Math.max(size, chunk.length, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
      block = Buffer.allocUnsafeSlow(next);
    }
    chunk.copy(block, blockUsed);
    blockUsed += chunk.length;
  }

  /** Adds what has been copied to the parts; the rest of the block is used for what follows. */
  function sealBlock(): void {
    if (blockUsed > 0) parts.push(block.subarray(0, blockUsed));
    block = block.subarray(blockUsed);
    blockUsed = 0;
  }

  function settle(reached: 'complete' | 'broken'): void {
    if (state !== 'arriving') return;
    state = reached;
    if (reader !== undefined && (state === 'broken' || !needsRoom)) finish(reader);
  }

  /** More may arrive with the read that has brought this much. */
  function reserve({ tryReserve }: Reader): void {
    if (needsRoom) return;
    needsRoom = !tryReserve(size);
    if (needsRoom) setHeld(true);
  }

  function resume(): void {
    needsRoom = false;
    if (reader === undefined) return;
    if (state === 'arriving' || state === 'complete') reserve(reader);
    if (needsRoom) return;
    if (state === 'complete') finish(reader);
    else setHeld(false);
  }

  async function read(maxBytes: number, tryReserve: Reader['tryReserve']): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      reader = {
        maxBytes,
        tryReserve,
        resolve,
        reject: (message) => reject(new RaisedFailure({ kind: 'usage', message })),
      };
      if (size > maxBytes) refuseTooLarge(reader);
      else if (state === 'broken' || state === 'discarded') finish(reader);
      else resume();
    });
  }

  function finish({ resolve, reject }: Reader): void {
    if (state !== 'complete') {
      drop();
      reject('the body was cut off');
      return;
    }
    sealBlock();
    const [first] = parts;
    const body = parts.length === 1 && first !== undefined ? first : Buffer.concat(parts);
    drop();
    resolve(body);
  }

  function refuseTooLarge({ maxBytes, reject }: Reader): void {
    isTooLarge = true;
    state = 'discarded';
    drop();
    setHeld(true);
    reject(`the body is larger than ${maxBytes} bytes`);
  }

  function discard(): void {
    drop();
    if (state === 'arriving') state = 'discarded';
    // Whoever reads it would wait for ever.
    reader?.reject('the body was cut off');
    if (isTooLarge && !request.complete) request.destroy();
    else setHeld(false);
  }

  function drop(): void {
    parts = [];
    block = Buffer.alloc(0);
    blockUsed = 0;
  }

  function pace(): void {
    chunkCount += 1;
    if (chunkCount < CHUNKS_PER_TURN || isPaced) return;
    isPaced = true;
    source.hold(true);
    takeReadTurn(() => {
      chunkCount = 0;
      isPaced = false;
      if (!isHeld) source.hold(false);
    });
  }

  function setHeld(held: boolean): void {
    if (held === isHeld) return;
    isHeld = held;
    if (!isPaced) source.hold(held);
  }
}

/** Returns whether the headers announce a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}
