/** Attempts to listen on an address that stays taken. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toFailure } from '../../../src/common/failure.js';
import { retryListening } from '../../../src/common/listening.js';

describe('listening', () => {
  it('on an address that stays taken fails after the timeout, with one log line', async () => {
    const events: string[] = [];
    const target = {
      logger: { event: (name: string) => void events.push(name) },
      address: '127.0.0.1:1',
      timeoutMs: 350,
    };
    let attemptCount = 0;
    await assert.rejects(
      retryListening(target, () => {
        attemptCount += 1;
        return Promise.reject(new TypeError('taken'));
      }),
      (caught) => toFailure(caught).kind === 'unavailable',
    );
    assert.ok(attemptCount > 2);
    assert.deepEqual(events, ['addressUnavailable']);
  });
});
