/**
 * Splits a server-sent event stream at event boundaries, so that the stream can resume at another
 * endpoint after any event.
 */

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = Buffer.from('id:');
const NEWLINE = 0x0a;

/** Splitter of one stream. */
export interface EventSplitter {
  /** Id of the last complete event. */
  readonly lastEventId: string | undefined;
  /** Whether the beginning of an event is buffered. */
  readonly hasPartialEvent: boolean;
  /** Returns the events that `chunk` completes, if any, and buffers the remainder. */
  push(chunk: Buffer): Buffer | undefined;
  /** Discards the buffered beginning of an event. */
  dropPartialEvent(): void;
}

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let partial: Buffer | undefined;
  let lastEventId: string | undefined;

  return {
    get lastEventId() {
      return lastEventId;
    },
    get hasPartialEvent() {
      return partial !== undefined;
    },
    push,
    dropPartialEvent() {
      partial = undefined;
    },
  };

  function push(chunk: Buffer): Buffer | undefined {
    const bytes = partial === undefined ? chunk : Buffer.concat([partial, chunk]);
    const at = bytes.lastIndexOf(EVENT_END);
    if (at < 0) {
      partial = bytes;
      return undefined;
    }
    const end = at + EVENT_END.length;
    partial = end < bytes.length ? bytes.subarray(end) : undefined;
    const complete = bytes.subarray(0, end);
    lastEventId = findLastId(complete) ?? lastEventId;
    return complete;
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
