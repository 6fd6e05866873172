/** One send of a request to an endpoint: what has come back, and what it costs the endpoint. */

import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import type { Sending } from './endpointClient.js';
import type { WatchedSend } from './stallDetector.js';
import type { ResponseHead } from './types.js';

/** A send under way. */
export interface ActiveSend {
  readonly endpoint: Endpoint;
  readonly sentAt: number;
  /** Undefined until the endpoint's client has taken it. */
  sending: Sending | undefined;
  watched: WatchedSend | undefined;
  head: ResponseHead | undefined;
  /** When the newest bytes of the answer came. */
  readonly heardAt: number | undefined;
  /** Notes bytes of the answer; the time since those before, in milliseconds. */
  noteBytes(): number;
  /** Notes a piece of a stream. */
  notePiece(): void;
  /** Notes that a stream has come to its end. */
  noteWhole(): void;
  /** Keeps bytes of an answer that is passed on later. */
  keep(chunk: Buffer): void;
  readonly keptBytes: number;
  takeKept(): Buffer;
  /** Takes back what the endpoint no longer has to do. */
  close(): void;
}

/** Notes a send at its endpoint; `promptTokens` are to be read before the answer begins. */
export function createActiveSend(
  endpoint: Endpoint,
  promptTokens: number,
  book: EndpointTracker,
  now: () => number,
): ActiveSend {
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
    sending: undefined,
    watched: undefined,
    head: undefined,
    get heardAt() {
      return heardAt;
    },
    noteBytes,
    notePiece,
    noteWhole() {
      if (pieces > 0) endpoint.speed.note(pieces, now() - firstPieceAt);
    },
    keep(chunk) {
      kept.push(chunk);
      keptBytes += chunk.length;
    },
    get keptBytes() {
      return keptBytes;
    },
    takeKept() {
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
    endpoint.health.noteHeard(time);
    return pauseMs;
  }

  function notePiece(): void {
    pieces += 1;
    if (pieces > 1) return;
    firstPieceAt = now();
    noteRead();
    if (tokensToRead > 0) endpoint.speed.noteBegun(tokensToRead, firstPieceAt - sentAt);
  }

  function noteRead(): void {
    if (isRead) return;
    isRead = true;
    endpoint.unreadTokens -= promptTokens;
  }
}
