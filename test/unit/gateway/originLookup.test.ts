/** A gateway asks the keepers where a stream began. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createOriginLookup } from '../../../src/gateway/originLookup.js';
import type { StreamOrigin } from '../../../src/generated/control.js';
import { createStreamOrigins, type KeeperQuestion } from '../../../src/streams/streamOrigins.js';
import { createTestOrigin } from '../../fixtures/streamOrigin.js';

/** Creates a lookup; `answers` are the origins that the keepers return to each question in turn. */
function createLookup(answers: StreamOrigin[][], ended = Promise.resolve()) {
  const questions: string[][] = [];
  const origins = createStreamOrigins(() => 0);
  const askKeepers: KeeperQuestion = (callIds, onOrigins) => {
    onOrigins(answers[questions.length] ?? []);
    questions.push(callIds);
    return ended;
  };
  return { questions, origins, lookup: createOriginLookup({ origins, askKeepers }) };
}

describe('the lookup of stream origins', () => {
  it('asks about requests that arrive together at once', async () => {
    const { lookup, questions } = createLookup([[createTestOrigin('a'), createTestOrigin('b')]]);
    const found = await Promise.all(['a', 'b', 'a'].map((callId) => lookup.tryFind(callId)));
    assert.deepEqual(
      found.map((origin) => origin?.callId),
      ['a', 'b', 'a'],
    );
    assert.deepEqual(questions, [['a', 'b']]);
  });

  it('does not wait for keepers that do not answer once one knows the origin', async () => {
    const never = new Promise<void>(() => {});
    const { lookup } = createLookup([[createTestOrigin('a')]], never);
    assert.equal((await lookup.tryFind('a'))?.callId, 'a');
  });

  it('asks again about a stream that has just begun', async () => {
    const { lookup, questions } = createLookup([[], [createTestOrigin('a')]]);
    assert.equal((await lookup.tryFind('a'))?.callId, 'a');
    assert.equal(questions.length, 2);
  });

  it('returns nothing about a stream that nobody knows', async () => {
    const { lookup } = createLookup([]);
    assert.equal(await lookup.tryFind('a'), undefined);
  });

  it('does not ask about streams of this gateway', async () => {
    const { lookup, origins, questions } = createLookup([]);
    origins.record(createTestOrigin('a'));
    assert.equal((await lookup.tryFind('a'))?.callId, 'a');
    assert.deepEqual(questions, []);
  });
});
