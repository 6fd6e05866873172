/** One send of a request to an endpoint: what has come back, and what it costs the endpoint. */

import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import type { Exchange } from './endpointClient.js';
import type { WatchedAttempt } from './stallDetector.js';
import type { ResponseHead } from './types.js';

/** A send under way. */
export interface Attempt {
  readonly endpoint: Endpoint;
  readonly sentAt: number;
  /** Undefined until the endpoint's client has taken it. */
  exchange: Exchange | undefined;
  watched: WatchedAttempt | undefined;
  head: ResponseHead | undefined;
  /** When the newest bytes of the answer came. */
  readonly lastByteAt: number | undefined;
  /** Notes bytes of the answer; the time since those before, in milliseconds. */
  recordBytes(): number;
  /** Notes a piece of a stream. */
  recordChunk(): void;
  /** Notes that a stream has come to its end. */
  recordEnd(): void;
  /** Keeps bytes of an answer that is passed on later. */
  buffer(chunk: Buffer): void;
  readonly bufferedBytes: number;
  takeBuffered(): Buffer;
  /** Takes back what the endpoint no longer has to do. */
  close(): void;
}

/** Notes a send at its endpoint; `promptTokens` are to be read before the answer begins. */
export function createAttempt(
  endpoint: Endpoint,
  promptTokens: number,
  book: EndpointTracker,
  now: () => number,
): Attempt {
  const sentAt = now();
  const tokensToRead = book.getUnreadTokens(endpoint) + promptTokens;
  let pieces = 0;
  let firstPieceAt = 0;
  let heardAt: number | undefined;
  let kept: Buffer[] = [];
  let keptBytes = 0;
  let isRead = false;
  endpoint.unreadTokens += promptTokens;

  return {
    endpoint,
    sentAt,
    exchange: undefined,
    watched: undefined,
    head: undefined,
    get lastByteAt() {
      return heardAt;
    },
    recordBytes: noteBytes,
    recordChunk: notePiece,
    recordEnd() {
      if (pieces > 0) endpoint.speed.recordStream(pieces, now() - firstPieceAt);
    },
    buffer(chunk) {
      kept.push(chunk);
      keptBytes += chunk.length;
    },
    get bufferedBytes() {
      return keptBytes;
    },
    takeBuffered() {
      const bytes = Buffer.concat(kept);
      kept = [];
      return bytes;
    },
    close: noteRead,
  };

  function noteBytes(): number {
    const time = now();
    const pauseMs = time - (heardAt ?? time);
    heardAt = time;
    endpoint.lastActivityAt = time;
    endpoint.health.recordResponseData(time);
    return pauseMs;
  }

  function notePiece(): void {
    pieces += 1;
    if (pieces > 1) return;
    firstPieceAt = now();
    noteRead();
    if (tokensToRead > 0) endpoint.speed.recordFirstChunk(tokensToRead, firstPieceAt - sentAt);
  }

  function noteRead(): void {
    if (isRead) return;
    isRead = true;
    endpoint.unreadTokens -= promptTokens;
  }
}
