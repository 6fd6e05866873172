/** Writes an answer to a caller: whole answers with their length, streams as their events arrive. */

import type { ServerResponse } from 'node:http';
import type { ResponseHead } from './types.js';

/** A refusal or failure of the gateway's own. */
export interface LocalReply {
  status: number;
  reason: string;
  /** When the caller may come back; only for requests that have not run. */
  retryAfterMs?: number;
}

/** The caller's side of one request. */
export interface ResponseWriter {
  /** Whether any part of an endpoint's answer has been written. */
  readonly hasStarted: boolean;
  /** Begins an answer that is passed on as it arrives. */
  start(head: ResponseHead): void;
  /** False when no more is wanted until `onDrain`. */
  write(chunk: Buffer): boolean;
  /** Ends an answer that was begun. */
  end(): void;
  /** Writes a whole answer. */
  writeComplete(head: ResponseHead, body: Buffer): void;
  writeLocalReply(answer: LocalReply): void;
  /** Breaks the connection, so that a partial answer does not look whole. */
  destroy(): void;
}

/** Creates a writer; `shouldClose` tells whether the connection is to be closed after this answer. */
export function createResponseWriter(
  response: ServerResponse,
  shouldClose: () => boolean,
  onDrain: () => void,
): ResponseWriter {
  let hasBegun = false;
  response.on('drain', onDrain);

  return {
    get hasStarted() {
      return hasBegun;
    },
    start(head) {
      hasBegun = true;
      writeHead(head.status, head.headers);
    },
    write: (chunk) => response.write(chunk),
    end: () => void response.end(),
    writeComplete: writeWhole,
    writeLocalReply: writeOwn,
    destroy: () => void response.destroy(),
  };

  function writeHead(status: number, headers: string[]): void {
    if (shouldClose()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
  }

  function writeWhole(head: ResponseHead, body: Buffer): void {
    hasBegun = true;
    writeHead(head.status, [...head.headers, 'Content-Length', String(body.length)]);
    response.end(body);
  }

  function writeOwn({ status, reason, retryAfterMs }: LocalReply): void {
    const body = `${reason}\n`;
    const headers = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2));
    writeHead(status, headers);
    response.end(body);
  }
}
