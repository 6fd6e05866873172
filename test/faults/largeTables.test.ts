/** Tables close to the largest size that keepers take, from several operators at once. */

import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { request } from 'undici';
import { delay, waitFor } from '../fixtures/deployment.js';
import { createLayoutTable } from '../fixtures/layoutCalls.js';
import { createPlatformLayout, type PlatformLayout } from '../fixtures/platformLayout.js';

const NETWORK = 9;
const MEMORY_LIMIT_KIB = (346 * 1_000_000) / 1_024;
/** Makes a table of 4.18 MB; the limit is 4 MiB. */
const PADDING_ROUTES = 19_900;
const PATH = '/turmericrack/config/replace';
const CHANGES = 90;
const OPERATORS = 8;
const CALL_TIMEOUT_MS = 5_000;
const CHANGE_TIMEOUT_MS = 20_000;
const RETRY_PAUSE_MS = 100;

interface Answer {
  status: number;
  retryAfter: string | undefined;
}

const largeTable = JSON.stringify(createLayoutTable(0, PADDING_ROUTES));

function createLargeBody(version: number): Buffer {
  return Buffer.from(largeTable.replace('"version":0', `"version":${version}`));
}

async function tryDeclare(address: string, body: Buffer | string): Promise<Answer | undefined> {
  try {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const response = await request(`http://${address}${PATH}`, { method: 'POST', body, signal });
    await response.body.dump();
    return { status: response.statusCode, retryAfter: String(response.headers['retry-after']) };
  } catch {
    return undefined;
  }
}

async function readVersion(address: string): Promise<number | undefined> {
  try {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const url = `http://${address}/turmericrack/config/read`;
    const { body } = await request(url, { signal });
    return ((await body.json()) as { version: number }).version;
  } catch {
    return undefined;
  }
}

async function withKeepers(run: (layout: PlatformLayout) => Promise<void>): Promise<void> {
  const layout = await createPlatformLayout({ keeper: 3, gateway: 0 }, NETWORK);
  try {
    for (const machine of layout.machines) layout.start(machine, true);
    for (const address of layout.controlAddresses) {
      const first = JSON.stringify(createLayoutTable(1));
      await waitFor('the first table', async () => {
        const answer = await tryDeclare(address, first);
        return answer?.status === 200;
      });
    }
    await run(layout);
    assert.deepEqual(layout.unexpectedEnds, []);
  } finally {
    await layout.stop();
  }
}

/** Returns the versions that no keeper has acknowledged in time. */
async function declareAll({ controlAddresses }: PlatformLayout): Promise<number[]> {
  const givenUp: number[] = [];
  let next = 2;
  const operators = Array.from({ length: OPERATORS }, async (_unused, index) => {
    while (next < 2 + CHANGES) {
      const version = next;
      next += 1;
      if (!(await declare(version, index))) givenUp.push(version);
    }
  });
  await Promise.all(operators);
  return givenUp;

  async function declare(version: number, first: number): Promise<boolean> {
    const body = createLargeBody(version);
    const deadline = performance.now() + CHANGE_TIMEOUT_MS;
    for (let call = first; performance.now() < deadline; call += 1) {
      const answer = await tryDeclare(controlAddresses[call % controlAddresses.length]!, body);
      if (answer?.status === 200) return true;
      await delay(RETRY_PAUSE_MS);
    }
    return false;
  }
}

function listPeaks({ machines }: PlatformLayout): { id: string; peakKib: number }[] {
  return machines.map(({ id, process }) => {
    const status = readFileSync(`/proc/${process?.pid}/status`, 'utf8');
    return { id, peakKib: Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) };
  });
}

/** Sends the head and a part of a large table. */
function stall(address: string): Socket {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const body = createLargeBody(9);
  socket.on('error', () => {});
  socket.write(`POST ${PATH} HTTP/1.1\r\nHost: keeper\r\nContent-Length: ${body.length}\r\n\r\n`);
  socket.write(body.subarray(0, body.length / 2));
  return socket;
}

describe('large tables', () => {
  it('keepers stay below 346 MB under configurations of 4 MiB', (context: TestContext) =>
    withKeepers(async (layout) => {
      const givenUp = await declareAll(layout);
      const peaks = listPeaks(layout);
      context.diagnostic(JSON.stringify(peaks));
      for (const { id, peakKib } of peaks) {
        assert.ok(peakKib < MEMORY_LIMIT_KIB, `${id}: ${peakKib} KiB`);
      }
      assert.deepEqual(givenUp, []);
      for (const address of layout.controlAddresses) {
        await waitFor('the newest table', async () => {
          const version = await readVersion(address);
          return version === 1 + CHANGES;
        });
      }
    }));

  it('that stall on their way hold up no small ones, and large ones only for a while', () =>
    withKeepers(async ({ controlAddresses }) => {
      const address = controlAddresses[0]!;
      const stalled = Array.from({ length: OPERATORS }, () => stall(address));
      try {
        const small = JSON.stringify(createLayoutTable(2));
        assert.equal((await tryDeclare(address, small))?.status, 200);
        // The stalled ones may still be on their way to the keeper.
        const refused = await waitFor('a refusal', async () => {
          const answer = await tryDeclare(address, createLargeBody(3));
          return answer?.status === 503 ? answer : undefined;
        });
        assert.ok(Number(refused.retryAfter) > 0, refused.retryAfter);
        await waitFor('a large table to be accepted', async () => {
          const answer = await tryDeclare(address, createLargeBody(4));
          return answer?.status === 200;
        });
      } finally {
        for (const socket of stalled) socket.destroy();
      }
    }));
});
