/** Keepers that fail, restart or come late while they form their cluster. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { request } from 'undici';
import { delay, waitFor } from '../fixtures/deployment.js';
import { createTableBody } from '../fixtures/gatewayDeployment.js';
import { createPlatformLayout, type PlatformLayout } from '../fixtures/platformLayout.js';

const NETWORK = 7;
const RECOVERY_LIMIT_MS = 12_000;
const REQUEST_TIMEOUT_MS = 1_000;
/** Time in which keepers have found each other, but not the one that is missing. */
const WAITING_MS = 1_000;

async function tryDeclare(address: string): Promise<true | undefined> {
  const url = `http://${address}/turmericrack/config/replace`;
  try {
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    const body = JSON.stringify(createTableBody(1));
    const response = await request(url, { method: 'POST', body, signal });
    await response.body.dump();
    return response.statusCode === 200 ? true : undefined;
  } catch {
    return undefined;
  }
}

async function checkFormation(layout: PlatformLayout): Promise<void> {
  for (const address of layout.controlAddresses) {
    await waitFor(
      `an acknowledgement from ${address}`,
      () => tryDeclare(address),
      RECOVERY_LIMIT_MS,
    );
  }
  const outputs = layout.machines.flatMap(({ outputs: lines }) => lines.flat());
  const formed = outputs.filter((line) => line.includes('clusterFormed'));
  assert.equal(formed.length, 1, formed.join('\n'));
}

async function withLayout(run: (layout: PlatformLayout) => Promise<void>): Promise<void> {
  const layout = await createPlatformLayout({ keeper: 3, gateway: 0 }, NETWORK);
  try {
    await run(layout);
  } finally {
    await layout.stop();
  }
}

describe('a cluster that forms', () => {
  for (const restarted of [0, 1, 2]) {
    it(`does not wait for ever for keeper ${restarted}, which may no longer form one`, async () => {
      await withLayout(async (layout) => {
        const keepers = layout.list('keeper');
        const late = keepers[restarted === 2 ? 1 : 2]!;
        for (const keeper of keepers) if (keeper !== late) layout.start(keeper, true);
        await delay(WAITING_MS);
        await layout.kill(keepers[restarted]!);
        layout.start(keepers[restarted]!, false);
        await delay(WAITING_MS);
        layout.start(late, true);
        await checkFormation(layout);
      });
    });
  }

  it('is one, in whatever order each keeper is told of the others', async () => {
    await withLayout(async (layout) => {
      const [first, second, third] = layout.list('keeper');
      for (const order of [
        [first!, second!, third!],
        [second!, third!, first!],
        [third!, first!, second!],
      ]) {
        layout.setSeeds(order);
        layout.start(order[0]!, true);
      }
      await checkFormation(layout);
    });
  });
});
