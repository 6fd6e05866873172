/**
 * Bounds what callers that do not read their responses make a gateway hold. While too much is held,
 * the connections of those that have read nothing for a while are closed, the largest ones first,
 * and last those whose responses wait behind one that its endpoint has not answered yet.
 */

import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ByteBuffer } from '../common/byteBuffer.js';
import type { MemoryPart } from '../common/clientMemory.js';
import type { Logger } from '../common/logging.js';
import { createRunningTime } from '../common/runningTime.js';
import { describeSendProgress } from '../common/sendProgress.js';

const CHECK_INTERVAL_MS = 200;
/** The kernel shows progress only when a third of its buffer is free; slow readers need some time. */
const STALL_TIMEOUT_MS = 3_000;

/** Bytes of a response that wait until the write in progress has been sent. */
type PendingBytes = Pick<ByteBuffer, 'capacity'>;

/** A connection with responses of which a part has not been sent. */
interface UnreadConnection {
  /** Responses, each with what waits for its next write. */
  responses: Map<ServerResponse, PendingBytes | undefined>;
  unsentBytes: number;
  /** Changes with each byte that the connection takes. */
  progress: string | undefined;
  /** Running time. */
  progressAt: number;
}

/** Dependencies. */
export interface UnreadResponsesHost {
  logger: Logger;
  now(): number;
  heldBytes: MemoryPart;
  /** Called for each connection that is closed. */
  onClosed(): void;
}

/** Responses whose callers have not read all of what has been written. */
export interface UnreadResponses {
  /** Watches a response until its caller has taken what has been written and what is pending. */
  watch(response: ServerResponse, pending?: PendingBytes): void;
  /** Whether the connection was closed because its caller did not read. */
  wasClosed(response: ServerResponse): boolean;
  close(): void;
}

export function createUnreadResponses(host: UnreadResponsesHost): UnreadResponses {
  const { logger, heldBytes } = host;
  const unread = new Map<Socket, UnreadConnection>();
  const closed = new WeakSet<Socket>();
  const runningTime = createRunningTime(host, 2 * CHECK_INTERVAL_MS);
  let timer: NodeJS.Timeout | undefined;

  return {
    watch,
    wasClosed: ({ req }) => closed.has(req.socket),
    close: () => clearInterval(timer),
  };

  function watch(response: ServerResponse, pending?: PendingBytes): void {
    const { socket } = response.req;
    if (closed.has(socket) || response.writableLength === 0) return;
    const connection = unread.get(socket) ?? addConnection(socket);
    if (connection.responses.has(response)) return;
    connection.responses.set(response, pending);
    updateBytes(connection);
    timer ??= setInterval(() => {
      runningTime.advance();
      // A timer fires before anything is sent that waited while the process did not run.
      setImmediate(check);
    }, CHECK_INTERVAL_MS).unref();
  }

  function addConnection(socket: Socket): UnreadConnection {
    const connection: UnreadConnection = {
      responses: new Map(),
      unsentBytes: 0,
      progress: undefined,
      progressAt: runningTime.now,
    };
    unread.set(socket, connection);
    return connection;
  }

  function check(): void {
    for (const [socket, connection] of unread) update(socket, connection);
    if (unread.size === 0) {
      clearInterval(timer);
      timer = undefined;
    } else if (heldBytes.isExceeded) closeStalled();
  }

  function update(socket: Socket, connection: UnreadConnection): void {
    updateBytes(connection);
    if (connection.unsentBytes === 0) {
      unread.delete(socket);
      return;
    }
    const progress = describeSendProgress(socket);
    if (progress === connection.progress) return;
    connection.progress = progress;
    connection.progressAt = runningTime.now;
  }

  function updateBytes(connection: UnreadConnection): void {
    let unsentBytes = 0;
    for (const [response, pending] of connection.responses) {
      const bytes = response.destroyed ? 0 : response.writableLength + (pending?.capacity ?? 0);
      if (bytes === 0) connection.responses.delete(response);
      unsentBytes += bytes;
    }
    heldBytes.add(unsentBytes - connection.unsentBytes);
    connection.unsentBytes = unsentBytes;
  }

  function closeStalled(): void {
    const stalled = [...unread].filter(
      ([, { progressAt }]) => runningTime.now - progressAt >= STALL_TIMEOUT_MS,
    );
    stalled.sort(
      ([leftSocket, left], [rightSocket, right]) =>
        Number(hasBytesToRead(rightSocket)) - Number(hasBytesToRead(leftSocket)) ||
        right.unsentBytes - left.unsentBytes,
    );
    for (const [socket, { unsentBytes, progressAt }] of stalled) {
      if (!heldBytes.isExceeded) return;
      logger.event('callerStalled', {
        unsentBytes,
        heldBytes: heldBytes.total,
        stalledMs: Math.round(runningTime.now - progressAt),
      });
      host.onClosed();
      closed.add(socket);
      socket.destroy();
      heldBytes.add(-unsentBytes);
      unread.delete(socket);
    }
  }
}

/** Whether the caller could read more: what waits behind an earlier response is not written yet. */
function hasBytesToRead(socket: Socket): boolean {
  return socket.writableLength > 0;
}
