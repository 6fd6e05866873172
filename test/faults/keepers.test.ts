/**
 * Keepers with lost, corrupt and torn stores, disks lost in a row right after each repair, and a
 * leader whose traffic is silently dropped. No accepted ticket may be lost in any of these cases.
 */

import assert from 'node:assert/strict';
import { existsSync, readFileSync, truncateSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { stringify } from 'smol-toml';
import { request } from 'undici';
import type { TicketDescription } from '../../src/cli/types.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';

describe('keepers', () => {
  let deployment: Deployment;
  let lastTicketNumber = 0;

  beforeEach(async () => {
    lastTicketNumber = 0;
    deployment = await createDeployment({
      keepers: 3,
      entries: 0,
      endpoints: [],
      proxied: true,
      snapshotEntries: 50,
    });
    await deployment.status();
  });

  afterEach(() => deployment.stop());

  async function applyTickets(count: number): Promise<void> {
    for (let applied = 0; applied < count; applied += 1) {
      lastTicketNumber += 1;
      await submit(lastTicketNumber);
    }
  }

  async function submit(ticketNumber: number): Promise<void> {
    const tier = [{ name: 'now', rank: 0, usefulMs: ticketNumber }];
    const body = stringify({ number: ticketNumber, tier });
    await waitFor('an accepted ticket', async () => {
      const { leader } = await deployment.status();
      const address = deployment.operatorAddresses[deployment.keeperIds.indexOf(leader)];
      try {
        const response = await request(`http://${address}/v1/tickets`, { method: 'POST', body });
        await response.body.dump();
        return response.statusCode === 200;
      } catch {
        return false;
      }
    });
  }

  async function checkHistory(): Promise<void> {
    const { output } = await deployment.cli('ticket', 'history', '--json');
    const { tickets } = JSON.parse(output) as { tickets: TicketDescription[] };
    const numbers = tickets.map((ticket) => ticket.number);
    assert.deepEqual(
      numbers,
      Array.from({ length: lastTicketNumber }, (_unused, index) => index + 1),
    );
  }

  async function waitUntilRepaired(): Promise<void> {
    await waitFor('three voters with all committed entries', async () => {
      const { keepers, commitIndex } = await deployment.status();
      const isRunning = deployment.keeperIds.every((id) => deployment.getProcess(id).isRunning);
      const hasAllVoters = keepers.voters.length === 3 && keepers.learners.length === 0;
      const isCurrent = keepers.voters.every(
        ({ id, storeId, matchIndex }) => readStoreId(id) === storeId && matchIndex >= commitIndex,
      );
      return isRunning && hasAllVoters && isCurrent;
    });
  }

  function readStoreId(id: string): string {
    const path = join(deployment.getDataFolder(id), 'keeper', 'identity');
    return existsSync(path) ? readFileSync(path, 'utf8').trim() : '';
  }

  async function getFollower(): Promise<string> {
    const { leader } = await deployment.status();
    return deployment.keeperIds.find((id) => id !== leader) ?? '';
  }

  function hasLogged(id: string, code: number): boolean {
    return deployment.getProcess(id).output.some((line) => line.includes(`"code":${code}`));
  }

  it('lose one disk after the other, each right after the repair, and no ticket', async () => {
    await applyTickets(80);
    for (const id of [...deployment.keeperIds, ...deployment.keeperIds]) {
      await deployment.getProcess(id).kill();
      deployment.loseDisk(id);
      deployment.restart(id);
      await applyTickets(5);
      await waitUntilRepaired();
    }
    await checkHistory();
  });

  it('truncate the log at a torn record and remain voters', async () => {
    const id = await getFollower();
    await applyTickets(3);
    await deployment.getProcess(id).kill();
    const log = join(deployment.getDataFolder(id), 'keeper', 'log');
    truncateSync(log, readFileSync(log).length - 3);
    const storeId = readStoreId(id);
    deployment.restart(id);
    await applyTickets(3);
    await waitUntilRepaired();
    await waitFor('the log line about the truncation', () => hasLogged(id, 2005));
    assert.equal(readStoreId(id), storeId);
    await checkHistory();
  });

  it('move a corrupt store aside and rejoin as learners', async () => {
    const id = await getFollower();
    await applyTickets(3);
    await deployment.getProcess(id).kill();
    const log = join(deployment.getDataFolder(id), 'keeper', 'log');
    const bytes = readFileSync(log);
    // Corrupts a batch that others follow: a damaged last batch may also come from a power loss.
    const position = Math.floor(bytes.length / 2);
    bytes.writeUInt8((bytes.readUInt8(position) + 1) % 256, position);
    writeFileSync(log, bytes);
    const storeId = readStoreId(id);
    deployment.restart(id);
    await applyTickets(3);
    await waitFor('the store to be moved aside', () => hasLogged(id, 2006));
    await waitUntilRepaired();
    assert.notEqual(readStoreId(id), storeId);
    await checkHistory();
  });

  it('that are isolated never answer from stale state, and catch up afterwards', async () => {
    const { leader } = await deployment.status();
    const address = deployment.operatorAddresses[deployment.keeperIds.indexOf(leader)];
    for (const proxy of deployment.listProxies(leader)) proxy.setFlow('drop', 'drop');
    const isolatedAt = performance.now();
    await waitFor('another leader', async () => (await deployment.status()).leader !== leader);
    await applyTickets(3);
    while (performance.now() - isolatedAt < 3_000) {
      const response = await request(`http://${address}/v1/status`);
      const text = await response.body.text();
      const isCurrent =
        response.statusCode !== 200 || text.includes(`"number":${lastTicketNumber}`);
      assert.ok(isCurrent, `the isolated keeper answered ${text.slice(0, 200)}`);
      await delay(50);
    }
    for (const proxy of deployment.listProxies(leader)) proxy.heal();
    await applyTickets(3);
    await waitUntilRepaired();
    await checkHistory();
  });

  it('keep every accepted ticket when all are killed at the same time', async () => {
    await applyTickets(10);
    await Promise.all(deployment.keeperIds.map((id) => deployment.getProcess(id).kill()));
    for (const id of deployment.keeperIds) deployment.restart(id);
    await applyTickets(1);
    await checkHistory();
  });
});
