/** The callers' side of a gateway: reads requests, has them admitted and starts their runs. */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import polka from 'polka';
import type { Clock } from '../common/clock.js';
import { RaisedFailure } from '../common/failure.js';
import { closeServer, hasBody, listenOn, readBody } from '../common/httpServer.js';
import type { Logger } from '../common/logging.js';
import type { RouteIndex } from '../routing/routeIndex.js';
import type { CallerLimits } from '../routing/types.js';
import { createResponseWriter, type ResponseWriter, type LocalReply } from './responseWriter.js';
import { admit, consumeQuota } from './callAdmission.js';
import { startCallHandler, type CallHandler, type CallHandlerHost } from './callHandler.js';
import type { Quotas } from './quotas.js';
import type { Call, RequestHead, Dialect } from './types.js';
import { createWorkEstimator, estimateWork } from './workEstimator.js';

const CONNECTION_CHECK_MS = 1_000;
/** Above what any table allows, which is checked once a request is read. */
const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_WAIT_MS = 30_000;
/** A slow engine's time for one token, and what any request may need besides. */
const SLOW_TOKEN_MS = 12;
const SLOW_START_MS = 1_500;
/** A caller's next connection reaches another gateway. */
const CLOSED_RETRY_MS = 100;

/** What the server needs from outside. */
export interface CallServerHost {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  /** host:port. */
  listen: string;
  random(): number;
  tryGetIndex(): RouteIndex | undefined;
  tryGetLimits(): CallerLimits | undefined;
  quotas: Quotas;
  handlerHost: CallHandlerHost;
  /** Whether connections are to be closed after their next answer. */
  isStopping(): boolean;
  /** Time left for new requests, in milliseconds; infinite unless the gateway stops. */
  getRemainingMs(): number;
  onRefused(status: number): void;
}

/** The running server. */
export interface CallServer {
  /** Requests that are not answered yet. */
  readonly openCount: number;
  /** Closes connections on which nothing is under way. */
  closeIdle(): void;
  close(): Promise<void>;
}

/** Starts the server. */
export async function startCallServer(host: CallServerHost): Promise<CallServer> {
  const { clock, logger, dialect } = host;
  const estimate = createWorkEstimator();
  let openCount = 0;
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: CONNECTION_CHECK_MS,
    noDelay: true,
  });
  server.on('connection', applyLimits);
  const app = polka({ server });
  app.use((request, response) => void handle(request, response));
  await listenOn(app, host.listen);

  return {
    get openCount() {
      return openCount;
    },
    closeIdle: () => server.closeIdleConnections(),
    close: () => closeServer(server),
  };

  function applyLimits(): void {
    const limits = host.tryGetLimits();
    if (limits === undefined) return;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = clock.now();
    openCount += 1;
    let run: CallHandler | undefined;
    let hasLeft = false;
    response.on('close', () => {
      openCount -= 1;
      hasLeft = true;
      run?.cancel();
    });
    const writer = createResponseWriter(response, host.isStopping, () => run?.resume());
    const head = dialect.tryParseRequest(request);
    if (head === undefined) {
      refuse(writer, request, undefined, { status: 400, reason: 'incomplete request' });
      return;
    }
    if (estimateLongestMs(head) > host.getRemainingMs()) {
      const retryAfterMs = CLOSED_RETRY_MS;
      refuse(writer, request, head, { status: 503, reason: 'shutting down', retryAfterMs });
      return;
    }
    const call = await tryCreateCall(request, head, arrivedAt, writer);
    if (call === undefined) return;
    await readClosedConnections();
    if (!hasLeft) run = startCallHandler(host.handlerHost, call, writer);
  }

  /** Reads and admits a request; undefined when it was answered already. */
  async function tryCreateCall(
    request: IncomingMessage,
    head: RequestHead,
    arrivedAt: number,
    writer: ResponseWriter,
  ): Promise<Call | undefined> {
    const early = admit(host.tryGetIndex(), head, host.random());
    if (early.kind === 'refused') {
      refuse(writer, request, head, early.answer);
      return undefined;
    }
    const body = await tryReadBody(request, head, writer);
    if (body === undefined) return undefined;
    // The table may have changed while the body was read.
    const index = host.tryGetIndex();
    const admission = admit(index, head, host.random());
    if (admission.kind === 'refused') {
      refuse(writer, request, head, admission.answer);
      return undefined;
    }
    const { route, pool, team } = admission.request;
    const exceeded = consumeQuota(host.quotas, team, head);
    if (exceeded !== undefined) {
      refuse(writer, request, head, exceeded);
      return undefined;
    }
    host.handlerHost.retryBudget.recordRequest(pool);
    const waitMs = Math.min(head.waitMs ?? DEFAULT_WAIT_MS, route.timeoutMs);
    return {
      head,
      route,
      pool,
      team,
      revision: index?.table.revision ?? 0,
      body: body.length > 0 ? body : undefined,
      relativeWork: estimate.recordWork(pool, estimateWork(head)),
      waitedMs: estimate.estimateWaitedMs(route, head.waitMs),
      arrivedAt,
      deadline: arrivedAt + waitMs,
    };
  }

  async function tryReadBody(
    request: IncomingMessage,
    head: RequestHead,
    writer: ResponseWriter,
  ): Promise<Buffer | undefined> {
    if (!hasBody(request)) return Buffer.alloc(0);
    try {
      return await readBody(request, host.tryGetLimits()?.maxBodyBytes ?? Number.POSITIVE_INFINITY);
    } catch (caught) {
      const isTooLarge = caught instanceof RaisedFailure;
      const answer = isTooLarge
        ? { status: 413, reason: 'the body is too large' }
        : { status: 400, reason: 'the body could not be read' };
      refuse(writer, request, head, answer);
      return undefined;
    }
  }

  function findTeam(head: RequestHead | undefined): string {
    if (head?.key === undefined) return '';
    return host.tryGetIndex()?.tryGetTeam(head.key)?.name ?? '';
  }

  function refuse(
    writer: ResponseWriter,
    request: IncomingMessage,
    head: RequestHead | undefined,
    answer: LocalReply,
  ): void {
    writer.writeLocalReply(answer);
    host.onRefused(answer.status);
    logger.event('callRefused', {
      request: head?.id ?? '',
      host: head?.host ?? '',
      path: head?.path ?? request.url ?? '',
      team: findTeam(head),
      tokens: (head?.tokens?.prompt ?? 0) + (head?.tokens?.output ?? 0),
      status: answer.status,
      reason: answer.reason,
      retryAfterMs: Math.round(answer.retryAfterMs ?? 0),
      revision: host.tryGetIndex()?.table.revision ?? 0,
    });
  }
}

/** Time that a request may take at a slow endpoint, in milliseconds. */
function estimateLongestMs({ tokens }: RequestHead): number {
  return SLOW_START_MS + (tokens?.output ?? 0) * SLOW_TOKEN_MS;
}

/**
 * Lets the event loop read from sockets once more, so that a caller who has closed its connection
 * right behind a request that is read late is known to have left.
 */
function readClosedConnections(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
