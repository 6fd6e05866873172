/** The HTTP API for callers: model requests, calls to plain services, health checks. */

import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import type { Clock } from '../common/clock.js';
import { RaisedFailure } from '../common/failure.js';
import { readBody, startServer } from '../common/httpServer.js';
import type { Logger } from '../common/logging.js';
import type { Header } from '../generated/dispatch.js';
import type { EntrySettings, PlainService, Team, Tier } from '../generated/schemas.js';
import { sendProblem } from './responseSinks.js';
import { isValidIdempotencyKey } from './claimedCalls.js';
import { digestKey, type Directory } from './directory.js';
import { parseModelRequest } from './modelRequest.js';
import { createRejection, type Problem, type ProblemKind } from './problem.js';
import type { CallerRequest } from './types.js';

const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
const DEFAULT_USEFUL_MS = 60_000;
/**
 * Longer than the usual idle time-outs of load balancers, so that the balancer and not this server
 * closes idle connections.
 */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const MAX_USEFUL_MS = 3_600_000;
const defaultIdempotentMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];
/** Request headers that are not forwarded to the endpoint. */
const excludedHeaders = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'te',
  'traceparent',
  'transfer-encoding',
  'upgrade',
  'x-request-id',
]);

/** A validated call, ready to run. */
export interface Call {
  request: CallerRequest;
  response: ServerResponse;
  traceparent: string | undefined;
  /** Idempotency key and the service name under which it is stored; undefined if none applies. */
  claim: { service: string; key: string } | undefined;
}

/** Dependencies of the API. */
export interface CallerApiHost {
  clock: Clock;
  logger: Logger;
  settings: EntrySettings;
  getDirectory(): Directory;
  isReady(): boolean;
  /** Waits a limited time for a current configuration and resolves with whether there is one. */
  waitUntilCurrent(): Promise<boolean>;
  run(call: Call): void;
}

export interface CallerApi {
  /** Stops listening; resolves when every response has been sent. */
  close(): Promise<void>;
}

interface Caller {
  keyDigest: string;
  team: Team;
  tier: Tier;
}

class RejectionError extends Error {
  public constructor(public readonly problem: Problem) {
    super(problem.detail);
  }
}

/** Starts to listen for calls. */
export function startCallerApi(host: CallerApiHost): Promise<CallerApi> {
  const maxBodyBytes = host.settings.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const app = polka();
  app.get('/healthz', (_request, response) => sendHealth(response, true));
  app.get('/readyz', (_request, response) => sendHealth(response, host.isReady()));
  app.get('/v1/models', (_request, response) => listModels(response));
  app.post('/v1/chat/completions', (request, response) => handle(request, response, readModelCall));
  app.post('/v1/completions', (request, response) => handle(request, response, readModelCall));
  app.all('/services/:name', (request, response) => handle(request, response, readServiceCall));
  app.all('/services/:name/*', (request, response) => handle(request, response, readServiceCall));

  return startServer(
    app,
    { logger: host.logger, address: host.settings.listen },
    KEEP_ALIVE_TIMEOUT_MS,
  );

  function listModels(response: ServerResponse): void {
    const data = host
      .getDirectory()
      .listModels()
      .map((id) => ({ id, object: 'model' }));
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ object: 'list', data }));
  }

  function handle(
    request: IncomingMessage,
    response: ServerResponse,
    readCall: (request: IncomingMessage, id: string) => Promise<Omit<Call, 'response'>>,
  ): void {
    const id = randomUUID();
    readCall(request, id)
      .then((call) => host.run({ ...call, response }))
      .catch((caught) => rejectCall(request, response, id, caught));
  }

  function rejectCall(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    caught: unknown,
  ): void {
    if (!(caught instanceof RejectionError)) throw caught;
    // The rest of the request body is not read, so the connection cannot be reused.
    if (!request.complete) response.setHeader('connection', 'close');
    sendProblem(response, caught.problem, id);
  }

  async function readModelCall(request: IncomingMessage, id: string) {
    const caller = await authenticate(request);
    const body = await readBodyWithinLimit(request);
    const parsed = parseModelRequest(body);
    if (parsed.kind === 'refused') throw new RejectionError(parsed.problem);
    const { model, promptTokens, outputTokens, prefixHash } = parsed.request;
    const target = { kind: 'model' as const, name: model };
    const pool = host.getDirectory().tryGetPool(target);
    if (pool === undefined) throw rejected('unknown_model', `no pool serves '${model}'`);
    const estimates = { promptTokens, outputTokens, prefixHash };
    const commonFields = createCommonFields(request, id, caller, pool, body);
    const key = tryGetIdempotencyKey(request);
    const claim = key === undefined ? undefined : { service: `model/${model}`, key };
    return {
      request: {
        ...commonFields,
        ...estimates,
        target,
        path: request.url ?? '/',
        idempotent: claim === undefined,
      },
      traceparent: tryGetHeader(request, 'traceparent'),
      claim,
    };
  }

  async function readServiceCall(request: IncomingMessage, id: string) {
    const caller = await authenticate(request);
    const { name, path } = splitServicePath(request.url ?? '');
    const service = host.getDirectory().tryGetService(name);
    if (service === undefined) throw rejected('unknown_service', `no service '${name}'`);
    const body = await readBodyWithinLimit(request);
    const idempotent = isIdempotent(service, request.method ?? 'GET');
    const key = tryGetIdempotencyKey(request);
    if (!idempotent && key === undefined && service.requireKey) {
      throw rejected('key_required', `calls of '${name}' that may not be repeated need a key`);
    }
    const estimates = { promptTokens: 0, outputTokens: 0, prefixHash: '' };
    const commonFields = createCommonFields(request, id, caller, service.pool, body);
    const claim = idempotent || key === undefined ? undefined : { service: name, key };
    return {
      request: {
        ...commonFields,
        ...estimates,
        target: { kind: 'service' as const, name },
        path,
        idempotent,
      },
      traceparent: tryGetHeader(request, 'traceparent'),
      claim,
    };
  }

  async function authenticate(request: IncomingMessage): Promise<Caller> {
    if (!(await host.waitUntilCurrent())) throw rejected('not_ready', 'no keeper renews the lease');
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1];
    const keyDigest = digestKey(key ?? '');
    const found = host.getDirectory().tryGetTeam(keyDigest);
    if (found === undefined) throw rejected('unauthorized', 'no team has this key');
    return { ...found, keyDigest };
  }

  async function readBodyWithinLimit(request: IncomingMessage): Promise<Buffer> {
    try {
      return await readBody(request, maxBodyBytes);
    } catch (caught) {
      if (!(caught instanceof RaisedFailure)) throw caught;
      throw rejected('too_large', caught.message);
    }
  }

  function createCommonFields(
    request: IncomingMessage,
    id: string,
    caller: Caller,
    pool: string,
    body: Buffer,
  ) {
    const now = host.clock.now();
    const method = request.method ?? 'GET';
    return {
      id,
      ...caller,
      pool,
      method,
      headers: listForwardedHeaders(request),
      body,
      digest: digestContent(pool, method, request.url ?? '', body),
      arrivedAt: now,
      deadline: now + readUsefulMs(request, caller.tier),
    };
  }
}

function isIdempotent(service: PlainService, method: string): boolean {
  const methods: readonly string[] = service.idempotentMethods ?? defaultIdempotentMethods;
  return methods.includes(method);
}

function readUsefulMs(request: IncomingMessage, tier: Tier): number {
  const header = tryGetHeader(request, 'x-useful-ms');
  if (header === undefined) return tier.usefulMs ?? DEFAULT_USEFUL_MS;
  const value = Number(header);
  if (Number.isInteger(value) && value > 0 && value <= MAX_USEFUL_MS) return value;
  throw rejected('bad_request', `'X-Useful-Ms' must be an integer from 1 to ${MAX_USEFUL_MS}`);
}

function tryGetIdempotencyKey(request: IncomingMessage): string | undefined {
  const key = tryGetHeader(request, 'idempotency-key');
  if (key === undefined || isValidIdempotencyKey(key)) return key;
  throw rejected('bad_request', "'Idempotency-Key' must have 1 to 255 characters");
}

function tryGetHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function listForwardedHeaders(request: IncomingMessage): Header[] {
  const headers: Header[] = [];
  for (const [name, value] of Object.entries(request.headers)) {
    if (typeof value === 'string' && !excludedHeaders.has(name)) headers.push({ name, value });
  }
  return headers;
}

function splitServicePath(url: string): { name: string; path: string } {
  const match = /^\/services\/([^/?]+)([^]*)$/.exec(url);
  const rest = match?.[2] ?? '';
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return { name: decodeSafely(match?.[1] ?? ''), path };
}

function decodeSafely(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return '';
  }
}

function digestContent(pool: string, method: string, url: string, body: Buffer): string {
  const hash = createHash('sha256').update(`${pool} ${method} ${url}\n`);
  return hash.update(body).digest('hex');
}

function rejected(kind: ProblemKind, detail: string): RejectionError {
  return new RejectionError(createRejection(kind, detail));
}

function sendHealth(response: ServerResponse, isHealthy: boolean): void {
  response.statusCode = isHealthy ? 200 : 503;
  response.end(isHealthy ? 'ok\n' : 'not ready\n');
}
