/**
 * Closes the idle connections of an HTTP server, and no connection that still carries a response or
 * has a request that was not read yet; closes the responses of a connection that has ended.
 */

import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { describeSendProgress } from './sendProgress.js';

/**
 * Time without progress after which a caller is taken not to read its response any more. Node.js
 * may let it pass twice, as it compares what is left to send only each time.
 */
const SEND_STALL_TIMEOUT_MS = 1_500;

/** An open connection. */
interface Connection {
  openResponses: Set<ServerResponse>;
  /** Bytes received when a response last ended; undefined before that. */
  bytesAtResponse: number | undefined;
  hasStallTimeout: boolean;
}

/**
 * Replaces `server.closeIdleConnections`, which `server.close` calls as well. Node.js regards a
 * connection as idle once the end of a response has been written to a buffer, although most of it
 * may not have been sent yet. The connections are closed once what has arrived has been read.
 */
export function keepUnsentResponses(server: Server): void {
  const connections = new Map<Socket, Connection>();
  server.on('connection', (socket) => {
    const openResponses = new Set<ServerResponse>();
    connections.set(socket, { openResponses, bytesAtResponse: undefined, hasStallTimeout: false });
    socket.once('close', () => {
      connections.delete(socket);
      closeQueued(openResponses);
    });
  });
  server.on('timeout', closeUnlessActive);
  server.prependListener('request', ({ socket }, response) => {
    const connection = connections.get(socket);
    if (connection === undefined) return;
    clearStallLimit(socket, connection);
    connection.openResponses.add(response);
    response.once('close', () => {
      connection.openResponses.delete(response);
      connection.bytesAtResponse = socket.bytesRead;
    });
  });
  let isClosing = false;
  server.closeIdleConnections = () => {
    if (isClosing) return;
    isClosing = true;
    // A timer fires before requests are read that arrived while the process did not run.
    setImmediate(closeIdle);
  };

  function closeIdle(): void {
    isClosing = false;
    for (const [socket, connection] of connections) {
      if (isIdle(socket, connection)) socket.destroy();
      else limitStall(socket, connection);
    }
  }
}

/**
 * Closes a connection that has timed out, unless it turns out to be active: its timer fires before
 * anything is read and written that waited while the process did not run.
 */
function closeUnlessActive(socket: Socket): void {
  const before = describeActivity(socket);
  setImmediate(() => {
    if (describeActivity(socket) === before) socket.destroy();
  });
}

function describeActivity(socket: Socket): string {
  return `${socket.bytesRead} ${describeSendProgress(socket)}`;
}

/** Node.js closes the response that a connection sends when it ends, and none that wait behind it. */
function closeQueued(responses: ReadonlySet<ServerResponse>): void {
  for (const response of responses) {
    if (response.socket !== null || response.writableFinished) continue;
    response.destroy();
    response.emit('close');
  }
}

/**
 * Whether a response has ended, none is open and no part of the next request has arrived. A caller
 * that has just connected is about to send its first request.
 */
function isIdle(socket: Socket, { openResponses, bytesAtResponse }: Connection): boolean {
  return openResponses.size === 0 && socket.bytesRead === bytesAtResponse;
}

/** Whether the caller has been told that the connection ends with this response. */
export function hasAnnouncedEnd({ headersSent, shouldKeepAlive }: ServerResponse): boolean {
  return headersSent && !shouldKeepAlive;
}

/** Closes the connection if its caller stops to read a response that is complete. */
function limitStall(socket: Socket, connection: Connection): void {
  const { openResponses, hasStallTimeout } = connection;
  if (hasStallTimeout || openResponses.size === 0) return;
  for (const response of openResponses) {
    if (!response.writableEnded) return;
    // None that follows is sent.
    if (hasAnnouncedEnd(response)) break;
  }
  connection.hasStallTimeout = true;
  socket.setTimeout(SEND_STALL_TIMEOUT_MS);
}

/** The response to a further request may take longer. */
function clearStallLimit(socket: Socket, connection: Connection): void {
  if (!connection.hasStallTimeout) return;
  connection.hasStallTimeout = false;
  socket.setTimeout(0);
}
