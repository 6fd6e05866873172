/** Which request bodies are read at once. */

import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';
import { createBodyAdmission } from '../../../src/common/bodyAdmission.js';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { delay } from '../../../src/common/delay.js';
import { toFailure } from '../../../src/common/failure.js';

const LARGE = { 'content-length': String(4 * 1024 * 1024) };
const CHUNKED = { 'transfer-encoding': 'chunked' };
const SMALL = { 'content-length': '70000' };

/** Admits bodies; each is handled until `finish` is called with its name. */
function createSubject() {
  const admission = createBodyAdmission(createClientMemory());
  const started: string[] = [];
  const finishers = new Map<string, () => void>();
  const admit = (name: string, headers: IncomingMessage['headers']): Promise<string> => {
    const request = { headers, complete: true } as IncomingMessage;
    return admission.run(request, () => {
      started.push(name);
      return new Promise((resolve) => {
        finishers.set(name, () => resolve(name));
      });
    });
  };
  const finish = async (name: string): Promise<void> => {
    finishers.get(name)?.();
    await delay(0);
  };
  return { admit, finish, started };
}

describe('bodies of requests', () => {
  it('that are large are read in turn, four at a time, and small ones at once', async () => {
    const { admit, finish, started } = createSubject();
    const names = ['a', 'b', 'c', 'd', 'e', 'f'];
    const results = names.map((name) => admit(name, name === 'b' ? CHUNKED : LARGE));
    const small = admit('small', SMALL);
    await delay(0);
    assert.deepEqual(started.toSorted(), ['a', 'b', 'c', 'd', 'small']);
    await finish('small');
    await finish('b');
    assert.deepEqual(started.slice(5), ['e']);
    for (const name of ['a', 'c', 'd', 'e', 'f']) await finish(name);
    assert.deepEqual(await Promise.all(results), names);
    assert.equal(await small, 'small');
  });

  it('that wait too long are refused before they are read', async () => {
    const { admit, finish, started } = createSubject();
    const names = ['a', 'b', 'c', 'd'];
    const results = names.map((name) => admit(name, LARGE));
    const refused = await admit('e', LARGE).catch((caught: unknown) => toFailure(caught));
    assert.deepEqual(refused, { kind: 'overloaded', retryAfterMs: 1_000 });
    for (const name of names) await finish(name);
    await Promise.all(results);
    assert.deepEqual(started, names);
  });

  // 400 bodies of 512 KiB without their end took a keeper 270 MB.
  it('that are small are read at once as long as there is room for them', async () => {
    const { admit, finish, started } = createSubject();
    const names = Array.from({ length: 40 }, (_unused, index) => `small-${index}`);
    const results = names.map((name) => admit(name, { 'content-length': String(512 * 1024) }));
    const tiny = admit('tiny', { 'content-length': '300' });
    await delay(0);
    // 32 fill the room, and four more are read in place of large ones.
    assert.equal(started.length, 37);
    assert.equal(started.at(-1), 'tiny');
    await finish('tiny');
    await finish('small-32');
    assert.equal(started.at(-1), 'small-36');
    for (const name of names) await finish(name);
    assert.deepEqual(await Promise.all(results), names);
    assert.equal(await tiny, 'tiny');
  });

  it('that fail make room for others', async () => {
    const admission = createBodyAdmission(createClientMemory());
    const request = { headers: LARGE, complete: true } as IncomingMessage;
    for (let count = 0; count < 6; count += 1) {
      const failing = admission.run(request, () => Promise.reject(new TypeError('cut off')));
      await assert.rejects(failing, TypeError);
    }
  });
});
