/**
 * The connection of an HTTP client to an endpoint that may send anything. It is closed when bytes
 * without end arrive that are no response, and can be paused before its socket is read.
 */

import { connect as connectSocket, type Socket } from 'node:net';
import type { buildConnector } from 'undici';
import { callAfterReading } from './eventLoop.js';

/** Code of the error for a connection that was not accepted in time. */
export const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';
const HTTP_PORT = 80;
/**
 * Bytes that may arrive without the beginning of a response or a part of its body among them. The
 * parser bounds headers and trailers only, not a status line, interim responses or the framing of
 * chunks. Several times what one read from a socket returns.
 */
const MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;
/**
 * Bytes of one read. A connection that waits keeps one read in its socket, and a part of a response
 * that waits to be sent keeps the whole read that it came with.
 */
const READ_BYTES = 16 * 1024;
/** What a socket reads is copied from here before another one reads. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/** Statuses of HTTP (RFC 9110, section 15); 1xx are interim. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a number in a status line is a status of HTTP; a response with another one says nothing. */
export function isValidStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}

/** One connection, which its client reopens as needed. */
export interface EndpointConnection {
  /** Whether its socket is open. */
  readonly isOpen: boolean;
  /**
   * Whether a response that ends with its connection has been broken off: the connection was reset, or
   * it was closed before the whole request had been sent.
   */
  readonly isCutOff: boolean;
  /** Opens the socket for the client that the connection belongs to. */
  readonly connect: buildConnector.connector;
  /** Records that a request began, or that a part of its response arrived. */
  recordProgress(): void;
  pause(): void;
  /** Ends a pause, and reads what has arrived meanwhile. */
  resume(): void;
  /** Ends a pause at the end of a response, while the client reads from the socket already. */
  endResponse(): void;
}

/** Creates a connection that is not open yet; `onOpen` is called each time that it is opened. */
export function createEndpointConnection(
  connectTimeoutMs: number,
  onOpen: () => void = () => {},
): EndpointConnection {
  let socket: Socket | undefined;
  /** Bytes received on the socket up to the latest part of a response. */
  let bytesAtProgress = 0;
  /** Whether the socket has failed since it was last opened. */
  let hasFailed = false;
  /** Whether nothing is read from the socket for now. */
  let isPaused = false;

  return {
    get isOpen() {
      return socket !== undefined && !socket.destroyed;
    },
    get isCutOff() {
      return hasFailed || hasUnsentBytes();
    },
    connect,
    recordProgress() {
      bytesAtProgress = socket?.bytesRead ?? 0;
    },
    pause() {
      isPaused = true;
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      socket?.emit('readable');
    },
    endResponse() {
      isPaused = false;
    },
  };

  function hasUnsentBytes(): boolean {
    return socket !== undefined && socket.readableEnded && socket.writableLength > 0;
  }

  function connect(
    { hostname, port }: buildConnector.Options,
    done: buildConnector.Callback,
  ): void {
    hasFailed = false;
    const opened: Socket = connectSocket({
      host: hostname,
      port: Number(port) || HTTP_PORT,
      noDelay: true,
      onread: {
        buffer: readBuffer,
        callback: (length, bytes) => opened.push(copyBytes(bytes, length)),
      },
    });
    const cancelTimeout = callAfterReading(connectTimeoutMs, () => {
      opened.destroy(createTimeoutError());
    });
    const fail = (error: Error): void => done(error, null);
    opened.once('error', fail);
    opened.once('close', cancelTimeout);
    opened.once('connect', () => {
      cancelTimeout();
      opened.off('error', fail);
      accept(opened);
      done(null, opened);
    });
  }

  function accept(opened: Socket): void {
    opened.on('error', () => {
      hasFailed = true;
    });
    opened.on('end', () => {
      // A reset that arrives together with data is reported as 'end', but the socket then no longer
      // has a peer.
      if (opened.remoteAddress === undefined) hasFailed = true;
    });
    socket = opened;
    bytesAtProgress = 0;
    onOpen();
    opened.on('readable', () => limitBytes(opened));
    addPause(opened);
  }

  function limitBytes(opened: Socket): void {
    if (opened.bytesRead - bytesAtProgress <= MAX_BYTES_WITHOUT_PROGRESS) return;
    opened.destroy(new Error('bytes without end that are no response'));
  }

  /**
   * Lets the connection be paused before its socket is read. The pause of undici puts back what has
   * been read and not been passed on, while the socket goes on to read: each time that a response of
   * short chunks is paused, more of it is kept.
   */
  function addPause(opened: Socket): void {
    const read = opened.read.bind(opened);
    isPaused = false;
    opened.read = (size) => (isPaused ? null : (read(size) as unknown));
  }
}

/** Returns a copy that shares its memory with no other bytes, which would stay as long as it does. */
function copyBytes(bytes: Uint8Array, length: number): Buffer {
  const copy = Buffer.allocUnsafeSlow(length);
  copy.set(bytes.subarray(0, length));
  return copy;
}

function createTimeoutError(): Error {
  return Object.assign(new Error('connect timeout'), { code: CONNECT_TIMEOUT_CODE });
}
