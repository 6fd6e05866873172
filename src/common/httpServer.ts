/** Functions that the HTTP servers of all roles share. */

import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Polka } from 'polka';
import { limitClients, type ClientLimits } from './clientConnections.js';
import { SystemClock } from './clock.js';
import { hasAnnouncedEnd, keepUnsentResponses } from './idleConnections.js';
import { retryListening, type ListenTarget } from './listening.js';
import { getBodyCollector } from './requestBody.js';
import { createRunningTime } from './runningTime.js';
import { splitAddress } from './settings.js';

/** Interval at which a closing server looks for connections that have become idle. */
const IDLE_CHECK_INTERVAL_MS = 50;
/** Running time that the rest of a request has to arrive at a closing server. */
const ARRIVAL_TIMEOUT_MS = 3_000;
const DEFAULT_KEEP_ALIVE_MS = 5_000;

/**
 * Creates a server that passes on all lines of a head. By default Node.js drops those beyond the
 * first thousand without an error, although its parser still reads the body that they announce.
 */
export function createHttpServer(options: ServerOptions = {}): Server {
  const server = createServer(options);
  server.maxHeadersCount = 0;
  return server;
}

/** Reads the whole body. Raises `usage` if it is larger than `maxBytes` or incomplete. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
  return getBodyCollector(request).read(maxBytes, () => true);
}

/**
 * Starts `app` on an address. An address that is taken is tried again for a while; then
 * `unavailable` is raised. `listener` receives the requests in place of `app`.
 */
export async function listenOn(
  app: Polka,
  target: ListenTarget,
  listener = app.handler as RequestListener,
): Promise<Server> {
  const { host, port } = splitAddress(target.address);
  const server = app.server ?? createHttpServer();
  server.on('request', listener);
  await retryListening(target, () => tryListen(server, host, port));
  // Errors while it listens concern single connections that could not be accepted.
  server.on('error', () => {});
  return server;
}

function tryListen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const succeed = (): void => {
      server.off('error', fail);
      resolve();
    };
    const fail = (error: Error): void => {
      // An attempt that follows adds a listener of its own.
      server.off('listening', succeed);
      reject(error);
    };
    server.once('listening', succeed);
    server.once('error', fail);
    server.listen(port, host);
  });
}

/** A server that listens. */
export interface RunningServer {
  /**
   * Stops accepting connections, closes each one that is idle or becomes so, and resolves when all
   * have ended. Callers that keep their connections in use are told to close them, and a request
   * that does not arrive in time is not waited for.
   */
  close(): Promise<void>;
}

/** Where a server listens, and what its clients may make the process hold. */
export interface ServerTarget extends ListenTarget {
  clients?: ClientLimits | undefined;
}

/** Starts `app` like `listenOn`; its connections stay open for `keepAliveMs` between requests. */
export async function startServer(
  app: Polka,
  target: ServerTarget,
  keepAliveMs = DEFAULT_KEEP_ALIVE_MS,
): Promise<RunningServer> {
  const unanswerable = new WeakSet<IncomingMessage>();
  const server = await listenOn(app, target, handle);
  const sockets = new Set<Socket>();
  /** The newest request of each connection whose response has not ended. */
  const requests = new Map<Socket, IncomingMessage>();
  const newestResponses = new WeakMap<Socket, ServerResponse>();
  let isClosing = false;
  server.keepAliveTimeout = keepAliveMs;
  keepUnsentResponses(server);
  const clients = target.clients && limitClients(server, target.clients);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.prependListener('request', (request, response) => {
    const { socket } = request;
    const earlier = newestResponses.get(socket);
    if (isClosing && earlier !== undefined && hasAnnouncedEnd(earlier)) {
      unanswerable.add(request);
      return;
    }
    requests.set(socket, request);
    response.once('close', () => {
      if (requests.get(socket) === request) requests.delete(socket);
    });
    newestResponses.set(socket, response);
    if (!isClosing) return;
    // The connection ends after its last response only.
    if (earlier?.headersSent === false) earlier.shouldKeepAlive = true;
    response.shouldKeepAlive = false;
  });

  return { close: () => close(server) };

  function handle(request: IncomingMessage, response: ServerResponse): void {
    // What was read with a request that closed the connection is still parsed.
    if (unanswerable.has(request) || request.socket.destroyed) return;
    const turn = clients?.waitForStart(request);
    if (turn === undefined) (app.handler as RequestListener)(request, response);
    else void turn.then(() => (app.handler as RequestListener)(request, response));
  }

  function close(closing: Server): Promise<void> {
    isClosing = true;
    const closingFor = createRunningTime(new SystemClock(), 2 * IDLE_CHECK_INTERVAL_MS);
    const timer = setInterval(() => {
      closing.closeIdleConnections();
      closingFor.advance();
      if (closingFor.now > ARRIVAL_TIMEOUT_MS) closeIncomplete();
    }, IDLE_CHECK_INTERVAL_MS);
    closing.closeIdleConnections();
    return new Promise((resolve) => {
      closing.close(() => {
        clearInterval(timer);
        resolve();
      });
    });
  }

  /** Closes the connections on which a request has not arrived as a whole. */
  function closeIncomplete(): void {
    for (const socket of sockets) {
      if (requests.get(socket)?.complete !== true) socket.destroy();
    }
  }
}
