/** Where answers go: straight to the caller, or into memory until they are whole. */

import type { ServerResponse } from 'node:http';
import type { Header } from '../generated/dispatch.js';
import { getStatus, toProblemBody, tryGetRetryAfterSeconds, type Problem } from './problem.js';
import type { ResponseSink, RequestResult } from './types.js';

/** Up to this size an answer that is no event stream is held back until it is whole. */
const HOLD_BYTES = 256 * 1024;

/** A whole answer in memory. */
export interface WholeAnswer {
  status: number;
  headers: Header[];
  body: Buffer;
  agentId: string;
}

/** Sends an answer to the caller while it arrives; a short one ends in a visible error. */
export function createCallerSink(
  response: ServerResponse,
  requestId: string,
  onEnd: (end: RequestResult) => void,
): ResponseSink {
  let held: Buffer[] | undefined;
  let heldBytes = 0;
  let isEventStream = false;

  return { start, write, end };

  function start(status: number, headers: readonly Header[], agentId: string): void {
    if (response.destroyed) return;
    isEventStream = headers.some(
      ({ name, value }) => name === 'content-type' && value.startsWith('text/event-stream'),
    );
    writeAnswerHead(response, status, headers, requestId, agentId);
    if (isEventStream) response.flushHeaders();
    else held = [];
  }

  function write(data: Buffer, onTaken: () => void): void {
    if (response.destroyed) {
      onTaken();
      return;
    }
    if (held === undefined) {
      send(data, onTaken);
      return;
    }
    held.push(data);
    heldBytes += data.length;
    if (heldBytes <= HOLD_BYTES) {
      onTaken();
      return;
    }
    const bytes = Buffer.concat(held);
    held = undefined;
    send(bytes, onTaken);
  }

  /** Bytes count as taken once the connection's buffer is not full. */
  function send(data: Buffer, onTaken: () => void): void {
    if (response.write(data)) onTaken();
    else response.once('drain', onTaken);
  }

  function end(requestEnd: RequestResult): void {
    onEnd(requestEnd);
    if (response.destroyed) return;
    if (requestEnd.kind === 'complete') {
      response.end(held === undefined ? undefined : Buffer.concat(held));
      return;
    }
    failAnswer(response, requestEnd.problem, requestId, isEventStream);
  }
}

/** Keeps an answer until it is whole. */
export function createHoldingSink(
  onEnd: (answer: WholeAnswer, end: RequestResult) => void,
): ResponseSink {
  const answer: WholeAnswer = { status: 0, headers: [], body: Buffer.alloc(0), agentId: '' };
  const pieces: Buffer[] = [];

  return {
    start(status, headers, agentId) {
      answer.status = status;
      answer.headers = [...headers];
      answer.agentId = agentId;
    },
    write(data, onTaken) {
      pieces.push(data);
      onTaken();
    },
    end(requestEnd) {
      answer.body = Buffer.concat(pieces);
      onEnd(answer, requestEnd);
    },
  };
}

/** Sends a whole answer. */
export function sendWholeAnswer(
  response: ServerResponse,
  answer: WholeAnswer,
  requestId: string,
): void {
  if (response.destroyed) return;
  writeAnswerHead(response, answer.status, answer.headers, requestId, answer.agentId);
  response.end(answer.body);
}

/** Sends a problem as the whole answer. */
export function sendProblem(response: ServerResponse, problem: Problem, requestId: string): void {
  if (response.destroyed) return;
  const retryAfter = tryGetRetryAfterSeconds(problem);
  if (retryAfter !== undefined) response.setHeader('retry-after', retryAfter);
  response.statusCode = getStatus(problem);
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('x-request-id', requestId);
  response.end(toProblemBody(problem, requestId));
}

function writeAnswerHead(
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

function failAnswer(
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
  // The connection is broken off, so that no client takes the part for the whole.
  if (!isEventStream) {
    response.destroy();
    return;
  }
  const body = toProblemBody(problem, requestId);
  response.write(`data: ${body}\n\n`, () => response.destroy());
}
