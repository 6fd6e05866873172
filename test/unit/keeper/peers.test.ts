/** Connections between keepers, on loopback. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Server } from '@grpc/grpc-js';
import { VirtualClock } from '../../../src/common/clock.js';
import { createPeerMetadata, createServer, listen } from '../../../src/common/rpc.js';
import type { KeeperProcessSettings } from '../../../src/common/settings.js';
import { KeeperService, type KeeperServer, type Replica } from '../../../src/generated/keeper.js';
import { createPeers } from '../../../src/keeper/peers.js';
import { waitFor } from '../../fixtures/deployment.js';
import { getFreePort } from '../../fixtures/ports.js';

const UNUSED_MS = 10_000;
const TIMEOUT_MS = 5_000;

describe('the connection to another keeper', () => {
  let server: Server;
  let address: string;
  let openStreams = 0;
  before(async () => {
    server = createServer();
    const service: Partial<KeeperServer> = {
      peer(stream) {
        openStreams += 1;
        stream.on('cancelled', () => {
          openStreams -= 1;
        });
        stream.on('error', () => {});
        stream.resume();
      },
    };
    server.addService(KeeperService, service as KeeperServer);
    address = `127.0.0.1:${await getFreePort()}`;
    await listen(server, { logger: { event() {} }, address });
  });
  after(() => server.forceShutdown());

  // The connections to all keepers that ever were stayed open.
  it('is closed some time after its last use, unless the keeper is a member', async () => {
    const clock = new VirtualClock();
    const metadata = createPeerMetadata({ deployment: 'test' } as KeeperProcessSettings);
    const peers = createPeers(clock, metadata, (announced) => announced);
    const to: Replica = { id: 'b', storeId: 'b', address, operatorAddress: '' };
    const message = { deployment: 'test', from: to, toStoreId: 'b', term: 1, body: undefined };
    peers.send({ to, message });
    await waitFor('a stream', () => openStreams === 1, TIMEOUT_MS);
    const client = peers.getClient(address);
    peers.closeUnused(new Set());
    assert.equal(peers.getClient(address), client, 'just used');
    clock.advance(UNUSED_MS);
    peers.closeUnused(new Set([address]));
    assert.equal(peers.getClient(address), client, 'a member');
    assert.equal(openStreams, 1);
    clock.advance(UNUSED_MS);
    peers.closeUnused(new Set());
    await waitFor('its end', () => openStreams === 0, TIMEOUT_MS);
    assert.notEqual(peers.getClient(address), client);
    peers.close();
  });

  it('for declared tables is replaced without the other one of that keeper', async () => {
    const metadata = createPeerMetadata({ deployment: 'test' } as KeeperProcessSettings);
    const peers = createPeers(new VirtualClock(), metadata, (announced) => announced);
    const client = peers.getClient(address);
    const control = peers.getControlClient(address);
    peers.renewControlClient(address);
    assert.notEqual(peers.getControlClient(address), control);
    assert.equal(peers.getClient(address), client);
    peers.close();
  });
});
