/** The keeper role: store, Raft replica, member sessions, and the operators' API. */

import { join } from 'node:path';
import { createBodyAdmission } from '../common/bodyAdmission.js';
import type { ClientMemory } from '../common/clientMemory.js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import { createPeerMetadata, createServer, listen, resolveAddress } from '../common/rpc.js';
import { toFailure } from '../common/failure.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import { ControlService } from '../generated/control.js';
import { KeeperService, type Replica } from '../generated/keeper.js';
import {
  decideClusterBootstrap,
  formCluster,
  isEmptyStore,
  listKnownAddresses,
  maintainMembership,
  type FormationHost,
} from '../keeper/formation.js';
import { giveUpVote } from '../keeper/departure.js';
import { startOperatorApi } from '../keeper/operatorApi.js';
import { createPeers } from '../keeper/peers.js';
import { createMembershipRepairs, getRequiredVoters } from '../keeper/membershipChanges.js';
import { createReplica, type RunningReplica } from '../keeper/replica.js';
import { createKeeperService } from '../keeper/keeperService.js';
import { createSessions } from '../keeper/sessions.js';
import { openStore, quarantineStore, type Store } from '../keeper/store.js';
import { startKeeperControl } from './keeperControl.js';
import type { Adapter, RunningProcess } from './types.js';

const MEMBERSHIP_REPAIR_INTERVAL_MS = 200;
/** Most requests are confirmed by a majority first, and wait for those of all connections. */
const MAX_PIPELINED_REQUESTS = 8;

export async function startKeeper(
  settings: KeeperProcessSettings,
  clock: Clock,
  logger: Logger,
  metrics: MetricsRecorder,
  onFatal: (caught: unknown) => void,
  stopping: AbortSignal,
  adapter: Adapter | undefined,
  memory: ClientMemory,
): Promise<RunningProcess> {
  const folder = join(settings.keeper.dataFolder, 'keeper');
  let store = await openOrReplaceStore(folder, clock, logger, stopping);
  const self: Replica = {
    id: settings.id,
    storeId: store.storeId,
    address: settings.keeper.listen,
    operatorAddress: settings.keeper.operatorListen,
  };
  const isEmpty = isEmptyStore(store);
  const mayForm = isEmpty && (settings.keeper.bootstrap ?? true);
  const metadata = createPeerMetadata(settings);
  const peers = createPeers(clock, metadata, (address) => resolveAddress(settings, address));
  const requiredVoters = getRequiredVoters(
    settings.keeper.toleratedLosses ?? Math.floor((settings.keepers.length - 1) / 2),
  );
  let replica: RunningReplica | undefined;
  let isForming = false;
  const sessions = createSessions({
    clock,
    logger,
    measures: metrics,
    tryGetReplica: () => replica,
  });
  const service = createKeeperService({
    clock,
    settings,
    logger,
    self,
    sessions,
    requiredVoters,
    mayForm,
    isForming: () => isForming,
    tryGetReplica: () => replica,
  });
  const server = createServer();
  server.addService(KeeperService, service);
  const bodies = createBodyAdmission(memory);
  const clients = { memory, maxPipelinedRequests: MAX_PIPELINED_REQUESTS };
  const operatorApi = await startOperatorApi({
    settings,
    bodies,
    clients,
    clock,
    logger,
    sessions,
    tryGetReplica: () => replica,
  });
  let seeds: readonly string[] = settings.keepers;
  const control = await startKeeperControl({
    settings,
    clock,
    logger,
    metrics,
    metadata,
    peers,
    bodies,
    clients,
    adapter,
    getSeeds: () => seeds,
    tryGetReplica: () => replica,
  });
  server.addService(ControlService, control.service);
  await listen(server, { logger, address: settings.keeper.listen });
  const formation: FormationHost = {
    peers,
    logger,
    metadata,
    deployment: settings.deployment,
    self,
    mayForm,
    announceForming(value) {
      isForming = value;
    },
    getAddresses: () => seeds,
    isStopped: () => stopping.aborted,
  };
  const bootstrapDecision = isEmpty ? await decideClusterBootstrap(formation) : undefined;
  if (bootstrapDecision?.kind === 'form') {
    await formCluster(formation, store, bootstrapDecision.voters);
    await store.close();
    store = await openStore(folder, logger, stopping);
  }
  replica = createReplica(
    {
      clock,
      logger,
      measures: metrics,
      send: (envelope) => peers.send(envelope),
      onApplied() {
        if (replica?.isServing) sessions.publish();
        control.publish();
      },
      onRoleChange: (isLeader) => sessions.onRoleChange(isLeader),
      onFatal,
    },
    {
      deployment: settings.deployment,
      self,
      snapshotEntries: settings.keeper.snapshotEntries,
    },
    store,
  );
  // Subscribers may have connected before there was a table.
  control.publish();
  const runningReplica = replica;
  maintainMembership(formation, runningReplica, clock).catch(onFatal);
  const repairs = createMembershipRepairs(runningReplica, clock, requiredVoters);
  const repairTimer = setInterval(() => {
    repairs.run();
    peers.closeUnused(listKnownAddresses(formation, runningReplica));
  }, MEMBERSHIP_REPAIR_INTERVAL_MS);

  return {
    reload(changed) {
      seeds = changed.keepers;
    },
    async stop() {
      await giveUpVote(formation, runningReplica, clock, requiredVoters);
      clearInterval(repairTimer);
      sessions.close();
      await control.close();
      await operatorApi.close();
      await runningReplica.stop();
      peers.close();
      server.forceShutdown();
    },
  };
}

/** Raises `unavailable` if `signal` is aborted while the disk is full or fails. */
async function openOrReplaceStore(
  folder: string,
  clock: Clock,
  logger: Logger,
  signal: AbortSignal,
): Promise<Store> {
  try {
    const store = await openStore(folder, logger, signal);
    if (store.state.tornBytes > 0) logger.event('logTailCut', { bytes: store.state.tornBytes });
    return store;
  } catch (caught) {
    const failure = toFailure(caught);
    if (failure.kind !== 'storeCorrupt') throw caught;
    logger.event('storeCorrupt', { reason: failure.reason });
    await quarantineStore(folder, clock.wallTime(), logger, signal);
    return openStore(folder, logger, signal);
  }
}
