/**
 * Fake model engine with continuous batching in order of arrival, limited slots, a limited prefix
 * cache, streams that can be resumed and cancelled, and orders with a fencing token.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  getPrompt,
  getAnswerTokens,
  toChunkEvent,
  toCompletionBody,
  type FakeModelRequest,
} from './answers.js';
import { createPrefixCache } from './prefixCache.js';
import type { Recorder } from './recorder.js';
import type { FakeHandler } from './types.js';

const STEP_MS = 5;
const CHARACTERS_PER_TOKEN = 4;
/** Time that a finished stream can still be resumed. */
const STREAM_RETENTION_MS = 30_000;

/** Options of a fake engine. */
export interface EngineOptions {
  slots: number;
  /** Prompt tokens per second, over all requests. */
  prefillRate: number;
  /** Output tokens per second of each request. */
  decodeRate: number;
  cacheTokens: number;
  /** Limit of the prompt and output tokens of all running requests; none by default. */
  kvTokens?: number;
  checksFencing: boolean;
  /** A prompt that contains this text crashes the process. */
  crashText?: string;
  /** Answers without delay, to measure the overhead of the path to the engine. */
  instant?: boolean;
}

interface Stream {
  id: string;
  request: FakeModelRequest;
  prompt: string;
  tokens: string[];
  promptTokens: number;
  cachedTokens: number;
  computedTokens: number;
  emitted: number;
  /** Fraction of the next token that has been decoded. */
  tokenProgress: number;
  state: 'queued' | 'running' | 'finished' | 'cancelled';
  /** The answer so far. */
  chunks: Buffer[];
  length: number;
  listeners: Set<Listener>;
}

interface Listener {
  response: ServerResponse;
  sent: number;
}

/** Creates the engine's request handler. */
export function createEngine(options: EngineOptions, recorder: Recorder): FakeHandler {
  const streams = new Map<string, Stream>();
  const queue: Stream[] = [];
  const running = new Set<Stream>();
  const cache = createPrefixCache(options.cacheTokens);
  let slowdown = 1;
  /** The next answer that reaches this many bytes is cut off. */
  let cutAfter: number | undefined;
  let fencingToken = 0;
  let lastStep = performance.now();
  setInterval(step, STEP_MS);

  return { handle, control };

  function control(change: Record<string, unknown>): void {
    if (typeof change.slowdown === 'number') slowdown = change.slowdown;
    if (typeof change.cutAfter === 'number') cutAfter = change.cutAfter;
  }

  function handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const url = new URL(request.url ?? '/', 'http://localhost');
    const streamId = /^\/v1\/streams\/(.+)$/.exec(url.pathname)?.[1];
    if (streamId !== undefined) {
      if (request.method === 'DELETE') cancel(streamId, response);
      else resume(streamId, Number(url.searchParams.get('offset')), response);
      return;
    }
    if (url.pathname === '/v1/orders') {
      handleOrder(Number(request.headers['x-fencing-token']), body, response);
      return;
    }
    const traceparent = String(request.headers.traceparent ?? '');
    accept(String(request.headers['x-request-id']), traceparent, body, response);
  }

  function accept(id: string, traceparent: string, body: Buffer, response: ServerResponse): void {
    const request = JSON.parse(body.toString('utf8')) as FakeModelRequest;
    const prompt = getPrompt(request);
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    recorder.record('arrived', id, { promptTokens, detail: traceparent });
    if (options.crashText !== undefined && prompt.includes(options.crashText)) process.exit(70);
    const stream: Stream = {
      id,
      request,
      prompt,
      tokens: getAnswerTokens(request),
      promptTokens,
      cachedTokens: 0,
      computedTokens: 0,
      emitted: 0,
      tokenProgress: 0,
      state: 'queued',
      chunks: [],
      length: 0,
      listeners: new Set(),
    };
    streams.set(id, stream);
    queue.push(stream);
    const type = request.stream ? 'text/event-stream' : 'application/json';
    response.writeHead(200, { 'content-type': type });
    if (request.stream) response.flushHeaders();
    listen(stream, response, 0);
    if (options.instant) answerInstantly(stream);
  }

  function answerInstantly(stream: Stream): void {
    queue.pop();
    for (const token of stream.tokens) {
      if (stream.request.stream) emit(stream, toChunkEvent(stream.request.model, stream.id, token));
    }
    finish(stream);
  }

  function listen(stream: Stream, response: ServerResponse, offset: number): void {
    const listener = { response, sent: offset };
    stream.listeners.add(listener);
    response.on('close', () => stream.listeners.delete(listener));
    forward(stream, listener);
  }

  function resume(id: string, offset: number, response: ServerResponse): void {
    const stream = streams.get(id);
    if (stream === undefined || stream.state === 'cancelled') {
      response.writeHead(404).end();
      return;
    }
    recorder.record('resumed', id, { detail: String(offset) });
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    listen(stream, response, offset);
  }

  function cancel(id: string, response: ServerResponse): void {
    const stream = streams.get(id);
    if (stream !== undefined && (stream.state === 'queued' || stream.state === 'running')) {
      recorder.record('cancelled', id, { computedTokens: Math.round(stream.computedTokens) });
      stream.state = 'cancelled';
      running.delete(stream);
      const index = queue.indexOf(stream);
      if (index >= 0) queue.splice(index, 1);
      for (const listener of stream.listeners) listener.response.destroy();
    }
    response.writeHead(stream === undefined ? 404 : 200).end();
  }

  function handleOrder(token: number, body: Buffer, response: ServerResponse): void {
    const isStale = token < fencingToken;
    if (isStale && options.checksFencing) {
      response.writeHead(409).end();
      return;
    }
    recorder.record('order', String(token), { detail: body.toString('utf8') });
    fencingToken = Math.max(fencingToken, token);
    response.writeHead(200).end();
  }

  function step(): void {
    const now = performance.now();
    const seconds = (now - lastStep) / 1000 / slowdown;
    lastStep = now;
    admit();
    let prefillBudget = options.prefillRate * seconds;
    for (const stream of running) {
      const missingTokens = stream.promptTokens - stream.cachedTokens - stream.computedTokens;
      if (missingTokens > 0) {
        const computed = Math.min(missingTokens, prefillBudget);
        stream.computedTokens += computed;
        prefillBudget -= computed;
        if (computed < missingTokens) continue;
        cache.insert(stream.prompt);
      }
      decode(stream, seconds);
    }
  }

  function admit(): void {
    while (running.size < options.slots) {
      const stream = queue[0];
      if (stream === undefined || !fitsKvCache(stream)) return;
      queue.shift();
      stream.state = 'running';
      stream.cachedTokens = Math.min(cache.match(stream.prompt), stream.promptTokens - 1);
      running.add(stream);
      const { promptTokens, cachedTokens } = stream;
      recorder.record('started', stream.id, { promptTokens, cachedTokens });
    }
  }

  /** As in real engines, a request that does not fit blocks those behind it. */
  function fitsKvCache(next: Stream): boolean {
    if (options.kvTokens === undefined || running.size === 0) return true;
    let heldTokens = 0;
    for (const stream of running) heldTokens += stream.promptTokens + stream.tokens.length;
    return heldTokens + next.promptTokens + next.tokens.length <= options.kvTokens;
  }

  function decode(stream: Stream, seconds: number): void {
    if (stream.emitted === 0) recorder.record('firstToken', stream.id);
    stream.tokenProgress += stream.emitted === 0 ? 1 : options.decodeRate * seconds;
    while (stream.tokenProgress >= 1 && stream.emitted < stream.tokens.length) {
      stream.tokenProgress -= 1;
      const token = stream.tokens[stream.emitted];
      stream.emitted += 1;
      if (stream.request.stream) emit(stream, toChunkEvent(stream.request.model, stream.id, token));
    }
    if (stream.emitted === stream.tokens.length) finish(stream);
  }

  function finish(stream: Stream): void {
    const { request, id, promptTokens, cachedTokens } = stream;
    if (request.stream) {
      emit(stream, toChunkEvent(request.model, id, undefined));
      emit(stream, 'data: [DONE]\n\n');
    } else {
      emit(stream, toCompletionBody(request, id, promptTokens, cachedTokens));
    }
    stream.state = 'finished';
    running.delete(stream);
    recorder.record('finished', id, { promptTokens, cachedTokens });
    for (const listener of stream.listeners) forward(stream, listener);
    setTimeout(() => streams.delete(id), STREAM_RETENTION_MS).unref();
  }

  function emit(stream: Stream, text: string): void {
    const bytes = Buffer.from(text);
    stream.chunks.push(bytes);
    stream.length += bytes.length;
    for (const listener of stream.listeners) forward(stream, listener);
  }

  function forward(stream: Stream, listener: Listener): void {
    if (listener.sent < stream.length) {
      const bytes = readFrom(stream, listener.sent);
      listener.sent = stream.length;
      if (cutAfter !== undefined && listener.sent >= cutAfter) {
        cutAfter = undefined;
        listener.response.write(bytes.subarray(0, Math.floor(bytes.length / 2)), () => {
          listener.response.destroy();
        });
        stream.listeners.delete(listener);
        return;
      }
      listener.response.write(bytes);
    }
    if (stream.state === 'finished') listener.response.end();
  }

  function readFrom(stream: Stream, offset: number): Buffer {
    const last = stream.chunks.at(-1);
    // Fast path for the usual case: the listener lacks only the last chunk.
    if (last !== undefined && offset === stream.length - last.length) return last;
    return Buffer.concat(stream.chunks).subarray(offset);
  }
}
