/** Attempts to listen on an address that stays taken. */

import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, it } from 'node:test';
import polka from 'polka';
import { toFailure } from '../../../src/common/failure.js';
import { listenOn } from '../../../src/common/httpServer.js';
import { retryListening } from '../../../src/common/listening.js';
import { splitAddress } from '../../../src/common/settings.js';
import { delay } from '../../fixtures/deployment.js';
import { getFreePort } from '../../fixtures/ports.js';

const HELD_MS = 500;

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

  it('leaves nothing behind of the attempts that have failed', async () => {
    const address = `127.0.0.1:${await getFreePort()}`;
    const { host, port } = splitAddress(address);
    const holder = createServer();
    await new Promise<void>((resolve) => {
      holder.listen(port, host, () => resolve());
    });
    const server = createServer();
    const listenerCount = server.listenerCount('listening');
    const starting = listenOn(polka({ server }), { logger: { event() {} }, address });
    await delay(HELD_MS);
    assert.equal(server.listenerCount('listening'), listenerCount);
    holder.close();
    await starting;
    server.close();
  });
});
