/** Cuts a stream of events at whole events, so that it can go on at another endpoint after any of them. */

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = Buffer.from('id:');
const NEWLINE = 0x0a;

/** State of one stream. */
export interface EventSplitter {
  /** Id of the last whole event. */
  readonly lastEventId: string | undefined;
  /** Whether a part of an event is held back. */
  readonly hasPartialEvent: boolean;
  /** The whole events that `chunk` completes. */
  push(chunk: Buffer): Buffer | undefined;
  /** Forgets the part of an event that was held back. */
  dropPartialEvent(): void;
}

/** Creates a splitter at the beginning of a stream. */
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
    const whole = bytes.subarray(0, end);
    lastEventId = findLastId(whole) ?? lastEventId;
    return whole;
  }
}

function findLastId(events: Buffer): string | undefined {
  let at = events.lastIndexOf(ID_FIELD);
  while (at >= 0) {
    // Only a field at the beginning of a line; data may hold the same letters.
    if (at === 0 || events[at - 1] === NEWLINE) {
      const end = events.indexOf(NEWLINE, at);
      return events.toString('latin1', at + ID_FIELD.length, end).trim();
    }
    at = at === 0 ? -1 : events.lastIndexOf(ID_FIELD, at - 1);
  }
  return undefined;
}
