/**
 * Forwards one answer to its entry under credit-based flow control. Data that the entry has not yet
 * acknowledged with credit is retained, so that it can be resent after a lost connection.
 */

import { createByteBuffer } from '../common/byteBuffer.js';
import type { AgentFrameBody } from './types.js';

/** Bytes that may be sent before the entry has granted credit. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;

/** An answer that is being forwarded to an entry. */
export interface AnswerStream {
  /** Bytes received from the endpoint so far. */
  readonly length: number;
  start(status: number, headers: { name: string; value: string }[]): void;
  /** Returns false when reading from the endpoint must pause until `onWritable` is called. */
  push(data: Buffer, onWritable: () => void): boolean;
  /** Sends the last frame. */
  finish(body: AgentFrameBody): void;
  credit(bytes: number): void;
  /** Resends the answer from `offset`; returns false when that part is not retained. */
  attach(offset: number): boolean;
  readonly isFinished: boolean;
  /** Ends flow control and unblocks the reader, once the entry will not take the answer. */
  abandon(): void;
}

/** Creates a stream that begins at byte `initialOffset` of the answer. */
export function createAnswerStream(
  send: (body: AgentFrameBody) => void,
  initialOffset: number,
): AnswerStream {
  const retained = createByteBuffer();
  let retainedFrom = initialOffset;
  let length = initialOffset;
  let sendLimit = initialOffset + INITIAL_CREDIT_BYTES;
  let started: AgentFrameBody | undefined;
  let finished: AgentFrameBody | undefined;
  let isAbandoned = false;
  let pendingOnWritable: (() => void) | undefined;

  return {
    get length() {
      return length;
    },
    get isFinished() {
      return finished !== undefined;
    },
    start(status, headers) {
      started = { $case: 'started', value: { status, headers } };
      send(started);
    },
    push,
    finish(body) {
      finished = body;
      send(body);
    },
    credit,
    attach,
    abandon() {
      isAbandoned = true;
      unblockReader();
    },
  };

  function push(data: Buffer, onWritable: () => void): boolean {
    send({ $case: 'chunk', value: { offset: length, data } });
    length += data.length;
    retained.append(data);
    if (length < sendLimit || isAbandoned) return true;
    pendingOnWritable = onWritable;
    return false;
  }

  function unblockReader(): void {
    const onWritable = pendingOnWritable;
    pendingOnWritable = undefined;
    onWritable?.();
  }

  function credit(bytes: number): void {
    sendLimit += bytes;
    discardBefore(retainedFrom + bytes);
    if (length < sendLimit) unblockReader();
  }

  function discardBefore(offset: number): void {
    retained.discard(offset - retainedFrom);
    retainedFrom = length - retained.length;
  }

  function attach(offset: number): boolean {
    if (offset < retainedFrom || offset > length) return false;
    if (started !== undefined) send(started);
    if (offset < length) {
      send({ $case: 'chunk', value: { offset, data: retained.read(offset - retainedFrom) } });
    }
    if (finished !== undefined) send(finished);
    return true;
  }
}
