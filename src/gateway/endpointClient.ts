/** Sends requests to one endpoint over its own connections; each request is sent at most once. */

import { connect as connectSocket } from 'node:net';
import type { buildConnector, Dispatcher } from 'undici';
import { Client } from '../common/httpPool.js';
import { splitAddress } from '../common/settings.js';

const CONNECT_TIMEOUT_MS = 600;
/** Idle time after which a connection is closed where the endpoint does not state its own. */
const IDLE_TIMEOUT_MS = 4_000;
/** By how much earlier than the endpoint the gateway closes an idle connection. */
const IDLE_MARGIN_MS = 1_000;

/** A request as it goes to an endpoint. */
export interface EndpointRequest {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer | undefined;
}

/** What happens to one send. Nothing follows `onEnd` or `onFailure`. */
export interface ResponseHandler {
  onHead(status: number, rawHeaders: readonly Buffer[]): void;
  /** False when no more is wanted until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  /** `wasSent` is false when surely no byte has left. */
  onFailure(wasSent: boolean, reason: string): void;
}

/** One send under way. */
export interface Exchange {
  resume(): void;
  /** Closes the connection; no further event follows. */
  abort(): void;
}

/** A client of one endpoint. */
export interface EndpointClient {
  send(request: EndpointRequest, events: ResponseHandler): Exchange;
  /** Whether the endpoint accepts a connection; nothing is sent on it. */
  isReachable(): Promise<boolean>;
  close(): void;
}

/** One connection, which is opened again as needed. */
interface Connection {
  client: Client;
  /** Whether its socket has failed since it was last opened. */
  hasFailed: boolean;
}

/** Creates a client of the endpoint at `address` (host:port). */
export function createEndpointClient(address: string): EndpointClient {
  const connections = new Set<Connection>();
  // The one used last is at the end, so that the others can run into their idle timeout.
  const idle: Connection[] = [];

  return { send, isReachable, close };

  function createConnection(): Connection {
    const connection: Connection = { client: createClient(openSocket), hasFailed: false };
    connections.add(connection);
    return connection;

    function openSocket(_options: unknown, done: buildConnector.Callback): void {
      connection.hasFailed = false;
      const { host, port } = splitAddress(address);
      const socket = connectSocket({ host, port, noDelay: true });
      const timer = setTimeout(() => socket.destroy(createTimeout()), CONNECT_TIMEOUT_MS);
      const fail = (error: Error): void => done(error, null);
      socket.once('error', fail);
      socket.once('close', () => clearTimeout(timer));
      socket.once('connect', () => {
        clearTimeout(timer);
        socket.off('error', fail);
        socket.on('error', () => {
          connection.hasFailed = true;
        });
        socket.on('end', () => {
          // Bytes and a reset that arrive together are reported as an end, but the peer is gone.
          if (socket.remoteAddress === undefined) connection.hasFailed = true;
        });
        done(null, socket);
      });
    }
  }

  function createClient(connect: buildConnector.connector): Client {
    return new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect,
    });
  }

  function send(request: EndpointRequest, events: ResponseHandler): Exchange {
    const connection = idle.pop() ?? createConnection();
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    connection.client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers: request.headers,
        body: request.body ?? null,
      },
      {
        onRequestStart(started) {
          controller = started;
          if (isOver) started.abort(createAbortReason());
        },
        onResponseStart(started, status) {
          if (isOver || status < 200) return;
          events.onHead(status, (started.rawHeaders ?? []) as Buffer[]);
        },
        onResponseData(started, chunk) {
          if (!isOver && !events.onData(chunk)) started.pause();
        },
        onResponseEnd() {
          idle.push(connection);
          if (isOver) return;
          isOver = true;
          // undici takes an answer without a length for whole also when its connection is reset.
          if (connection.hasFailed) events.onFailure(true, 'reset before its end');
          else events.onEnd();
        },
        onResponseError(_started, error) {
          idle.push(connection);
          if (isOver) return;
          isOver = true;
          events.onFailure(controller !== undefined, toReason(error));
        },
      },
    );
    return {
      resume: () => controller?.resume(),
      abort() {
        if (isOver) return;
        isOver = true;
        controller?.abort(createAbortReason());
      },
    };
  }

  function isReachable(): Promise<boolean> {
    return new Promise((resolve) => {
      const { host, port } = splitAddress(address);
      const socket = connectSocket({ host, port });
      const end = (isOpen: boolean) => (): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(isOpen);
      };
      const timer = setTimeout(end(false), CONNECT_TIMEOUT_MS);
      socket.once('connect', end(true));
      socket.once('error', end(false));
    });
  }

  function close(): void {
    for (const { client } of connections) {
      client.destroy().catch(() => {
        // Nothing is left to be done for a connection that is already gone.
      });
    }
  }
}

function createTimeout(): Error {
  return Object.assign(new Error('connect timeout'), { code: 'ETIMEDOUT' });
}

function createAbortReason(): Error {
  return new DOMException('no longer wanted', 'AbortError');
}

function toReason(error: Error): string {
  const { code } = error as NodeJS.ErrnoException;
  return code ?? error.message;
}
