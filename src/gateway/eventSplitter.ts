/**
 * Splits a server-sent event stream at event boundaries, so that the stream can resume at another
 * endpoint after any event.
 */

import { createByteBuffer } from '../common/byteBuffer.js';
import type { MemoryPart } from '../common/clientMemory.js';
import type { Route } from '../routing/types.js';

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = Buffer.from('id:');
const NEWLINE = 0x0a;
/** Size from which an event counts as endless; an endpoint in trouble may send bytes without end. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** The same while the gateway holds too much. */
const MAX_EVENT_BYTES_WHEN_SHORT = 64 * 1024;

/** Passes on one stream. */
export interface EventSplitter {
  /** Id of the last complete event. */
  readonly lastEventId: string | undefined;
  /** Whether an event has been complete. */
  readonly hasCompleteEvent: boolean;
  /** Whether the beginning of an event has arrived without its end. */
  readonly hasPartialEvent: boolean;
  /** Whether the buffered event exceeds the limit; the stream is then of no use. */
  readonly isTooLong: boolean;
  /** Returns the events that `chunk` completes, if any, and buffers the remainder. */
  push(chunk: Buffer): Buffer | undefined;
  /** Discards the buffered beginning of an event. */
  dropPartialEvent(): void;
}

/** Creates what a route's responses are passed on by; undefined if they are no streams. */
export function createSplitter(
  { kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>,
  heldBytes: MemoryPart,
): EventSplitter | undefined {
  if (kind !== 'stream') return undefined;
  return isResumable ? createEventSplitter(heldBytes) : createEventObserver();
}

/** Creates a splitter for a new stream. */
export function createEventSplitter(heldBytes: MemoryPart): EventSplitter {
  const partialEvent = createByteBuffer(heldBytes);
  let isAfterNewline = false;
  let lastEventId: string | undefined;
  let hasCompleteEvent = false;

  return {
    get lastEventId() {
      return lastEventId;
    },
    get hasCompleteEvent() {
      return hasCompleteEvent;
    },
    get hasPartialEvent() {
      return partialEvent.length > 0;
    },
    get isTooLong() {
      const limit = heldBytes.isExceeded ? MAX_EVENT_BYTES_WHEN_SHORT : MAX_EVENT_BYTES;
      return partialEvent.length > limit;
    },
    push,
    dropPartialEvent: () => partialEvent.clear(),
  };

  function push(chunk: Buffer): Buffer | undefined {
    const end = findEventEnd(chunk);
    if (end === undefined) {
      buffer(chunk);
      return undefined;
    }
    const complete = completeEvent(chunk.subarray(0, end));
    hasCompleteEvent = true;
    buffer(chunk.subarray(end));
    lastEventId = findLastId(complete) ?? lastEventId;
    return complete;
  }

  /** Returns the position after the last event that ends in `chunk`, if any does. */
  function findEventEnd(chunk: Buffer): number | undefined {
    const at = chunk.lastIndexOf(EVENT_END);
    if (at >= 0) return at + EVENT_END.length;
    const isSplit = chunk[0] === NEWLINE && partialEvent.length > 0 && isAfterNewline;
    return isSplit ? 1 : undefined;
  }

  function completeEvent(rest: Buffer): Buffer {
    if (partialEvent.length === 0) return Buffer.from(rest);
    partialEvent.append(rest);
    return partialEvent.take();
  }

  function buffer(piece: Buffer): void {
    if (piece.length === 0) return;
    partialEvent.append(piece);
    isAfterNewline = piece.at(-1) === NEWLINE;
  }
}

/**
 * Creates a splitter that passes on all chunks unchanged, for a stream that cannot be resumed: it
 * only tells whether the stream ends within an event, which costs less.
 */
export function createEventObserver(): EventSplitter {
  /** The last two bytes, where events end. */
  let previous = 0;
  let last = 0;
  let hasCompleteEvent = false;

  return {
    lastEventId: undefined,
    get hasCompleteEvent() {
      return hasCompleteEvent;
    },
    get hasPartialEvent() {
      return isWithinEvent();
    },
    isTooLong: false,
    push(chunk) {
      previous = chunk.at(-2) ?? last;
      last = chunk.at(-1) ?? last;
      if (!isWithinEvent()) hasCompleteEvent = true;
      return chunk;
    },
    dropPartialEvent() {
      previous = 0;
      last = 0;
    },
  };

  function isWithinEvent(): boolean {
    return last !== 0 && (last !== NEWLINE || previous !== NEWLINE);
  }
}

function findLastId(events: Buffer): string | undefined {
  let at = events.lastIndexOf(ID_FIELD);
  while (at >= 0) {
    // A field starts at the beginning of a line; `id:` may also occur within data.
    if (at === 0 || events[at - 1] === NEWLINE) {
      const end = events.indexOf(NEWLINE, at);
      return events.toString('latin1', at + ID_FIELD.length, end).trim();
    }
    at = at === 0 ? -1 : events.lastIndexOf(ID_FIELD, at - 1);
  }
  return undefined;
}
