/**
 * HTTP client of the endpoint: runs requests, resumes and cancels streams, probes health and sends
 * orders. Each dispatch is sent at most once.
 */

import type { Dispatcher } from 'undici';
import type { Dispatch, Header } from '../generated/dispatch.js';
import { createByteBuffer } from '../common/byteBuffer.js';
import { CONNECT_TIMEOUT_CODE } from '../common/endpointConnection.js';
import { createEndpointPool } from './endpointPool.js';
import type { TokenUsage } from './types.js';

const PROBE_TIMEOUT_MS = 700;
const ORDER_TIMEOUT_MS = 5_000;
const TAIL_BYTES = 4_096;
/** Bytes of an answer that wait while the entry grants no credit; each chunk of them is an object. */
const MAX_WAITING_BYTES = 16 * 1024;
/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te']);

/** An answer whose body has not been read. */
export interface EndpointAnswer {
  status: number;
  headers: Header[];
  body: Dispatcher.ResponseData['body'];
  isEventStream: boolean;
}

export type SendResult =
  | { kind: 'answer'; answer: EndpointAnswer }
  /** No byte of the request reached the endpoint. */
  | { kind: 'notSent'; reason: string }
  | { kind: 'failed'; reason: string };

/** Client of one endpoint. */
export interface EndpointClient {
  send(requestId: string, dispatch: Dispatch, signal: AbortSignal): Promise<SendResult>;
  resume(requestId: string, offset: number, signal: AbortSignal): Promise<SendResult>;
  cancel(requestId: string): Promise<void>;
  isHealthy(): Promise<boolean>;
  /** Returns whether the endpoint accepted the order. */
  sendOrder(body: object, fencingToken: number): Promise<boolean>;
  close(): Promise<void>;
}

/** Creates a client for the endpoint at `baseUrl`. */
export function createEndpointClient(
  baseUrl: string,
  connections: number,
  healthPath: string,
): EndpointClient {
  const requestPool = createEndpointPool(baseUrl, connections);
  // Probes, cancellations and orders have their own pool, as requests can occupy all of the other.
  const controlPool = createEndpointPool(baseUrl, 2);

  return { send, resume, cancel, isHealthy, sendOrder, close };

  function send(requestId: string, dispatch: Dispatch, signal: AbortSignal): Promise<SendResult> {
    const headers: Record<string, string> = { 'x-request-id': requestId };
    for (const header of dispatch.headers) headers[header.name] = header.value;
    if (dispatch.traceparent !== '') headers.traceparent = dispatch.traceparent;
    const body = dispatch.body.length > 0 ? dispatch.body : null;
    const { method } = dispatch;
    return request({ path: dispatch.path, method, headers, body, signal });
  }

  function resume(requestId: string, offset: number, signal: AbortSignal): Promise<SendResult> {
    return request({ path: `${toStreamPath(requestId)}?offset=${offset}`, method: 'GET', signal });
  }

  async function request(options: Dispatcher.RequestOptions): Promise<SendResult> {
    try {
      const response = await requestPool.request({ ...options, highWaterMark: MAX_WAITING_BYTES });
      return { kind: 'answer', answer: toAnswer(response) };
    } catch (caught) {
      const reason = toReason(caught);
      return { kind: isConnectError(reason) ? 'notSent' : 'failed', reason };
    }
  }

  async function cancel(requestId: string): Promise<void> {
    try {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      const answer = await controlPool.request({
        path: toStreamPath(requestId),
        method: 'DELETE',
        signal,
      });
      await answer.body.dump();
    } catch {
      // An endpoint that cannot be reached runs nothing that could be cancelled.
    }
  }

  async function isHealthy(): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      const answer = await controlPool.request({ path: healthPath, method: 'GET', signal });
      await answer.body.dump();
      return answer.statusCode < 500;
    } catch {
      return false;
    }
  }

  async function sendOrder(body: object, fencingToken: number): Promise<boolean> {
    try {
      const answer = await controlPool.request({
        path: '/v1/orders',
        method: 'POST',
        headers: { 'content-type': 'application/json', 'x-fencing-token': String(fencingToken) },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode < 300;
    } catch {
      return false;
    }
  }

  async function close(): Promise<void> {
    await Promise.all([requestPool.destroy(), controlPool.destroy()]);
  }
}

/** Reads the token counts from the end of an answer; counts that are missing are zero. */
export function readUsage(tail: string): TokenUsage {
  const read = (name: string): number => {
    const match = new RegExp(`"${name}"\\s*:\\s*(\\d+)`).exec(tail);
    return match === null ? 0 : Number(match[1]);
  };
  return {
    promptTokens: read('prompt_tokens'),
    cachedTokens: read('cached_tokens'),
    outputTokens: read('completion_tokens'),
  };
}

/** Buffer of the last bytes of a stream. */
export interface TailBuffer {
  push(data: Buffer): void;
  /** Returns the last bytes as text. */
  read(): string;
}

/** Creates an empty buffer. */
export function createTailBuffer(): TailBuffer {
  const tail = createByteBuffer();

  return {
    push(data) {
      tail.append(data.subarray(-TAIL_BYTES));
      if (tail.length > 2 * TAIL_BYTES) tail.discard(tail.length - TAIL_BYTES);
    },
    read: () => tail.read(Math.max(0, tail.length - TAIL_BYTES)).toString('utf8'),
  };
}

function toAnswer(response: Dispatcher.ResponseData): EndpointAnswer {
  const headers: Header[] = [];
  for (const [name, value] of Object.entries(response.headers)) {
    if (value === undefined || hopByHopHeaders.has(name)) continue;
    headers.push({ name, value: Array.isArray(value) ? value.join(', ') : value });
  }
  const type = String(response.headers['content-type'] ?? '');
  const isEventStream = type.startsWith('text/event-stream');
  return { status: response.statusCode, headers, body: response.body, isEventStream };
}

function toStreamPath(requestId: string): string {
  return `/v1/streams/${encodeURIComponent(requestId)}`;
}

function toReason(caught: unknown): string {
  const { code, message } = caught as { code?: string; message?: string };
  return code ?? message ?? 'unknown';
}

function isConnectError(reason: string): boolean {
  return ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', CONNECT_TIMEOUT_CODE].includes(reason);
}
