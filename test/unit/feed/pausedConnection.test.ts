/** What a keeper holds for a subscriber that does not read from its connection. */

import assert from 'node:assert/strict';
import { Metadata } from '@grpc/grpc-js';
import { describe, it, type TestContext } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { delay } from '../../../src/common/delay.js';
import { channelOptions, createServer, peerCredentials } from '../../../src/common/rpc.js';
import { createCrashRecords } from '../../../src/crashes/crashRecords.js';
import { createFeedServer, type FeedStream } from '../../../src/feed/feedServer.js';
import { ControlClient, ControlService, type FeedUpdate } from '../../../src/generated/control.js';
import { createEndpointRegistry } from '../../../src/registry/registry.js';
import { bindToFreePort, createAnnouncement, createMessage } from '../../fixtures/feedStreams.js';

const ENDPOINT_COUNT = 1_000;
const ROUNDS = 60;
const ROUND_INTERVAL_MS = 20;
/** Several times what one update with all endpoints takes. */
const MAX_HELD_BYTES = 256 * 1024;

describe('a keeper', () => {
  // It kept each update of each endpoint.
  it('holds little for a subscriber that does not read from its connection', async (context: TestContext) => {
    const clock = new VirtualClock();
    const feed = createFeedServer({
      clock,
      logger: { event() {} },
      deployment: 'test',
      registry: createEndpointRegistry({ event() {} }),
      crashRecords: createCrashRecords(() => clock.now()),
      streamOrigins: { record() {} },
      getTable: () => ({ revision: 1, document: Buffer.alloc(100) }),
      readConfirmedTable: () => Promise.resolve(undefined),
      listKeepers: () => ({ addresses: [], index: 0 }),
      listRollouts: () => [],
      isCurrent: () => true,
    });
    let heldBytes = 0;
    const server = createServer();
    server.addService(ControlService, { feed: (stream: FeedStream) => serve(stream) });
    const port = await bindToFreePort(server);
    const client = new ControlClient(`127.0.0.1:${port}`, peerCredentials, channelOptions);
    const subscription = client.feed(new Metadata());
    subscription.on('error', () => {});
    // Without a first read, the client would take all that arrives.
    subscription.once('data', () => subscription.pause());
    subscription.write(createMessage({}));
    for (let round = 1; round <= ROUNDS; round += 1) {
      for (let index = 0; index < ENDPOINT_COUNT; index += 1) {
        feed.announce(createAnnouncement(index, round));
      }
      await delay(ROUND_INTERVAL_MS);
    }
    const heldAtEnd = heldBytes;
    subscription.cancel();
    client.close();
    feed.close();
    server.forceShutdown();
    context.diagnostic(`${heldAtEnd} bytes`);
    assert.ok(heldAtEnd < MAX_HELD_BYTES, `${heldAtEnd} bytes`);

    function serve(stream: FeedStream): void {
      const write = stream.write.bind(stream) as (update: FeedUpdate, done: () => void) => boolean;
      const countWrite = (update: FeedUpdate, done: () => void): boolean => {
        const { length } = ControlService.feed.responseSerialize(update);
        heldBytes += length;
        return write(update, () => {
          heldBytes -= length;
          done();
        });
      };
      feed.serve(Object.assign(stream, { write: countWrite }));
    }
  });
});
