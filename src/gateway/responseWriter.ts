/**
 * Writes responses to callers: buffered ones with their length, streams as their events arrive. At
 * most one write of a response is in progress; what arrives meanwhile is joined for the next one,
 * because each write that waits takes some objects of the socket's queue however short it is.
 */

import type { ServerResponse } from 'node:http';
import { createByteBuffer } from '../common/byteBuffer.js';
import type { ResponseHead } from './types.js';
import type { UnreadResponses } from './unreadResponses.js';

/** A refusal or error that the gateway generates itself. */
export interface LocalReply {
  status: number;
  reason: string;
  /** When the caller may retry; set only if the request has not run. */
  retryAfterMs?: number;
}

/** The response to one request. */
export interface ResponseWriter {
  /** Whether any part of an endpoint's response has been written. */
  readonly hasStarted: boolean;
  /** Holds what is written from now on until `ready`, or until the response ends. */
  holdUntil(ready: Promise<void>): void;
  /** Starts a response that is forwarded as it arrives. */
  start(head: ResponseHead): void;
  /** Returns false if no more data should be written until `onDrain`. */
  write(chunk: Buffer): boolean;
  /** Ends a response that was started with `start`. */
  end(): void;
  /** Writes a buffered response. */
  writeComplete(head: ResponseHead, body: Buffer): void;
  writeLocalReply(reply: LocalReply): void;
  /** Closes the connection, so that a truncated response does not look complete. */
  destroy(): void;
}

/** Dependencies of a writer. */
export interface ResponseWriterHost {
  unread: Pick<UnreadResponses, 'watch'>;
  /** Decides whether the connection is closed after this response. */
  shouldClose(): boolean;
  onDrain(): void;
}

/** Creates a writer of one response. */
export function createResponseWriter(
  { unread, shouldClose, onDrain }: ResponseWriterHost,
  response: ServerResponse,
): ResponseWriter {
  let hasStarted = false;
  /** What has arrived during the write in progress. */
  const pending = createByteBuffer();
  let isWriting = false;
  let isFull = false;
  response.once('close', pending.clear);

  return {
    get hasStarted() {
      return hasStarted;
    },
    holdUntil(ready) {
      const { socket } = response;
      socket?.cork();
      // The end of a response passes everything on; later responses of the connection hold their own.
      void ready.then(() => response.writableEnded || socket?.uncork());
    },
    start(head) {
      hasStarted = true;
      writeHead(head.status, head.headers);
    },
    write,
    end() {
      response.end(pending.length > 0 ? pending.take() : undefined);
      unread.watch(response);
    },
    writeComplete,
    writeLocalReply,
    destroy: () => void response.destroy(),
  };

  function write(chunk: Buffer): boolean {
    if (isWriting) pending.append(chunk);
    else writeNow(chunk);
    isFull = response.writableLength + pending.length >= response.writableHighWaterMark;
    if (isFull) unread.watch(response, pending);
    return !isFull;
  }

  function writeNow(bytes: Buffer): void {
    isWriting = true;
    response.write(bytes, handleWritten);
  }

  function handleWritten(): void {
    isWriting = false;
    if (response.destroyed || response.writableEnded) return;
    if (pending.length > 0) writeNow(pending.take());
    if (!isFull || response.writableLength >= response.writableHighWaterMark) return;
    isFull = false;
    onDrain();
  }

  function writeHead(status: number, headers: string[]): void {
    if (shouldClose()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
  }

  function writeComplete(head: ResponseHead, body: Buffer): void {
    hasStarted = true;
    writeHead(head.status, [...head.headers, 'Content-Length', String(body.length)]);
    response.end(body);
    unread.watch(response);
  }

  function writeLocalReply({ status, reason, retryAfterMs }: LocalReply): void {
    const body = `${reason}\n`;
    const headers = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2));
    writeHead(status, headers);
    response.end(body);
  }
}
