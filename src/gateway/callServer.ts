/** HTTP server for callers: parses and admits requests and starts a handler for each. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import polka from 'polka';
import { limitClients, type ClientLimits } from '../common/clientConnections.js';
import type { Clock } from '../common/clock.js';
import { awaitReading, type ReadingTime } from '../common/eventLoop.js';
import { createHttpServer, listenOn } from '../common/httpServer.js';
import { keepUnsentResponses } from '../common/idleConnections.js';
import type { Logger } from '../common/logging.js';
import type { CallerLimits, Route } from '../routing/types.js';
import type { BodyReader } from './bodyReader.js';
import { admit, consumeQuota, type Admission, type TableState } from './callAdmission.js';
import type { CallStarts } from './callStarts.js';
import { suspectReply } from './crashSuspects.js';
import { startCallHandler, type CallHandler, type CallHandlerHost } from './callHandler.js';
import { stoppingReply, type Drain } from './drain.js';
import type { OriginLookup } from './originLookup.js';
import type { Quotas } from './quotas.js';
import { createResponseWriter, type LocalReply, type ResponseWriter } from './responseWriter.js';
import { decideContinuation, getStreamId, isContinuation } from './streamContinuation.js';
import type { Call, Dialect, RequestHead } from './types.js';
import type { UnreadResponses } from './unreadResponses.js';
import { createWorkEstimator, estimateWork } from './workEstimator.js';

const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** More than any routing table allows; the limit that the table states is not checked here. */
const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_WAIT_MS = 30_000;
/**
 * What the gateway keeps for a request that it has started, beside what each request counts:
 * 3,800 pipelined requests filled a heap of 128 MB.
 */
const RUNNING_BYTES = 30 * 1024;
/** Time in which the end of a connection follows its request at the latest. */
const TIME_TO_NOTICE_CLOSE: ReadingTime = { minTurns: 2, maxTurns: 6, milliseconds: 10 };

/** Dependencies of the server. */
export interface CallServerHost {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  /** host:port. */
  listen: string;
  clients: ClientLimits;
  random(): number;
  /** The routing table; its properties change over time. */
  table: TableState;
  tryGetLimits(): CallerLimits | undefined;
  quotas: Quotas;
  starts: Pick<CallStarts, 'wait' | 'stop'>;
  originLookup: OriginLookup;
  handlerHost: CallHandlerHost;
  unread: UnreadResponses;
  bodies: BodyReader;
  /** Connections are closed after their next response once it has started. */
  drain: Pick<Drain, 'isStarted' | 'mayBegin'>;
  onRefused(status: number): void;
}

/** A running server. */
export interface CallServer {
  /** Number of requests that are still in progress. */
  readonly openCount: number;
  /** Closes connections without a request in progress. */
  closeIdle(): void;
  /** Ends all requests in progress: those that have not run are refused. */
  endCalls(): void;
  /** Stops accepting connections and closes all that are open. */
  close(): void;
}

export async function startCallServer(host: CallServerHost): Promise<CallServer> {
  const { clock, logger, dialect } = host;
  const estimator = createWorkEstimator();
  const handlers = new Set<CallHandler>();
  const newestResponses = new WeakMap<Socket, ServerResponse>();
  /** Connections that are closed after a response that has begun. */
  const closingSockets = new WeakSet<Socket>();
  let openCount = 0;
  const server = createHttpServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    noDelay: true,
  });
  const clients = limitClients(server, { ...host.clients, runningBytes: RUNNING_BYTES });
  keepUnsentResponses(server);
  server.on('connection', applyLimits);
  const app = polka({ server });
  app.use((request, response) => void handle(request, response));
  await listenOn(app, { logger, address: host.listen });

  return {
    get openCount() {
      return openCount;
    },
    closeIdle: () => server.closeIdleConnections(),
    endCalls() {
      host.starts.stop();
      for (const handler of handlers) handler.stop();
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };

  function applyLimits(): void {
    const limits = host.tryGetLimits();
    if (limits === undefined) return;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    // Its caller has sent it before it has read that the connection ends with an earlier response.
    if (closingSockets.has(socket)) return;
    // What was read with a request that closed the connection is still parsed.
    if (socket.destroyed) return;
    const arrivedAt = clock.now();
    newestResponses.set(socket, response);
    openCount += 1;
    let handler: CallHandler | undefined;
    let isClosed = false;
    response.on('close', () => {
      openCount -= 1;
      isClosed = true;
      if (handler === undefined) return;
      handlers.delete(handler);
      handler.cancel(
        host.unread.wasClosed(response)
          ? 'the caller did not read the response'
          : 'the caller closed the connection',
      );
    });
    const turn = clients.waitForStart(request);
    if (turn !== undefined) await turn;
    const writer = createResponseWriter(
      {
        unread: host.unread,
        shouldClose: () => closesConnection(socket, response),
        onDrain: () => handler?.resume(),
      },
      response,
    );
    const head = dialect.tryParseRequest(request);
    if (head === undefined) {
      refuse(writer, request, undefined, { status: 400, reason: 'incomplete request' });
      return;
    }
    // Its caller may have closed the connection after sending it, which is noticed before the request
    // counts against its team's quota and is sent to an endpoint.
    await awaitReading(() => clock.now(), TIME_TO_NOTICE_CLOSE);
    if (isCallerGone()) {
      endAbandoned(response, head, arrivedAt);
      return;
    }
    const refusal = await awaitStart(head);
    if (isCallerGone()) {
      endAbandoned(response, head, arrivedAt);
      return;
    }
    if (refusal !== undefined) {
      refuse(writer, request, head, refusal);
      return;
    }
    const call = await tryCreateCall(request, response, { head, arrivedAt, writer });
    if (call === undefined) return;
    if (isCallerGone()) {
      endAbandoned(response, head, arrivedAt);
      return;
    }
    handler = startCallHandler(host.handlerHost, call, writer);
    handlers.add(handler);

    function isCallerGone(): boolean {
      return isClosed || socket.readableEnded;
    }
  }

  function endAbandoned(response: ServerResponse, { id }: RequestHead, arrivedAt: number): void {
    logger.event('callerGone', { request: id, lagMs: Math.round(clock.now() - arrivedAt) });
    response.destroy();
  }

  /** Decides whether the connection is closed after a response that begins now. */
  function closesConnection(socket: Socket, response: ServerResponse): boolean {
    if (!host.drain.isStarted || newestResponses.get(socket) !== response) return false;
    closingSockets.add(socket);
    return true;
  }

  /** Resolves when a request may be started, or to the reply with which it is refused. */
  async function awaitStart(head: RequestHead): Promise<LocalReply | undefined> {
    const admission = admit(host.table, head, host.random());
    if (admission.kind === 'refused') return admission.reply;
    const { route, team } = admission.request;
    return host.starts.wait({
      teamRank: team?.rank ?? 0,
      routeRank: route.rank,
      isContinued: isContinuation(head, route),
    });
  }

  /** Reads and admits a request; returns undefined if it has been refused. */
  async function tryCreateCall(
    request: IncomingMessage,
    response: ServerResponse,
    { head, arrivedAt, writer }: { head: RequestHead; arrivedAt: number; writer: ResponseWriter },
  ): Promise<Call | undefined> {
    // Closing the connection before all of the body has arrived might cost the caller the reply.
    const precheck = admit(host.table, head, host.random());
    if (precheck.kind === 'refused') {
      refuse(writer, request, head, precheck.reply);
      return undefined;
    }
    const bodyDeadline = getDeadline(head, precheck.request.route, arrivedAt);
    const read = await host.bodies.read(request, response, bodyDeadline);
    if (read.kind === 'left') {
      endAbandoned(response, head, arrivedAt);
      return undefined;
    }
    if (read.kind === 'refused') {
      refuse(writer, request, head, read.reply);
      return undefined;
    }
    const { body } = read;
    const isContinued = isContinuation(head, precheck.request.route);
    const origin = isContinued ? await host.originLookup.tryFind(getStreamId(head)) : undefined;
    // The routing table may have changed in the meantime, and the gateway may have been told to stop.
    const admission = admitUntilStopped(head, arrivedAt);
    if (admission.kind === 'refused') {
      refuse(writer, request, head, admission.reply);
      return undefined;
    }
    const { route, team } = admission.request;
    const continuation = isContinued ? decideContinuation(origin, route) : undefined;
    if (continuation?.kind === 'refused') {
      refuse(writer, request, head, continuation.reply);
      return undefined;
    }
    const pool = continuation?.pool ?? admission.request.pool;
    if (host.handlerHost.crashSuspects.isSuspect({ head, team, body })) {
      refuse(writer, request, head, suspectReply);
      return undefined;
    }
    const exceeded = consumeQuota(host.quotas, team, head, isContinued);
    if (exceeded !== undefined) {
      refuse(writer, request, head, exceeded);
      return undefined;
    }
    host.handlerHost.retryBudget.recordRequest(pool);
    return {
      head,
      route,
      pool,
      team,
      softwareVersion: continuation?.softwareVersion,
      revision: host.table.index?.table.revision ?? 0,
      body: body.length > 0 ? body : undefined,
      relativeWork: estimator.recordWork(pool, estimateWork(head)),
      waitedMs: estimator.estimateWaitedMs(route, head.waitMs),
      arrivedAt,
      deadline: getDeadline(head, route, arrivedAt),
    };
  }

  /** Admits a request that the routing table allows and that ends before the gateway does. */
  function admitUntilStopped(head: RequestHead, arrivedAt: number): Admission {
    const admission = admit(host.table, head, host.random());
    if (admission.kind === 'refused') return admission;
    const deadline = getDeadline(head, admission.request.route, arrivedAt);
    return host.drain.mayBegin(deadline) ? admission : { kind: 'refused', reply: stoppingReply };
  }

  function findTeam(head: RequestHead | undefined): string {
    if (head?.key === undefined) return '';
    return host.table.index?.tryGetTeam(head.key)?.name ?? '';
  }

  function refuse(
    writer: ResponseWriter,
    request: IncomingMessage,
    head: RequestHead | undefined,
    reply: LocalReply,
  ): void {
    writer.writeLocalReply(reply);
    host.onRefused(reply.status);
    logger.event('callRefused', {
      request: head?.id ?? '',
      resumes: head?.resumedCallId ?? '',
      host: head?.host ?? '',
      path: head?.path ?? request.url ?? '',
      team: findTeam(head),
      tokens: (head?.tokens?.prompt ?? 0) + (head?.tokens?.output ?? 0),
      status: reply.status,
      reason: reply.reason,
      retryAfterMs: Math.round(reply.retryAfterMs ?? 0),
      revision: host.table.index?.table.revision ?? 0,
    });
  }
}

/** Returns the monotonic time at which a request ends at the latest, in milliseconds. */
function getDeadline({ waitMs }: RequestHead, { timeoutMs }: Route, arrivedAt: number): number {
  return arrivedAt + Math.min(waitMs ?? DEFAULT_WAIT_MS, timeoutMs);
}
