/**
 * Forwards one answer to its entry: flow control by credit, and what was sent but not yet taken is
 * kept so that it can be sent again after a lost connection.
 */

import type { AgentFrameBody } from './types.js';

/** Bytes that may be sent before the entry has taken any. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;

/** An answer on its way to an entry. */
export interface AnswerStream {
  /** Bytes received from the endpoint so far. */
  readonly length: number;
  start(status: number, headers: { name: string; value: string }[]): void;
  /** False when no more may be read from the endpoint until `onRoom` is called. */
  push(data: Buffer, onRoom: () => void): boolean;
  /** The last frame. */
  finish(body: AgentFrameBody): void;
  credit(bytes: number): void;
  /** Sends again from `offset` on; false when that is no longer kept. */
  attach(offset: number): boolean;
  readonly isFinished: boolean;
  /** Lets a blocked reader go on after the entry is gone for good. */
  abandon(): void;
}

/** Creates a stream whose first byte is at `initialOffset` of the answer. */
export function createAnswerStream(
  send: (body: AgentFrameBody) => void,
  initialOffset: number,
): AnswerStream {
  const kept: Buffer[] = [];
  let keptFrom = initialOffset;
  let length = initialOffset;
  let limit = initialOffset + INITIAL_CREDIT_BYTES;
  let started: AgentFrameBody | undefined;
  let finished: AgentFrameBody | undefined;
  let isAbandoned = false;
  let waitingForRoom: (() => void) | undefined;

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
      tellRoom();
    },
  };

  function push(data: Buffer, onRoom: () => void): boolean {
    send({ $case: 'chunk', value: { offset: length, data } });
    length += data.length;
    kept.push(data);
    if (length < limit || isAbandoned) return true;
    waitingForRoom = onRoom;
    return false;
  }

  function tellRoom(): void {
    const tell = waitingForRoom;
    waitingForRoom = undefined;
    tell?.();
  }

  function credit(bytes: number): void {
    limit += bytes;
    dropUntil(keptFrom + bytes);
    if (length < limit) tellRoom();
  }

  function dropUntil(offset: number): void {
    while (keptFrom < offset) {
      const first = kept[0];
      if (first === undefined) return;
      if (keptFrom + first.length <= offset) {
        kept.shift();
        keptFrom += first.length;
        continue;
      }
      kept[0] = first.subarray(offset - keptFrom);
      keptFrom = offset;
    }
  }

  function attach(offset: number): boolean {
    if (offset < keptFrom || offset > length) return false;
    if (started !== undefined) send(started);
    let position = keptFrom;
    for (const piece of kept) {
      const skipped = Math.max(0, offset - position);
      if (skipped < piece.length) {
        const data = piece.subarray(skipped);
        send({ $case: 'chunk', value: { offset: position + skipped, data } });
      }
      position += piece.length;
    }
    if (finished !== undefined) send(finished);
    return true;
  }
}
