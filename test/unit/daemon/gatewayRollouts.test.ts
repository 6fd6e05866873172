/** A gateway in this process applies the rollouts of its feed and reports what came of them. */

import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import { request } from 'undici';
import { platformDialect } from '../../../platform/dialect.js';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { SystemClock } from '../../../src/common/clock.js';
import { createMetricsRecorder } from '../../../src/common/metricsRecorder.js';
import { createServer } from '../../../src/common/rpc.js';
import { startGateway } from '../../../src/daemon/gatewayProcess.js';
import {
  ControlService,
  type FeedMessage,
  type FeedUpdate,
  type GatewayReport,
} from '../../../src/generated/control.js';
import type { Rollout } from '../../../src/generated/keeper.js';
import { waitFor } from '../../fixtures/deployment.js';
import {
  startFakePlatformEndpoint,
  type FakePlatformEndpoint,
} from '../../fixtures/fakePlatformEndpoint.js';
import { bindToFreePort, createAnnouncement, createUpdate } from '../../fixtures/feedStreams.js';
import { createTableBody } from '../../fixtures/gatewayDeployment.js';
import { getFreePort } from '../../fixtures/ports.js';
import { createRollout } from '../../fixtures/rollouts.js';

const PUSH_INTERVAL_MS = 100;
const POOL = 'desk';
const closeAll: (() => unknown)[] = [];

/** Starts a keeper's feed; `send` sends an update on all streams. */
async function startKeeper(first: () => Partial<FeedUpdate>) {
  const streams = new Set<ServerDuplexStream<FeedMessage, FeedUpdate>>();
  let report: GatewayReport | undefined;
  const server = createServer();
  server.addService(ControlService, {
    feed(stream: ServerDuplexStream<FeedMessage, FeedUpdate>) {
      streams.add(stream);
      stream.on('error', () => streams.delete(stream));
      stream.on('data', (message) => {
        report = message.report ?? report;
      });
      stream.write(createUpdate(first()));
    },
  });
  const port = await bindToFreePort(server);
  const timer = setInterval(() => send({}), PUSH_INTERVAL_MS);
  closeAll.push(() => {
    clearInterval(timer);
    server.forceShutdown();
  });
  return { address: `127.0.0.1:${port}`, send, getReport: () => report };

  function send(fields: Partial<FeedUpdate>): void {
    for (const stream of streams) stream.write(createUpdate(fields));
  }
}

async function startVersion(index: number, softwareVersion: string) {
  const endpoint = await startFakePlatformEndpoint(
    { id: softwareVersion, pool: POOL, slots: 8, workMs: 2, softwareVersion },
    [],
  );
  closeAll.push(() => endpoint.close());
  const { address } = endpoint;
  const announcement = { ...createAnnouncement(index, 8), softwareVersion, address, pool: POOL };
  return { endpoint, announcement };
}

describe('a gateway with a rollout', () => {
  after(() => Promise.all(closeAll.reverse().map((close) => close())));

  it('keeps to the share, reports outcomes and follows the end', async () => {
    const versions = [await startVersion(1, 'v1'), await startVersion(2, 'v2')] as const;
    const endpoints = versions.map(({ endpoint }) => endpoint) as [
      FakePlatformEndpoint,
      FakePlatformEndpoint,
    ];
    const rollout = createRollout({ pool: POOL, share: 0.2 });
    const content = Buffer.from(JSON.stringify(createTableBody(1)));
    const keeper = await startKeeper(() => ({
      rollouts: [rollout],
      announcements: versions.map(({ announcement }) => announcement),
      table: { revision: 1, size: content.length, offset: 0, content },
      confirmedRevision: 1,
    }));
    const listen = `127.0.0.1:${await getFreePort()}`;
    const readyListen = `127.0.0.1:${await getFreePort()}`;
    const events: [string, unknown][] = [];
    const logger = { event: (name: string, fields: unknown) => void events.push([name, fields]) };
    const gateway = await startGateway(
      {
        role: 'gateway',
        id: 'gateway',
        deployment: 'test',
        failureDomain: 'local',
        keepers: [keeper.address],
        gateway: { listen, readyListen, drainLimitMs: 1_000 },
      },
      'incarnation',
      new SystemClock(),
      logger,
      await createMetricsRecorder(undefined, logger),
      platformDialect,
      createClientMemory(),
    );
    closeAll.push(() => gateway.stop(performance.now()));
    await waitFor('readiness', async () => (await get(readyListen, '/', 'ready')) === 200);

    await callMany(100);
    const atNew = endpoints[1].arrivals.length;
    assert.ok(atNew >= 19 && atNew <= 21, String(atNew));
    await waitFor('the outcomes', () => sumCompleted() === 100);
    assert.deepEqual(getOutcomes(), { v1: 100 - atNew, v2: atNew });

    await end('reverted', 20);
    const before = endpoints[1].arrivals.length;
    await callMany(20);
    assert.equal(endpoints[1].arrivals.length, before);
    assert.deepEqual(
      events.filter(([name]) => name === 'rolloutInForce').map(([, fields]) => fields),
      ['inProgress', 'reverted'].map((state) => ({
        pool: POOL,
        softwareVersion: 'v2',
        order: rollout.order,
        state,
        share: 0.2,
      })),
    );

    async function end(state: string, changedAt: number): Promise<void> {
      const record: Rollout = { ...rollout, state, changedAt };
      keeper.send({ rollouts: [record] });
      await waitFor(state, () => events.filter(([name]) => name === 'rolloutInForce').length === 2);
    }

    async function callMany(count: number): Promise<void> {
      for (let index = 0; index < count; index += 1) {
        assert.equal(await get(listen, '/work/0', `call-${events.length}-${index}`), 200);
      }
    }

    function getOutcomes(): Record<string, number> {
      const outcomes = keeper.getReport()?.versionOutcomes ?? [];
      return Object.fromEntries(
        outcomes.map(({ softwareVersion, completed }) => [softwareVersion, completed]),
      );
    }

    function sumCompleted(): number {
      return Object.values(getOutcomes()).reduce((sum, completed) => sum + completed, 0);
    }
  });
});

async function get(address: string, path: string, id: string): Promise<number> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      headers: {
        host: 'a.example',
        'turmericrack-attempt-id': id,
        'turmericrack-deadline-ms': '5000',
      },
    });
    await body.dump();
    return statusCode;
  } catch {
    return 0;
  }
}
