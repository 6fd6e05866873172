/**
 * Streams that have begun at one incarnation of an endpoint, as far as this gateway knows. A process
 * that has started again may serve requests before it announces itself, so that a stream turns out to
 * be of another software version after its origin has been passed on.
 */

import type { StreamOrigin } from '../generated/control.js';

/** Longest time for which an endpoint that has started again may be silent. */
const RETENTION_MS = 10_000;

/** A stream, of which events have been forwarded. */
export interface BegunStream {
  origin: StreamOrigin;
  begunAt: number;
  /** When the newest bytes of its response arrived. */
  lastByteAt: number;
}

/** Recent streams of one incarnation. */
export interface BegunStreams {
  add(origin: StreamOrigin): BegunStream;
  /**
   * Returns corrected origins of the streams of which a part has arrived since `since`, all of which
   * were sent by an endpoint of `softwareVersion`.
   */
  correct(softwareVersion: string, since: number): StreamOrigin[];
}

/** Creates an empty collection; `now` returns monotonic time in milliseconds. */
export function createBegunStreams(now: () => number): BegunStreams {
  const streams = new Set<BegunStream>();

  return { add, correct };

  function add(origin: StreamOrigin): BegunStream {
    dropOld();
    const stream = { origin, begunAt: now(), lastByteAt: now() };
    streams.add(stream);
    return stream;
  }

  function dropOld(): void {
    for (const stream of streams) {
      if (now() - stream.lastByteAt <= RETENTION_MS) return;
      streams.delete(stream);
    }
  }

  function correct(softwareVersion: string, since: number): StreamOrigin[] {
    const corrected: StreamOrigin[] = [];
    for (const stream of streams) {
      const { origin, begunAt, lastByteAt } = stream;
      if (lastByteAt < since || origin.softwareVersion === softwareVersion) continue;
      const ageMs = Math.round(now() - begunAt);
      const corrections = origin.corrections + 1;
      stream.origin = { ...origin, softwareVersion, ageMs, corrections };
      corrected.push(stream.origin);
    }
    return corrected;
  }
}
