/** Rollouts reach the subscriber that wants them, before the endpoints of the same update. */

import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import { createServer } from '../../../src/common/rpc.js';
import {
  ControlService,
  type FeedMessage,
  type FeedUpdate,
} from '../../../src/generated/control.js';
import { waitFor } from '../../fixtures/deployment.js';
import { connectSubscriber } from '../../fixtures/feedClients.js';
import { bindToFreePort, createAnnouncement, createUpdate } from '../../fixtures/feedStreams.js';
import { createRollout } from '../../fixtures/rollouts.js';

const closeAll: (() => void)[] = [];

/** Starts a keeper that sends the updates to each subscriber. */
async function startKeeper(updates: readonly FeedUpdate[]): Promise<string> {
  const server = createServer();
  server.addService(ControlService, {
    feed(stream: ServerDuplexStream<FeedMessage, FeedUpdate>) {
      stream.on('error', () => {});
      stream.on('data', () => {});
      for (const update of updates) stream.write(update);
    },
  });
  closeAll.push(() => server.forceShutdown());
  return `127.0.0.1:${await bindToFreePort(server)}`;
}

describe('a subscriber that wants rollouts', () => {
  after(() => closeAll.reverse().forEach((close) => close()));

  // A gateway that starts would otherwise place requests before it knows of the rollout.
  it('gets those of an update before its endpoints', async () => {
    const rollout = createRollout({ share: 0.25, ageMs: 1_200, changedAt: 17 });
    const keeper = await startKeeper([
      createUpdate({ rollouts: [rollout], announcements: [createAnnouncement(1, 1)] }),
    ]);
    const received: unknown[] = [];
    const client = connectSubscriber([keeper], {
      onRollouts: (rollouts) => void received.push(...rollouts),
      onAnnouncements: (announcements) => void received.push(announcements.length),
    });
    closeAll.push(() => client.close());
    await waitFor('the update', () => received.length === 2);
    assert.deepEqual(received, [rollout, 1]);
  });

  // Without a change, updates are all that shows a gateway that its records are up to date.
  it('is told of updates without rollouts, and whether their keeper is current', async () => {
    const keeper = await startKeeper([
      createUpdate({ isCurrent: false }),
      createUpdate({ isCurrent: true }),
    ]);
    const received: [number, boolean][] = [];
    const client = connectSubscriber([keeper], {
      onRollouts: (rollouts, isCurrent) => void received.push([rollouts.length, isCurrent]),
    });
    closeAll.push(() => client.close());
    await waitFor('the updates', () => received.length === 2);
    assert.deepEqual(received, [
      [0, false],
      [0, true],
    ]);
  });
});
