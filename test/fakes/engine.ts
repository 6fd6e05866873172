/**
 * A stand-in for a model engine: continuous batching in the order of arrival, limited slots and
 * prefix cache, streams that can be resumed and cancelled, orders with a fencing token.
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
const KEEP_MS = 30_000;

/** Abilities of a stand-in engine. */
export interface EngineOptions {
  slots: number;
  /** Tokens a second, shared by all prompts. */
  prefillRate: number;
  /** Tokens a second of each request. */
  decodeRate: number;
  cacheTokens: number;
  /** Tokens of prompt and output that running requests may hold; no limit by default. */
  kvTokens?: number;
  checksFencing: boolean;
  /** A prompt that contains this text ends the process. */
  crashText?: string;
  /** Answers at once, for measuring what the way to the engine costs. */
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
  /** Fraction of the next token that is done. */
  credit: number;
  state: 'queued' | 'running' | 'finished' | 'cancelled';
  /** The answer's bytes so far. */
  bytes: Buffer[];
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
  /** The next answer is cut after this many bytes. */
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
      takeOrder(Number(request.headers['x-fencing-token']), body, response);
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
      credit: 0,
      state: 'queued',
      bytes: [],
      length: 0,
      listeners: new Set(),
    };
    streams.set(id, stream);
    queue.push(stream);
    const type = request.stream ? 'text/event-stream' : 'application/json';
    response.writeHead(200, { 'content-type': type });
    if (request.stream) response.flushHeaders();
    listen(stream, response, 0);
    if (options.instant) answerAtOnce(stream);
  }

  function answerAtOnce(stream: Stream): void {
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
      const at = queue.indexOf(stream);
      if (at >= 0) queue.splice(at, 1);
      for (const listener of stream.listeners) listener.response.destroy();
    }
    response.writeHead(stream === undefined ? 404 : 200).end();
  }

  function takeOrder(token: number, body: Buffer, response: ServerResponse): void {
    const isOld = token < fencingToken;
    if (isOld && options.checksFencing) {
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
      const missing = stream.promptTokens - stream.cachedTokens - stream.computedTokens;
      if (missing > 0) {
        const computed = Math.min(missing, prefillBudget);
        stream.computedTokens += computed;
        prefillBudget -= computed;
        if (computed < missing) continue;
        cache.insert(stream.prompt);
      }
      decode(stream, seconds);
    }
  }

  function admit(): void {
    while (running.size < options.slots) {
      const stream = queue[0];
      if (stream === undefined || !hasKvRoom(stream)) return;
      queue.shift();
      stream.state = 'running';
      stream.cachedTokens = Math.min(cache.match(stream.prompt), stream.promptTokens - 1);
      running.add(stream);
      const { promptTokens, cachedTokens } = stream;
      recorder.record('started', stream.id, { promptTokens, cachedTokens });
    }
  }

  /** As in real engines, a request that does not fit holds up those behind it. */
  function hasKvRoom(next: Stream): boolean {
    if (options.kvTokens === undefined || running.size === 0) return true;
    let held = 0;
    for (const stream of running) held += stream.promptTokens + stream.tokens.length;
    return held + next.promptTokens + next.tokens.length <= options.kvTokens;
  }

  function decode(stream: Stream, seconds: number): void {
    if (stream.emitted === 0) recorder.record('firstToken', stream.id);
    stream.credit += stream.emitted === 0 ? 1 : options.decodeRate * seconds;
    while (stream.credit >= 1 && stream.emitted < stream.tokens.length) {
      stream.credit -= 1;
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
    setTimeout(() => streams.delete(id), KEEP_MS).unref();
  }

  function emit(stream: Stream, text: string): void {
    const bytes = Buffer.from(text);
    stream.bytes.push(bytes);
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
    const last = stream.bytes.at(-1);
    // The usual case: the listener has all but the last piece.
    if (last !== undefined && offset === stream.length - last.length) return last;
    return Buffer.concat(stream.bytes).subarray(offset);
  }
}
