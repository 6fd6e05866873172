/** HTTP client of one endpoint with its own connections; sends each request at most once. */

import { connect as connectSocket } from 'node:net';
import type { Dispatcher } from 'undici';
import {
  createEndpointConnection,
  isValidStatus,
  type EndpointConnection,
} from '../common/endpointConnection.js';
import { callAfterReading } from '../common/eventLoop.js';
import { Client } from '../common/httpPool.js';
import { createReadPacer, getReadCost, type ReadPacer } from '../common/readPacer.js';
import { splitAddress } from '../common/settings.js';
import { toConnectFailure, type ConnectFailure } from './connectFailure.js';

const CONNECT_TIMEOUT_MS = 600;
/** Code of undici's error for a request that it cannot write. */
const INVALID_REQUEST_CODE = 'UND_ERR_INVALID_ARG';
/** Idle time after which a connection is closed unless the endpoint states its own timeout. */
const IDLE_TIMEOUT_MS = 4_000;
/** How much earlier than the endpoint the gateway closes an idle connection. */
const IDLE_MARGIN_MS = 1_000;
/** Cost up to which a response is passed on at once, in bytes; few responses are longer. */
const UNPACED_COST = 64 * 1024;
/**
 * The beginning of a response. Within a head it shows that bytes which belong to no request were
 * broken off there, and that the response follows.
 */
const STATUS_LINE_PATTERN = /HTTP\/1\.[01] [1-5]\d\d/;
const STATUS_LINE_BEGINNING = 'HTTP/1.';

/** A request as sent to an endpoint. */
export interface EndpointRequest {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
}

/** Receives the response of one exchange. `onEnd`, `onFailure` and `onUnsendable` are final. */
export interface ResponseHandler {
  onHead(status: number, rawHeaders: readonly Buffer[]): void;
  /**
   * Returns false to pause the response until `resume`; what has been read together with this chunk
   * still arrives.
   */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  /** `wasSent` is false only if it is certain that no byte of the request was sent. */
  onFailure(wasSent: boolean, reason: string): void;
  /** The request is no valid HTTP; nothing was sent, and the endpoint was not asked for anything. */
  onUnsendable(reason: string): void;
}

/** A request in progress. */
export interface Exchange {
  resume(): void;
  /** Closes the connection; the handler is not called again. */
  abort(): void;
}

/** Whether an endpoint accepts a connection. */
export type ProbeOutcome = 'accepted' | ConnectFailure;

/** A client of one endpoint. */
export interface EndpointClient {
  send(request: EndpointRequest, handler: ResponseHandler): Exchange;
  /** Opens a connection, and sends nothing on it. */
  probe(): Promise<ProbeOutcome>;
  /**
   * Returns the earliest time from which on all that was heard came from one process: the one that is
   * heard now, which is to say on an open connection since `recently`. Connections that were in use at
   * the same time are to one process. Returns the present if none is heard.
   */
  getProcessStart(recently: number): number;
  /**
   * Closes all connections but those on which something has arrived since `since`; these are closed
   * at the end of their responses. Nothing may be sent afterwards.
   */
  retire(since: number): void;
  /** Closes all connections and ends their requests. */
  close(): void;
}

interface Connection {
  client: Client;
  link: EndpointConnection;
  /** When it was last opened. */
  openedAt: number;
  /** When it was opened, or when the latest part of a response arrived. */
  heardAt: number;
}

/** Creates a client of the endpoint at `address` (host:port); all clients share one `pacer`. */
export function createEndpointClient(
  address: string,
  now: () => number,
  pacer: ReadPacer = createReadPacer(now),
): EndpointClient {
  const connections = new Set<Connection>();
  // Used as a stack: the most recently used connection is reused first, so that unneeded ones reach
  // their idle timeout.
  const idle: Connection[] = [];

  return { send, probe, getProcessStart, retire, close };

  function createConnection(): Connection {
    const link = createEndpointConnection(CONNECT_TIMEOUT_MS, () => {
      connection.openedAt = now();
      connection.heardAt = connection.openedAt;
    });
    const connection = { client: createClient(link), link, openedAt: 0, heardAt: 0 };
    connections.add(connection);
    return connection;
  }

  function createClient({ connect }: EndpointConnection): Client {
    return new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect,
    });
  }

  function send(request: EndpointRequest, handler: ResponseHandler): Exchange {
    const connection = idle.pop() ?? createConnection();
    const { link } = connection;
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    let readCost = 0;
    /** Whether the handler has asked to pause the response. */
    let isHeld = false;
    /** Whether the response waits until other connections have had their turn. */
    let isInTurn = true;
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
          link.recordProgress();
          if (isOver) started.abort(createAbortReason());
        },
        onResponseStart(started, status, _headers, reasonPhrase) {
          if (isOver || (status >= 100 && status < 200)) return;
          recordResponse();
          const rawHeaders = (started.rawHeaders ?? []) as Buffer[];
          if (!isValidStatus(status)) {
            fail(started, `invalid status ${status}`);
          } else if (hasStatusLine(reasonPhrase, rawHeaders)) {
            fail(started, 'a head that was broken off precedes the response');
          } else {
            handler.onHead(status, rawHeaders);
          }
        },
        onResponseData(started, chunk) {
          recordResponse();
          if (isOver) return;
          const cost = getReadCost(chunk);
          readCost += cost;
          if (!handler.onData(chunk)) isHeld = true;
          if (isInTurn && readCost > UNPACED_COST) {
            isInTurn = pacer.mayContinue(cost, takeTurn);
          }
          if (isHeld || !isInTurn) link.pause();
        },
        onResponseEnd() {
          release();
          if (isOver) return;
          isOver = true;
          // undici treats a response without a length as complete even if its connection was reset.
          if (link.isCutOff) handler.onFailure(true, 'connection reset during the response');
          else handler.onEnd();
        },
        onResponseError(_started, error) {
          release();
          if (isOver) return;
          isOver = true;
          const wasSent = controller !== undefined;
          if (!wasSent && isInvalidRequest(error)) handler.onUnsendable(error.message);
          else handler.onFailure(wasSent, toReason(error));
        },
      },
    );
    return {
      resume() {
        isHeld = false;
        if (!isOver && isInTurn) link.resume();
      },
      abort() {
        if (isOver) return;
        isOver = true;
        controller?.abort(createAbortReason());
      },
    };

    function fail(started: Dispatcher.DispatchController, reason: string): void {
      isOver = true;
      started.abort(createAbortReason());
      handler.onFailure(true, reason);
    }

    function takeTurn(): void {
      isInTurn = true;
      if (!isOver && !isHeld) link.resume();
    }

    function recordResponse(): void {
      link.recordProgress();
      connection.heardAt = now();
    }

    function release(): void {
      link.endResponse();
      idle.push(connection);
    }
  }

  function probe(): Promise<ProbeOutcome> {
    return new Promise((resolve) => {
      const { host, port } = splitAddress(address);
      const socket = connectSocket({ host, port });
      const end = (outcome: ProbeOutcome): void => {
        cancelTimeout();
        socket.destroy();
        resolve(outcome);
      };
      const cancelTimeout = callAfterReading(CONNECT_TIMEOUT_MS, () => end('unanswered'));
      socket.once('connect', () => end('accepted'));
      socket.once('error', (error) => end(toConnectFailure(getCode(error))));
    });
  }

  function getProcessStart(recently: number): number {
    const all = [...connections];
    const heard = all.filter(({ link, heardAt }) => link.isOpen && heardAt >= recently);
    if (heard.length === 0) return now();
    let start = getFirstOpening(heard);
    for (;;) {
      const before = start;
      start = getFirstOpening(all.filter(({ heardAt }) => heardAt >= before));
      if (start === before) return start;
    }
  }

  function retire(since: number): void {
    for (const { client, heardAt } of connections) {
      if (heardAt < since) destroy(client);
      else client.close().catch(ignoreClosed);
    }
  }

  function close(): void {
    for (const { client } of connections) destroy(client);
  }
}

function getFirstOpening(connections: readonly Connection[]): number {
  return Math.min(...connections.map(({ openedAt }) => openedAt));
}

function destroy(client: Client): void {
  client.destroy().catch(ignoreClosed);
}

function ignoreClosed(): void {
  // The connection is already closed.
}

function createAbortReason(): Error {
  return new DOMException('request aborted by the gateway', 'AbortError');
}

/** Whether a status line follows within a head. */
function hasStatusLine(reasonPhrase = '', rawHeaders: readonly Buffer[] = []): boolean {
  if (STATUS_LINE_PATTERN.test(reasonPhrase)) return true;
  return rawHeaders.some(
    (bytes) =>
      bytes.includes(STATUS_LINE_BEGINNING) && STATUS_LINE_PATTERN.test(bytes.toString('latin1')),
  );
}

function getCode(error: Error): string | undefined {
  return (error as NodeJS.ErrnoException).code;
}

function isInvalidRequest(error: Error): boolean {
  return getCode(error) === INVALID_REQUEST_CODE;
}

function toReason(error: Error): string {
  return getCode(error) ?? error.message;
}
