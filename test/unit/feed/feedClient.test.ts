/** From which keepers a subscriber still expects to hear of a table. */

import assert from 'node:assert/strict';
import { createServer as createTcpServer } from 'node:net';
import { after, describe, it } from 'node:test';
import { SystemClock } from '../../../src/common/clock.js';
import type { Logger } from '../../../src/common/logging.js';
import { createServer, listen } from '../../../src/common/rpc.js';
import { createCrashRecords } from '../../../src/crashes/crashRecords.js';
import { createFeedServer } from '../../../src/feed/feedServer.js';
import { ControlService } from '../../../src/generated/control.js';
import { createEndpointRegistry } from '../../../src/registry/registry.js';
import { delay, waitFor } from '../../fixtures/deployment.js';
import { connectSubscriber } from '../../fixtures/feedClients.js';
import { getFreePort } from '../../fixtures/ports.js';

/** Time after which a keeper that never answers has been tried. */
const TRIED_MS = 2_000;
/** Time from the loss of a cluster on within which another one is believed. */
const FORMED_ANEW_LIMIT_MS = 8_000;
/** Address of a link that leads to another keeper. */
const REMOVED = 'removed.test:1';
const closeAll: (() => unknown)[] = [];

/** Starts a keeper that holds a table and lists itself and another keeper as members. */
async function startKeeper(other: string, document: Buffer): Promise<string> {
  const { address } = await startListingKeeper(other, 1, document);
  return address;
}

async function startListingKeeper(
  other: string,
  index: number,
  document: Buffer = Buffer.alloc(0),
  isCurrent = false,
) {
  const address = `127.0.0.1:${await getFreePort()}`;
  const feed = createFeedServer({
    clock: new SystemClock(),
    logger: { event() {} },
    deployment: 'test',
    registry: createEndpointRegistry({ event() {} }),
    crashRecords: createCrashRecords(() => 0),
    streamOrigins: { record() {} },
    getTable: () => ({ revision: 1, document }),
    readConfirmedTable: () => Promise.resolve(undefined),
    listKeepers: () => ({ addresses: [address, other], index }),
    listRollouts: () => [],
    isCurrent: () => isCurrent,
  });
  const server = createServer();
  server.addService(ControlService, { feed: feed.serve });
  await listen(server, { logger: { event() {} }, address });
  const stop = (): void => {
    feed.close();
    server.forceShutdown();
  };
  closeAll.push(stop);
  return { address, stop };
}

/** Starts a process that accepts connections and sends nothing. */
async function startSilentKeeper(): Promise<string> {
  const port = await getFreePort();
  const server = createTcpServer((socket) => closeAll.push(() => socket.destroy()));
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  closeAll.push(() => server.close());
  return `127.0.0.1:${port}`;
}

function connect(
  getSeeds: () => readonly string[],
  received: number[],
  event: Logger['event'] = () => {},
  resolve = (address: string) => address,
) {
  const client = connectSubscriber([], {
    logger: { event },
    getSeeds,
    resolve,
    tables: { receive: ({ revision }) => received.push(revision) > 0, confirm() {} },
  });
  closeAll.push(() => client.close());
  return client;
}

describe('a subscriber of several keepers', () => {
  after(() => closeAll.reverse().forEach((close) => close()));

  it('may receive a newer table until each keeper, also one that it hears of, was tried', async () => {
    const silent = await startSilentKeeper();
    const keeper = await startKeeper(silent, Buffer.from('table'));
    const received: number[] = [];
    const client = connect(() => [keeper], received);
    await waitFor('the table', () => received.length > 0);
    await delay(300);
    assert.equal(client.mayReceiveNewerTable, true);
    await delay(TRIED_MS);
    assert.equal(client.mayReceiveNewerTable, false);
  });

  // Found by reading: it never took itself for in touch again, and tried the members that are gone.
  it('believes a cluster that was formed anew, whose log is shorter', async () => {
    const gone = `127.0.0.1:${await getFreePort()}`;
    const added = `127.0.0.1:${await getFreePort()}`;
    const former = await startListingKeeper(gone, 500, undefined, true);
    let seeds = [former.address];
    let links = { keepers: '', listed: '' };
    connect(
      () => seeds,
      [],
      (name, fields) => {
        if (name === 'keepersChanged') links = fields as typeof links;
      },
    );
    await waitFor('the former cluster', () => links.keepers.includes(gone));
    former.stop();
    const { address } = await startListingKeeper(added, 3, undefined, true);
    seeds = [address];
    const expected = [address, added].sort().join(',');
    await waitFor(`links to ${expected}`, () => links.keepers === expected, FORMED_ANEW_LIMIT_MS);
    assert.equal(links.listed, 'true');
  });

  // Found by reading: the client that a link got for its next connection was never closed.
  it('creates no client for a link that it removes', async () => {
    const other = `127.0.0.1:${await getFreePort()}`;
    const keeper = await startListingKeeper(other, 1, undefined, true);
    let seeds = [keeper.address, other, REMOVED];
    const resolved: string[] = [];
    let keepers = '';
    let isConnected = false;
    connect(
      () => seeds,
      [],
      (name, fields) => {
        if (name === 'keepersChanged') ({ keepers } = fields as { keepers: string });
        if (name === 'keeperConnected') isConnected ||= isRemoved(fields as { keeper: string });
      },
      (address) => {
        resolved.push(address);
        return address === REMOVED ? keeper.address : address;
      },
    );
    const isRemoved = (fields: { keeper: string }): boolean => fields.keeper === REMOVED;
    const countRemoved = (): number => resolved.filter((address) => address === REMOVED).length;
    await waitFor('the link', () => isConnected);
    seeds = [keeper.address, other];
    const created = countRemoved();
    await waitFor('the removal', () => !keepers.includes(REMOVED));
    assert.equal(countRemoved(), created);
  });
});
