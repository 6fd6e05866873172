/**
 * Bounds what the connections of a server make the process hold: a connection with too many requests
 * in progress is not read further, and while the account is exceeded, the connections that hold most
 * and have been served least recently are closed.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ClientMemory, LimitReason } from './clientMemory.js';
import { takeReadTurn } from './readTurns.js';
import { collectBody, hasBody } from './requestBody.js';

/** Requests of a connection that may wait for their responses, unless the settings state it. */
const DEFAULT_MAX_PIPELINED = 64;
/** A socket, its parser, and what is kept for it here. */
const CONNECTION_BYTES = 4 * 1024;
/** A request and its response in Node.js. */
const REQUEST_BYTES = 12 * 1024;
/** A header line is kept as two strings, as a property, and again for an endpoint. */
const LINE_BYTES = 160;
/** First bytes of a body, which are read at once. */
const BODY_BYTES = 4 * 1024;
/** Part of the account above which connections are closed; below it, bodies or responses take the rest. */
const SHED_SHARE = 1 / 3;
/** A connection with one request that runs for long ranks below one with many requests. */
const MAX_RANKED_IDLE_MS = 10_000;

/** Limits on the clients of a server. */
export interface ClientLimits {
  memory: ClientMemory;
  maxPipelinedRequests?: number | undefined;
  /** What a handler keeps for a request that has been started. */
  runningBytes?: number;
}

/** An open connection. */
interface Connection {
  socket: Socket;
  bytes: number;
  openCount: number;
  /** When it was accepted or a response ended last, monotonic. */
  progressAt: number;
  isPipelineFull: boolean;
  /** Requests that have been read and not been started. */
  waiting: (() => void)[];
  isBodyHeld: boolean;
  isClosed: boolean;
}

/** Open connections of all servers that share an account. */
const connectionsByMemory = new WeakMap<ClientMemory, Map<Socket, Connection>>();

/** The clients of a server. */
export interface LimitedClients {
  /**
   * Returns undefined if a request may be handled now, else a promise that resolves when it may; it
   * stays pending if the connection is closed before.
   */
  waitForStart(request: IncomingMessage): Promise<void> | undefined;
}

/** Applies the limits to a server. To be called before other listeners are added. */
export function limitClients(
  server: Server,
  { memory, maxPipelinedRequests, runningBytes = 0 }: ClientLimits,
): LimitedClients {
  const connections = connectionsByMemory.get(memory) ?? new Map<Socket, Connection>();
  connectionsByMemory.set(memory, connections);
  // With a limit of 1, the body of the only request would not be read.
  const maxOpen = Math.max(2, maxPipelinedRequests ?? DEFAULT_MAX_PIPELINED);
  const { requests } = memory;
  let isShedding = false;
  server.on('connection', add);
  server.prependListener('request', receive);

  return { waitForStart };

  /**
   * One read may bring 2,600 requests, and one turn of the event loop reads all connections. Those
   * beyond the limit, and those read while connections have to be closed first, take little until they
   * are started.
   */
  function waitForStart({ socket }: IncomingMessage): Promise<void> | undefined {
    const connection = connections.get(socket);
    if (connection === undefined) return undefined;
    if (connection.openCount <= maxOpen && !isShedding) return undefined;
    return new Promise((resolve) => {
      connection.waiting.push(resolve);
    });
  }

  function add(socket: Socket): void {
    const connection: Connection = {
      socket,
      bytes: CONNECTION_BYTES,
      openCount: 0,
      progressAt: performance.now(),
      isPipelineFull: false,
      waiting: [],
      isBodyHeld: false,
      isClosed: false,
    };
    connections.set(socket, connection);
    requests.add(CONNECTION_BYTES);
    // Node.js resumes a socket after each request, and to read a body.
    socket.on('resume', () => {
      if (isHeld(connection)) socket.pause();
    });
    socket.once('close', () => remove(connection));
    if (mustShed()) startShedding();
  }

  function remove(connection: Connection): void {
    connection.isClosed = true;
    connection.waiting = [];
    if (!connections.delete(connection.socket)) return;
    requests.add(-connection.bytes);
    connection.bytes = 0;
  }

  function receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = connections.get(request.socket);
    // The rest of what was read is still parsed after a connection has been closed.
    if (connection === undefined || connection.isClosed) return;
    const isWithBody = hasBody(request);
    const bytes = estimateBytes(request) + (isWithBody ? BODY_BYTES : 0);
    connection.openCount += 1;
    charge(connection, connection.openCount <= maxOpen ? bytes + runningBytes : bytes);
    const collector = isWithBody
      ? collectBody(request, {
          hold(held) {
            connection.isBodyHeld = held;
            updateReading(connection);
          },
          close: () => close(connection, 'unusedBody'),
        })
      : undefined;
    response.once('close', () => {
      collector?.discard();
      if (connection.isClosed) return;
      // With a further request that waited, as many as before are running.
      charge(connection, connection.openCount <= maxOpen ? -bytes - runningBytes : -bytes);
      connection.openCount -= 1;
      connection.progressAt = performance.now();
      if (connection.isPipelineFull) continuePipeline(connection);
      else startWaiting(connection);
    });
    if (connection.openCount >= maxOpen && !connection.isPipelineFull) {
      connection.isPipelineFull = true;
      updateReading(connection);
    }
    if (!mustShed()) return;
    if (connection.openCount > maxOpen) close(connection, 'requests');
    else startShedding();
  }

  function charge(connection: Connection, bytes: number): void {
    connection.bytes += bytes;
    requests.add(bytes);
  }

  function continuePipeline(connection: Connection): void {
    startWaiting(connection);
    if (connection.openCount !== Math.floor(maxOpen / 2)) return;
    takeReadTurn(() => {
      connection.isPipelineFull = false;
      updateReading(connection);
    });
  }

  function startWaiting({ waiting, openCount }: Connection): void {
    while (waiting.length > 0 && openCount - waiting.length < maxOpen) waiting.shift()?.();
  }

  function mustShed(): boolean {
    return requests.isExceeded && requests.total > memory.limit * SHED_SHARE;
  }

  function startShedding(): void {
    if (isShedding) return;
    isShedding = true;
    // The requests of one read are counted first.
    setImmediate(shed);
  }

  function shed(): void {
    closeLargest();
    isShedding = false;
    for (const connection of connections.values()) startWaiting(connection);
  }

  function closeLargest(): void {
    if (!mustShed()) return;
    const now = performance.now();
    const ranked = [...connections.values()]
      .filter(({ openCount }) => openCount > 0)
      .map((connection) => ({ connection, rank: rank(connection, now) }))
      .sort((left, right) => right.rank - left.rank);
    for (const { connection } of ranked) {
      if (!mustShed() || connections.size === 1) return;
      close(connection, 'requests');
    }
  }

  function close(connection: Connection, reason: LimitReason): void {
    if (connection.isClosed) return;
    const { socket, bytes, openCount } = connection;
    memory.logger.event('clientClosed', {
      reason,
      connectionBytes: bytes,
      requests: openCount,
      heldBytes: memory.total,
      limitBytes: memory.limit,
      idleMs: Math.round(performance.now() - connection.progressAt),
    });
    memory.countLimited(reason);
    remove(connection);
    socket.destroy();
  }
}

function isHeld({ isPipelineFull, isBodyHeld }: Connection): boolean {
  return isPipelineFull || isBodyHeld;
}

function updateReading(connection: Connection): void {
  const { socket } = connection;
  if (isHeld(connection)) socket.pause();
  else if (!socket.destroyed) socket.resume();
}

/** Ranks by what a connection holds, and how long ago it has been served. */
function rank({ socket, bytes, progressAt }: Connection, now: number): number {
  const idleMs = Math.min(now - progressAt, MAX_RANKED_IDLE_MS);
  return (bytes + socket.writableLength) * (1_000 + idleMs);
}

function estimateBytes({ rawHeaders, url }: IncomingMessage): number {
  let bytes = REQUEST_BYTES + rawHeaders.length * (LINE_BYTES / 2) + (url?.length ?? 0);
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
