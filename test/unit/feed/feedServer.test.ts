/** What a keeper sends to the subscribers of its feed, and when. */

import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createCrashRecords } from '../../../src/crashes/crashRecords.js';
import { createFeedServer, type FeedStream } from '../../../src/feed/feedServer.js';
import type { FeedMessage, FeedUpdate } from '../../../src/generated/control.js';
import { createEndpointRegistry } from '../../../src/registry/registry.js';

/** Connects one subscriber to a keeper that already holds a crash record. */
function connect() {
  const clock = new VirtualClock();
  const crashRecords = createCrashRecords(() => clock.now());
  const record = { trait: 'part', specificity: 0, crashes: ['a'], isCleared: false, ageMs: 0 };
  crashRecords.merge(record);
  const server = createFeedServer({
    clock,
    logger: { event() {} },
    deployment: 'test',
    registry: createEndpointRegistry({ event() {} }),
    crashRecords,
    streamOrigins: { record() {} },
    getTable: () => ({ revision: 1, document: Buffer.alloc(0) }),
    readConfirmedTable: () => Promise.resolve(undefined),
    listKeepers: () => ({ addresses: [], index: 0 }),
    listRollouts: () => [],
    isCurrent: () => true,
  });
  const updates: FeedUpdate[] = [];
  const stream = Object.assign(new EventEmitter(), {
    write: (update: FeedUpdate) => updates.push(update),
    end() {},
  });
  server.serve(stream as unknown as FeedStream);
  const hello: Partial<FeedMessage> = {
    deployment: 'test',
    followerId: 'gateway',
    announcements: [],
    crashRecords: [],
    streamOrigins: [],
    knownRevision: 0,
    wantedParts: [],
  };
  stream.emit('data', hello);
  return { server, updates, record };
}

describe('a feed server', () => {
  it('lets no gateway serve before it knows which requests crash endpoints', () => {
    const { server, updates, record } = connect();
    server.close();
    const [first] = updates;
    assert.deepEqual(first?.crashRecords, [record]);
    assert.equal(first.table, undefined);
    assert.equal(updates[1]?.table?.revision, 1);
  });
});
