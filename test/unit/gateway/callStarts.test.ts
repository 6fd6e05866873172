/** In which order and how soon requests are started that a gateway has read. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { awaitTurns } from '../../../src/common/eventLoop.js';
import { createCallStarts, type CallStarts } from '../../../src/gateway/callStarts.js';

interface Fixture {
  clock: VirtualClock;
  starts: CallStarts;
  /** Names of the requests that were started, in order. */
  started: string[];
  /** Names of those that were refused. */
  refused: string[];
  submit(name: string, routeRank: number, teamRank?: number): void;
}

/** Draws are `random`, so that 0 chooses the first of the candidates. Each start takes `startMs`. */
function createFixture(random = 0, startMs = 10): Fixture {
  const clock = new VirtualClock();
  const starts = createCallStarts({ now: () => clock.now(), random: () => random });
  const started: string[] = [];
  const refused: string[] = [];
  return {
    clock,
    starts,
    started,
    refused,
    submit(name, routeRank, teamRank = 0) {
      void starts.wait({ teamRank, routeRank, isContinued: false }).then((refusal) => {
        (refusal === undefined ? started : refused).push(name);
        if (refusal === undefined) clock.advance(startMs);
      });
    },
  };
}

describe('requests that have been read', () => {
  it('are started over several turns of the event loop, the most urgent ones first', async () => {
    const { starts, started, submit } = createFixture();
    submit('batch', 2);
    submit('query', 1);
    submit('urgent', 0);
    submit('other team', 0, 1);
    await awaitTurns(1);
    assert.equal(starts.waitingCount, 3);
    await awaitTurns(3);
    assert.deepEqual(started, ['urgent', 'query', 'batch', 'other team']);
  });

  it('are started in one turn if that takes little time', async () => {
    const { started, submit } = createFixture(0, 1);
    for (const name of ['a', 'b', 'c']) submit(name, 1);
    await awaitTurns(2);
    assert.deepEqual(started, ['a', 'b', 'c']);
  });

  it('are refused when they have waited too long, but for one', async () => {
    const { clock, started, refused, submit } = createFixture();
    for (const name of ['a', 'b', 'c']) submit(name, 1);
    clock.advance(401);
    submit('new', 1);
    await awaitTurns(4);
    assert.deepEqual(refused, ['b', 'c']);
    assert.deepEqual(started, ['a', 'new']);
  });

  it('are started now and then although more urgent ones wait', async () => {
    const { started, submit } = createFixture(0.99);
    submit('batch', 2);
    for (let count = 0; count < 8; count += 1) submit('urgent', 0);
    await awaitTurns(5);
    assert.equal(started.indexOf('batch'), 3);
  });

  it('of new callers are not passed over by callers that send again at once', async () => {
    const { started, submit } = createFixture(0.99);
    submit('sent again', 1);
    submit('new', 1);
    await awaitTurns(1);
    assert.deepEqual(started, ['new']);
  });

  it('wait no longer when the gateway stops', async () => {
    const { starts, started, submit } = createFixture();
    for (const name of ['a', 'b']) submit(name, 1);
    starts.stop();
    submit('c', 1);
    await Promise.resolve();
    assert.deepEqual(started, ['a', 'b', 'c']);
  });
});
