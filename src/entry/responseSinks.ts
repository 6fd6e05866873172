/** Response sinks that stream a response to the caller or buffer it until it is complete. */

import type { ServerResponse } from 'node:http';
import { createByteBuffer, type ByteBuffer } from '../common/byteBuffer.js';
import type { Header } from '../generated/dispatch.js';
import { getStatus, toProblemBody, tryGetRetryAfterSeconds, type Problem } from './problem.js';
import type { RequestResult, ResponseSink } from './types.js';

/** Responses up to this size, except event streams, are held back until they are complete. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** A complete response in memory. */
export interface BufferedResponse {
  status: number;
  headers: Header[];
  body: Buffer;
  agentId: string;
}

/**
 * Creates a sink that sends the response to the caller as it arrives. The caller can tell an
 * incomplete response from a complete one: it ends in a problem or a broken connection.
 */
export function createStreamingSink(
  response: ServerResponse,
  requestId: string,
  onEnd: (result: RequestResult) => void,
): ResponseSink {
  /** Undefined once the response is sent as it arrives. */
  let held: ByteBuffer | undefined;
  let isEventStream = false;

  return { start, write, end };

  function start(status: number, headers: readonly Header[], agentId: string): void {
    if (response.destroyed) return;
    isEventStream = headers.some(
      ({ name, value }) => name === 'content-type' && value.startsWith('text/event-stream'),
    );
    setResponseHead(response, status, headers, requestId, agentId);
    if (isEventStream) response.flushHeaders();
    else held = createByteBuffer();
  }

  function write(data: Buffer, onConsumed: () => void): void {
    if (response.destroyed) {
      onConsumed();
      return;
    }
    if (held === undefined) {
      send(data, onConsumed);
      return;
    }
    held.append(data);
    if (held.length <= MAX_BUFFERED_BYTES) {
      onConsumed();
      return;
    }
    const bytes = held.take();
    held = undefined;
    send(bytes, onConsumed);
  }

  /** Bytes count as consumed once the connection's write buffer is no longer full. */
  function send(data: Buffer, onConsumed: () => void): void {
    if (response.write(data)) onConsumed();
    else response.once('drain', onConsumed);
  }

  function end(result: RequestResult): void {
    onEnd(result);
    if (response.destroyed) return;
    if (result.kind === 'complete') {
      response.end(held?.take());
      return;
    }
    failResponse(response, result.problem, requestId, isEventStream);
  }
}

/** Creates a sink that keeps the response in memory until the request has ended. */
export function createBufferingSink(
  onEnd: (buffered: BufferedResponse, result: RequestResult) => void,
): ResponseSink {
  const buffered: BufferedResponse = { status: 0, headers: [], body: Buffer.alloc(0), agentId: '' };
  const body = createByteBuffer();

  return {
    start(status, headers, agentId) {
      buffered.status = status;
      buffered.headers = [...headers];
      buffered.agentId = agentId;
    },
    write(data, onConsumed) {
      body.append(data);
      onConsumed();
    },
    end(result) {
      buffered.body = body.take();
      onEnd(buffered, result);
    },
  };
}

export function sendBufferedResponse(
  response: ServerResponse,
  buffered: BufferedResponse,
  requestId: string,
): void {
  if (response.destroyed) return;
  setResponseHead(response, buffered.status, buffered.headers, requestId, buffered.agentId);
  response.end(buffered.body);
}

/** Sends a problem as the entire response. */
export function sendProblem(response: ServerResponse, problem: Problem, requestId: string): void {
  if (response.destroyed) return;
  const retryAfterSeconds = tryGetRetryAfterSeconds(problem);
  if (retryAfterSeconds !== undefined) response.setHeader('retry-after', retryAfterSeconds);
  response.statusCode = getStatus(problem);
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('x-request-id', requestId);
  response.end(toProblemBody(problem, requestId));
}

function setResponseHead(
  response: ServerResponse,
  status: number,
  headers: readonly Header[],
  requestId: string,
  agentId: string,
): void {
  response.statusCode = status;
  for (const { name, value } of headers) response.setHeader(name, value);
  response.setHeader('x-request-id', requestId);
  response.setHeader('x-endpoint', agentId);
}

function failResponse(
  response: ServerResponse,
  problem: Problem,
  requestId: string,
  isEventStream: boolean,
): void {
  if (!response.headersSent) {
    for (const name of response.getHeaderNames()) response.removeHeader(name);
    sendProblem(response, problem, requestId);
    return;
  }
  // Close the connection so that no client mistakes the partial response for a complete one.
  if (!isEventStream) {
    response.destroy();
    return;
  }
  const body = toProblemBody(problem, requestId);
  response.write(`data: ${body}\n\n`, () => response.destroy());
}
