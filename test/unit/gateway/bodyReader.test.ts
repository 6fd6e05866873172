/** How much room the bodies of callers take, and how long. */

import assert from 'node:assert/strict';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { EventEmitter, once } from 'node:events';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { SystemClock } from '../../../src/common/clock.js';
import { createBodyReader } from '../../../src/gateway/bodyReader.js';

/** Six times the room for bodies. */
const MEMORY_MB = 24;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const WAIT_MS = 5_000;

function createSubject() {
  const clock = new SystemClock();
  const reader = createBodyReader({
    clock,
    memory: createClientMemory({ memoryMb: MEMORY_MB }),
    tryGetMaxBytes: () => MAX_BODY_BYTES,
  });

  /** Starts to read a body in chunks; `response` ends when its caller has the answer. */
  function start() {
    const stream = new PassThrough();
    const request = Object.assign(stream, { headers: { 'transfer-encoding': 'chunked' } });
    const response = new EventEmitter();
    const result = reader.read(
      request as unknown as IncomingMessage,
      response as unknown as ServerResponse,
      clock.now() + WAIT_MS,
    );
    return { stream, response, result };
  }

  return { start };
}

describe('bodies in chunks', () => {
  it('take only the room that they need while their requests run', async () => {
    const { start } = createSubject();
    const calls = Array.from({ length: 50 }, start);
    for (const { stream } of calls) stream.end('small');
    const results = await Promise.all(calls.map(({ result }) => result));
    assert.ok(results.every(({ kind }) => kind === 'body'));
  });

  it('wait for room in the middle, and are refused as not run if there is none', async () => {
    const { start } = createSubject();
    const first = start();
    first.stream.end(Buffer.alloc(MAX_BODY_BYTES - 128 * 1024));
    assert.equal((await first.result).kind, 'body');
    const refused = start();
    refused.stream.end(Buffer.alloc(512 * 1024));
    const result = await refused.result;
    assert.equal(result.kind === 'refused' && result.reply.status, 503);
    refused.response.emit('close');
    const waiting = start();
    waiting.stream.end(Buffer.alloc(512 * 1024));
    first.response.emit('close');
    assert.equal((await waiting.result).kind, 'body');
  });

  // A pipelined connection that ends closes all of its responses at once.
  it('give back the room that they get in the moment in which their response closes', async () => {
    const { start } = createSubject();
    const first = start();
    first.stream.end(Buffer.alloc(MAX_BODY_BYTES - 128 * 1024));
    assert.equal((await first.result).kind, 'body');
    const second = start();
    second.stream.end(Buffer.alloc(512 * 1024));
    await once(second.stream, 'end');
    first.response.emit('close');
    second.response.emit('close');
    await second.result;
    const third = start();
    third.stream.end(Buffer.alloc(MAX_BODY_BYTES - 128 * 1024));
    assert.equal((await third.result).kind, 'body');
  });

  // They were logged as refused, though nobody got the refusal.
  it('are not refused once their callers have left, waiting for room or in the middle', async () => {
    const { start } = createSubject();
    const first = start();
    first.stream.end(Buffer.alloc(MAX_BODY_BYTES - 128 * 1024));
    assert.equal((await first.result).kind, 'body');
    const waiting = start();
    waiting.stream.end(Buffer.alloc(512 * 1024));
    await once(waiting.stream, 'end');
    waiting.response.emit('close');
    assert.equal((await waiting.result).kind, 'left');
    const cut = start();
    cut.stream.write('part');
    cut.response.emit('close');
    cut.stream.destroy(new TypeError('aborted'));
    assert.equal((await cut.result).kind, 'left');
  });
});
