/** The control interface of a keeper for gateways, endpoints and operators of declared tables. */

import { join } from 'node:path';
import type { Metadata } from '@grpc/grpc-js';
import type { BodyAdmission } from '../common/bodyAdmission.js';
import type { ClientLimits } from '../common/clientConnections.js';
import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import { resolveAddress } from '../common/rpc.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import { startCrashRecordStore } from '../crashes/crashRecordStore.js';
import { createCrashRecords } from '../crashes/crashRecords.js';
import { createFeedClient } from '../feed/feedClient.js';
import { createFeedServer } from '../feed/feedServer.js';
import type { Announcement, ControlServer } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import { isCurrent, listKeepers } from '../keeper/clusterView.js';
import { createControlService } from '../keeper/controlService.js';
import type { Peers } from '../keeper/peers.js';
import type { RunningReplica } from '../keeper/replica.js';
import { startRolloutAgeStore } from '../keeper/rolloutAgeStore.js';
import { createRolloutAuthority } from '../keeper/rolloutAuthority.js';
import { createRolloutController } from '../keeper/rolloutController.js';
import { createTableAuthority } from '../keeper/tableAuthority.js';
import { createEndpointRegistry, type MergeOutcome } from '../registry/registry.js';
import { createStreamOrigins } from '../streams/streamOrigins.js';
import { startStreamOriginStore } from '../streams/streamOriginStore.js';
import type { Adapter } from './types.js';

/** Names of files in the data folder, beside the folder of the log. */
const CRASH_RECORD_FILE = 'crashes';
const STREAM_ORIGIN_FILE = 'streams';
const ROLLOUT_AGE_FILE = 'rollouts';
/** Interval of the heartbeats between keepers. */
const PEER_HEARTBEAT_INTERVAL_MS = 300;

/** Dependencies on the other parts of the keeper. */
export interface KeeperControlHost {
  settings: KeeperProcessSettings;
  clock: Clock;
  logger: Logger;
  metrics: MetricsRecorder;
  metadata: Metadata;
  peers: Peers;
  bodies: BodyAdmission;
  clients: ClientLimits;
  adapter: Adapter | undefined;
  getSeeds(): readonly string[];
  tryGetReplica(): RunningReplica | undefined;
}

/** A running control interface. */
export interface KeeperControl {
  service: ControlServer;
  /** Sends the table and the rollouts to the feed's subscribers, if they have changed. */
  publish(): void;
  close(): Promise<void>;
}

export async function startKeeperControl(host: KeeperControlHost): Promise<KeeperControl> {
  const { settings, clock, logger, metadata, peers } = host;
  const registry = createEndpointRegistry(logger);
  const crashRecords = createCrashRecords(() => clock.now());
  const crashRecordStore = startCrashRecordStore({
    clock,
    logger,
    records: crashRecords,
    path: join(settings.keeper.dataFolder, CRASH_RECORD_FILE),
  });
  const streamOrigins = createStreamOrigins(() => clock.now());
  const streamOriginStore = startStreamOriginStore({
    clock,
    logger,
    origins: streamOrigins,
    path: join(settings.keeper.dataFolder, STREAM_ORIGIN_FILE),
  });
  const forwarding = {
    clock,
    metadata,
    tryGetReplica: host.tryGetReplica,
    getClient: peers.getControlClient,
    renewClient: peers.renewControlClient,
  };
  const authority = createTableAuthority(forwarding);
  const rolloutSettings = settings.keeper.rollout;
  const isEnabled = rolloutSettings !== undefined;
  const rollouts = createRolloutAuthority({
    ...forwarding,
    isEnabled,
    listAnnouncements: () => registry.list(),
  });
  const rolloutAgeStore = startRolloutAgeStore({
    clock,
    logger,
    path: join(settings.keeper.dataFolder, ROLLOUT_AGE_FILE),
  });
  const rolloutController = createRolloutController({
    clock,
    logger,
    metrics: host.metrics,
    settings: rolloutSettings,
    tryGetReplica: host.tryGetReplica,
    listReports: () => feedServer.listReports(),
    listAnnouncements: () => registry.list(),
    getSavedAgeMs: rolloutAgeStore.getAgeMs,
    onChange() {
      feedServer.publishRollouts();
      void rolloutAgeStore.save(rolloutController.list());
    },
  });
  const feedServer = createFeedServer({
    clock,
    logger,
    deployment: settings.deployment,
    registry,
    crashRecords,
    streamOrigins,
    getTable: () => authority.current,
    readConfirmedTable,
    listKeepers: () => listKeepers(host.tryGetReplica()),
    listRollouts: () => rolloutController.list(),
    isCurrent: () => isCurrent(host.tryGetReplica(), clock.now()),
  });
  // Keepers subscribe to each other's feeds, so that an endpoint's announcement to any keeper
  // reaches all gateways.
  const feedClient = createFeedClient({
    clock,
    logger,
    metadata,
    deployment: settings.deployment,
    subscriberId: settings.id,
    intervalMs: PEER_HEARTBEAT_INTERVAL_MS,
    getSeeds: host.getSeeds,
    resolve: (address) => resolveAddress(settings, address),
    isSelf: (address) => address === settings.keeper.listen,
    tryGetReport: () => undefined,
    listAnnouncements: () => registry.list(),
    crashRecords,
    onCrashRecords: (records) => records.forEach(crashRecords.merge),
    streamOrigins: undefined,
    tables: undefined,
    onAnnouncements: (announcements) => announcements.forEach(announce),
    onReports() {},
  });
  const { controlListen } = settings.keeper;
  const controlApi =
    controlListen === undefined
      ? undefined
      : await host.adapter?.startControlApi({
          clock,
          logger,
          listen: controlListen,
          authority,
          rollouts,
          bodies: host.bodies,
          clients: host.clients,
          announce,
          listAnnouncements: (endpointId) => registry.listOf(endpointId),
        });
  let publishedRevision = 0;

  return {
    service: createControlService({
      settings,
      clock,
      logger,
      authority,
      rollouts,
      feed: feedServer,
      streamOrigins,
    }),
    publish,
    async close() {
      // What the API acknowledges until it is closed still has to reach the other processes.
      await controlApi?.close();
      crashRecordStore.close();
      streamOriginStore.close();
      rolloutController.close();
      feedClient.close();
      feedServer.close();
    },
  };

  function announce(announcement: Announcement): MergeOutcome {
    host.metrics.count('feedAnnouncements', 1);
    return feedServer.announce(announcement);
  }

  function publish(): void {
    rolloutController.onApplied();
    const { revision } = authority.current;
    if (revision === publishedRevision) return;
    publishedRevision = revision;
    feedServer.publishTable();
  }

  async function readConfirmedTable(): Promise<TableDocument | undefined> {
    try {
      return await authority.read();
    } catch (caught) {
      logger.event('tableUnconfirmed', { reason: describeFailure(toFailure(caught)) });
      return undefined;
    }
  }
}
