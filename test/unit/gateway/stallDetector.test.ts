/** Sends that hang are given up only where the request may go on elsewhere. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createStallDetector, type WatchedAttempt } from '../../../src/gateway/stallDetector.js';
import type { RouteKind } from '../../../src/routing/types.js';

interface Times {
  pieceAt: number | undefined;
  heardAt: number;
}

function findStall(kind: RouteKind, isResumable: boolean, time: number, times: Times) {
  let stall: string | undefined;
  const watch = createStallDetector(() => time);
  const send: WatchedAttempt = {
    route: { kind, isResumable, objectiveMs: 400 },
    sentAt: 0,
    getLastChunkAt: () => times.pieceAt,
    getEndpointActivityAt: () => times.heardAt,
    onStalled(reason) {
      stall = reason;
    },
  };
  watch.add(send);
  watch.check();
  watch.close();
  return stall;
}

describe('the stall watch', () => {
  const dark: Times = { pieceAt: 100, heardAt: 100 };

  it('gives up a stream whose endpoint went silent, within a second', () => {
    assert.equal(findStall('stream', true, 1_100, dark), 'silent endpoint');
    assert.equal(findStall('stream', true, 900, dark), undefined);
  });

  it('waits longer while the endpoint is heard', () => {
    assert.equal(findStall('stream', true, 1_100, { pieceAt: 100, heardAt: 1_090 }), undefined);
    const silent = findStall('stream', true, 1_800, { pieceAt: 100, heardAt: 1_790 });
    assert.equal(silent, 'silent stream');
  });

  it('gives up an answer that does not begin', () => {
    const times: Times = { pieceAt: undefined, heardAt: 850 };
    assert.equal(findStall('idempotent', false, 850, times), 'no answer');
    assert.equal(findStall('idempotent', false, 700, times), undefined);
  });

  it('leaves what must not be sent twice to its deadline', () => {
    assert.equal(findStall('nonIdempotent', false, 9_000, dark), undefined);
    assert.equal(findStall('stream', false, 9_000, dark), undefined);
  });
});
