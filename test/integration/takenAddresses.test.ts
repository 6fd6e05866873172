/** Daemons that start while another process still holds one of their addresses. */

import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:net';
import { describe, it } from 'node:test';
import { request } from 'undici';
import { splitAddress } from '../../src/common/settings.js';
import { createDaemon, type DaemonKind } from '../fixtures/daemons.js';
import { delay, waitFor } from '../fixtures/deployment.js';
import type { TestProcess } from '../fixtures/processes.js';

/** Time for which the address stays taken after the first attempt. */
const HELD_MS = 1_000;
const kinds: readonly DaemonKind[] = ['entry', 'agent', 'keeper', 'gateway'];

function countEvents(daemon: TestProcess, name: string): number {
  return daemon.output.filter((line) => line.includes(`"event":"${name}"`)).length;
}

function take(address: string): Promise<Server> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

function giveBack(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

describe('an address that is taken', () => {
  for (const kind of kinds) {
    it(`for a while delays the start of a daemon (${kind}) and does not end it`, async () => {
      const daemon = await createDaemon(kind);
      const holder = await take(daemon.listen);
      const starting = daemon.start();
      try {
        await waitFor('the attempt', () => countEvents(starting, 'addressUnavailable') === 1);
        await delay(HELD_MS);
        assert.ok(starting.isRunning, starting.output.join('\n'));
        await giveBack(holder);
        await waitFor('the start', () => countEvents(starting, 'processStarted') === 1);
        assert.equal(countEvents(starting, 'addressUnavailable'), 1);
        assert.equal(countEvents(starting, 'addressAvailable'), 1);
        assert.equal(await starting.stop(), 0);
      } finally {
        await starting.kill();
        holder.close();
        daemon.removeFolder();
      }
    });

    it(`does not hold up the stop of a daemon (${kind}) that waits for it`, async () => {
      const daemon = await createDaemon(kind);
      const holder = await take(daemon.listen);
      const starting = daemon.start();
      try {
        await waitFor('the attempt', () => countEvents(starting, 'addressUnavailable') === 1);
        starting.signal('SIGTERM');
        await waitFor('the end', () => !starting.isRunning, 5_000);
        assert.equal(await starting.exited, 0);
        await waitFor('its last line', () => countEvents(starting, 'processStopped') === 1);
      } finally {
        await starting.kill();
        holder.close();
        daemon.removeFolder();
      }
    });

    it(`for its metrics does not keep a daemon (${kind}) from serving`, async () => {
      const daemon = await createDaemon(kind);
      const holder = await take(daemon.metricsListen);
      const starting = daemon.start();
      try {
        await waitFor('the start', () => countEvents(starting, 'processStarted') === 1);
        await waitFor('the attempt', () => countEvents(starting, 'addressUnavailable') === 1);
        await giveBack(holder);
        await waitFor('the metrics', () => countEvents(starting, 'addressAvailable') === 1);
        const { statusCode, body } = await request(`http://${daemon.metricsListen}/metrics`);
        assert.equal(statusCode, 200);
        await body.dump();
        assert.equal(await starting.stop(), 0);
      } finally {
        await starting.kill();
        holder.close();
        daemon.removeFolder();
      }
    });
  }

  it('for the readiness probe of a gateway keeps it from taking requests', async () => {
    const daemon = await createDaemon('gateway');
    const holder = await take(daemon.readyListen);
    const starting = daemon.start();
    try {
      await waitFor('the attempt', () => countEvents(starting, 'addressUnavailable') === 1);
      await assert.rejects(request(`http://${daemon.listen}/`), { code: 'ECONNREFUSED' });
      await giveBack(holder);
      await waitFor('the start', () => countEvents(starting, 'processStarted') === 1);
      const { body } = await request(`http://${daemon.listen}/`);
      await body.dump();
      assert.equal(await starting.stop(), 0);
    } finally {
      await starting.kill();
      holder.close();
      daemon.removeFolder();
    }
  });
});
