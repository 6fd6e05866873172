/** The callers' HTTP interface. */

import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import type { Clock } from '../common/clock.js';
import { RaisedFailure } from '../common/failure.js';
import { closeServer, listenOn, readBody } from '../common/httpServer.js';
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
/** Longer than balancers usually keep idle connections, so that they close them and not we. */
const KEEP_ALIVE_MS = 75_000;
const MAX_USEFUL_MS = 3_600_000;
const defaultIdempotentMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];
/** Headers of the caller that are not passed on to the endpoint. */
const droppedHeaders = new Set([
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

/** A checked call and how it is to be run. */
export interface Call {
  request: CallerRequest;
  response: ServerResponse;
  traceparent: string | undefined;
  /** Idempotency key and the name it is kept under. */
  claim: { service: string; key: string } | undefined;
}

/** What the interface needs from outside. */
export interface CallerApiHost {
  clock: Clock;
  settings: EntrySettings;
  getDirectory(): Directory;
  isReady(): boolean;
  /** Resolves with whether the configuration is current, after waiting a while for it. */
  waitUntilCurrent(): Promise<boolean>;
  run(call: Call): void;
}

/** The running interface. */
export interface CallerApi {
  /** Stops listening; resolves when every answer has been sent. */
  close(): Promise<void>;
}

interface Caller {
  keyDigest: string;
  team: Team;
  tier: Tier;
}

class Refusal extends Error {
  public constructor(public readonly problem: Problem) {
    super(problem.detail);
  }
}

/** Starts the interface. */
export function startCallerApi(host: CallerApiHost): Promise<CallerApi> {
  const maxBodyBytes = host.settings.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const app = polka();
  app.get('/healthz', (_request, response) => sendStatus(response, true));
  app.get('/readyz', (_request, response) => sendStatus(response, host.isReady()));
  app.get('/v1/models', (_request, response) => listModels(response));
  app.post('/v1/chat/completions', (request, response) => handle(request, response, readModelCall));
  app.post('/v1/completions', (request, response) => handle(request, response, readModelCall));
  app.all('/services/:name', (request, response) => handle(request, response, readServiceCall));
  app.all('/services/:name/*', (request, response) => handle(request, response, readServiceCall));

  return start();

  async function start(): Promise<CallerApi> {
    await listenOn(app, host.settings.listen);
    if (app.server !== undefined) app.server.keepAliveTimeout = KEEP_ALIVE_MS;
    return { close: () => closeServer(app.server) };
  }

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
    read: (request: IncomingMessage, id: string) => Promise<Omit<Call, 'response'>>,
  ): void {
    const id = randomUUID();
    read(request, id)
      .then((call) => host.run({ ...call, response }))
      .catch((caught) => refuse(request, response, id, caught));
  }

  function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    caught: unknown,
  ): void {
    if (!(caught instanceof Refusal)) throw caught;
    // The rest of the body is not read, so the connection cannot be used again.
    if (!request.complete) response.setHeader('connection', 'close');
    sendProblem(response, caught.problem, id);
  }

  async function readModelCall(request: IncomingMessage, id: string) {
    const caller = await authenticate(request);
    const body = await readLimited(request);
    const parsed = parseModelRequest(body);
    if (parsed.kind === 'refused') throw new Refusal(parsed.problem);
    const { model, promptTokens, outputTokens, prefixHash } = parsed.request;
    const target = { kind: 'model' as const, name: model };
    const pool = host.getDirectory().tryGetPool(target);
    if (pool === undefined) throw refusal('unknown_model', `no pool serves '${model}'`);
    const measured = { promptTokens, outputTokens, prefixHash };
    const base = createBase(request, id, caller, pool, body);
    const key = tryGetKey(request);
    const claim = key === undefined ? undefined : { service: `model/${model}`, key };
    return {
      request: {
        ...base,
        ...measured,
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
    if (service === undefined) throw refusal('unknown_service', `no service '${name}'`);
    const body = await readLimited(request);
    const idempotent = isIdempotent(service, request.method ?? 'GET');
    const key = tryGetKey(request);
    if (!idempotent && key === undefined && service.requireKey) {
      throw refusal('key_required', `calls of '${name}' that may not be repeated need a key`);
    }
    const measured = { promptTokens: 0, outputTokens: 0, prefixHash: '' };
    const base = createBase(request, id, caller, service.pool, body);
    const claim = idempotent || key === undefined ? undefined : { service: name, key };
    return {
      request: {
        ...base,
        ...measured,
        target: { kind: 'service' as const, name },
        path,
        idempotent,
      },
      traceparent: tryGetHeader(request, 'traceparent'),
      claim,
    };
  }

  async function authenticate(request: IncomingMessage): Promise<Caller> {
    if (!(await host.waitUntilCurrent())) throw refusal('not_ready', 'no keeper renews the lease');
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1];
    const keyDigest = digestKey(key ?? '');
    const found = host.getDirectory().tryGetTeam(keyDigest);
    if (found === undefined) throw refusal('unauthorized', 'no team has this key');
    return { ...found, keyDigest };
  }

  async function readLimited(request: IncomingMessage): Promise<Buffer> {
    try {
      return await readBody(request, maxBodyBytes);
    } catch (caught) {
      if (!(caught instanceof RaisedFailure)) throw caught;
      throw refusal('too_large', caught.message);
    }
  }

  function createBase(
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
      headers: listPassedHeaders(request),
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
  throw refusal('bad_request', `'X-Useful-Ms' must be an integer from 1 to ${MAX_USEFUL_MS}`);
}

function tryGetKey(request: IncomingMessage): string | undefined {
  const key = tryGetHeader(request, 'idempotency-key');
  if (key === undefined || isValidIdempotencyKey(key)) return key;
  throw refusal('bad_request', "'Idempotency-Key' must have 1 to 255 characters");
}

function tryGetHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function listPassedHeaders(request: IncomingMessage): Header[] {
  const headers: Header[] = [];
  for (const [name, value] of Object.entries(request.headers)) {
    if (typeof value === 'string' && !droppedHeaders.has(name)) headers.push({ name, value });
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

function refusal(kind: ProblemKind, detail: string): Refusal {
  return new Refusal(createRejection(kind, detail));
}

function sendStatus(response: ServerResponse, isGood: boolean): void {
  response.statusCode = isGood ? 200 : 503;
  response.end(isGood ? 'ok\n' : 'not ready\n');
}
