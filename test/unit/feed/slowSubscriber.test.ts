/** What is held for the streams of a feed whose readers do not read, or read slowly. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createCrashRecords } from '../../../src/crashes/crashRecords.js';
import { createFeedServer, type FeedStream } from '../../../src/feed/feedServer.js';
import type { FeedUpdate } from '../../../src/generated/control.js';
import { createEndpointRegistry } from '../../../src/registry/registry.js';
import { createAnnouncement, createMessage, SlowStream } from '../../fixtures/feedStreams.js';

const PUSH_INTERVAL_MS = 100;
const ENDPOINT_COUNT = 10;
const ROUNDS = 50;
const MAX_HELD_MESSAGES = 12;
const STALL_MS = 10_000;

function createServer(clock: VirtualClock) {
  const table = { revision: 1, document: Buffer.alloc(100) };
  const events: string[] = [];
  const server = createFeedServer({
    clock,
    logger: { event: (name: string) => events.push(name) },
    deployment: 'test',
    registry: createEndpointRegistry({ event() {} }),
    crashRecords: createCrashRecords(() => clock.now()),
    streamOrigins: { record() {} },
    getTable: () => table,
    readConfirmedTable: () => Promise.resolve(undefined),
    listKeepers: () => ({ addresses: [], index: 0 }),
    listRollouts: () => [],
    isCurrent: () => true,
  });
  return { server, table, events };
}

function subscribe(
  server: ReturnType<typeof createServer>['server'],
  id: string,
): SlowStream<FeedUpdate> {
  const stream = new SlowStream<FeedUpdate>();
  server.serve(stream as unknown as FeedStream);
  stream.emit('data', createMessage({ followerId: id }));
  return stream;
}

describe('a stream of the feed whose reader does not read', () => {
  let clock: VirtualClock;

  beforeEach(() => {
    clock = new VirtualClock();
    mock.timers.enable({ apis: ['setInterval'] });
  });

  afterEach(() => mock.timers.reset());

  function pass(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += PUSH_INTERVAL_MS) {
      clock.advance(PUSH_INTERVAL_MS);
      mock.timers.tick(PUSH_INTERVAL_MS);
    }
  }

  // Every update of every endpoint was kept for it.
  it('holds a few messages, and then gets the newest state of each endpoint', () => {
    const { server } = createServer(clock);
    const stream = subscribe(server, 'slow');
    for (let round = 1; round <= ROUNDS; round += 1) {
      for (let index = 0; index < ENDPOINT_COUNT; index += 1) {
        server.announce(createAnnouncement(index, round));
      }
      pass(PUSH_INTERVAL_MS);
    }
    assert.ok(stream.held.length <= MAX_HELD_MESSAGES, `${stream.held.length} messages`);
    const newest = new Map<string, number>();
    for (const { announcements } of stream.takeAll()) {
      for (const { endpointId, sequence } of announcements) newest.set(endpointId, sequence);
    }
    server.close();
    assert.deepEqual([...newest.values()], Array(ENDPOINT_COUNT).fill(ROUNDS));
  });

  // An announcement of each table was kept for it.
  it('holds few announcements of tables, and the newest is announced once they are taken', () => {
    const { server, table } = createServer(clock);
    const stream = subscribe(server, 'slow');
    for (let round = 0; round < ROUNDS; round += 1) {
      table.revision += 1;
      server.publishTable();
    }
    assert.ok(stream.held.length <= MAX_HELD_MESSAGES, `${stream.held.length} messages`);
    const revisions = stream.takeAll().flatMap((update) => update.table?.revision ?? []);
    server.close();
    assert.equal(revisions.at(-1), table.revision);
  });

  it('is ended if nothing is taken for a while, and others go on', () => {
    const { server, events } = createServer(clock);
    const stalled = subscribe(server, 'stalled');
    const sound = subscribe(server, 'sound');
    for (let passed = 0; passed <= STALL_MS + 1_000; passed += 1_000) {
      pass(1_000);
      sound.takeAll();
    }
    server.close();
    assert.ok(stalled.isDestroyed);
    assert.ok(events.includes('followerStalled'));
    assert.ok(!sound.isDestroyed);
  });

  it('stays if it takes one message now and then', () => {
    const { server } = createServer(clock);
    const slow = subscribe(server, 'slow');
    for (let passed = 0; passed <= 3 * STALL_MS; passed += STALL_MS / 2) {
      pass(STALL_MS / 2);
      slow.take();
    }
    server.close();
    assert.ok(!slow.isDestroyed);
  });
});
