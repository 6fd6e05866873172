/** The part of a keeper that gateways, endpoints and operators of declared tables meet. */

import type { Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import { resolveAddress } from '../common/rpc.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import { createFeedClient } from '../feed/feedClient.js';
import { createFeedServer } from '../feed/feedServer.js';
import type { Announcement, ControlServer } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import { createControlService } from '../keeper/controlService.js';
import type { Peers } from '../keeper/peers.js';
import type { RunningReplica } from '../keeper/replica.js';
import { createTableAuthority } from '../keeper/tableAuthority.js';
import { createEndpointRegistry } from '../registry/registry.js';
import type { Adapter } from './types.js';

/** Interval at which keepers show each other that they are alive. */
const PEER_INTERVAL_MS = 300;

/** What this part needs from the rest of the keeper. */
export interface KeeperControlHost {
  settings: KeeperProcessSettings;
  clock: Clock;
  logger: Logger;
  measures: MetricsRecorder;
  metadata: Metadata;
  peers: Peers;
  adapter: Adapter | undefined;
  getSeeds(): readonly string[];
  tryGetReplica(): RunningReplica | undefined;
}

/** The running part. */
export interface KeeperControl {
  service: ControlServer;
  /** Tells followers of a table that has just been applied. */
  publish(): void;
  close(): Promise<void>;
}

/** Starts it. */
export async function startKeeperControl(host: KeeperControlHost): Promise<KeeperControl> {
  const { settings, clock, logger, metadata, peers } = host;
  const registry = createEndpointRegistry();
  const authority = createTableAuthority({
    metadata,
    tryGetReplica: host.tryGetReplica,
    getClient: (address) => peers.getControlClient(address),
  });
  const feed = createFeedServer({
    clock,
    logger,
    deployment: settings.deployment,
    registry,
    getTable: () => authority.current,
    readConfirmedTable,
    listKeepers,
  });
  // Keepers follow each other, so that an endpoint's announcement reaches gateways through any of them.
  const follower = createFeedClient({
    clock,
    logger,
    metadata,
    deployment: settings.deployment,
    subscriberId: settings.id,
    intervalMs: PEER_INTERVAL_MS,
    seeds: host.getSeeds(),
    resolve: (address) => resolveAddress(settings, address),
    isSelf: (address) => address === settings.keeper.listen,
    tryGetReport: () => undefined,
    listAnnouncements: () => registry.list(),
    onTable() {},
    onAnnouncements: (announcements) => announcements.forEach(announce),
    onReports() {},
  });
  const { controlListen } = settings.keeper;
  const api =
    controlListen === undefined
      ? undefined
      : await host.adapter?.startControlApi({
          clock,
          logger,
          listen: controlListen,
          authority,
          announce,
          tryGetAnnouncement: (endpointId) => registry.tryGet(endpointId),
        });
  let publishedRevision = 0;

  return {
    service: createControlService(settings, authority, feed),
    publish,
    async close() {
      follower.close();
      feed.close();
      await api?.close();
    },
  };

  function announce(announcement: Announcement): void {
    host.measures.count('feedAnnouncements', 1);
    feed.announce(announcement);
  }

  function publish(): void {
    const { revision } = authority.current;
    if (revision === publishedRevision) return;
    publishedRevision = revision;
    feed.publishTable();
  }

  async function readConfirmedTable(): Promise<TableDocument | undefined> {
    try {
      return await authority.read();
    } catch (caught) {
      logger.event('tableUnconfirmed', { reason: describeFailure(toFailure(caught)) });
      return undefined;
    }
  }

  function listKeepers(): string[] {
    const membership = host.tryGetReplica()?.raft.log.membership;
    const members = [...(membership?.voters ?? []), ...(membership?.learners ?? [])];
    return members.map((member) => member.address);
  }
}
