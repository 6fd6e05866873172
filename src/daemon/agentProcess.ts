/** The agent role: keeper session, scheduler, connections from entries, and the endpoint. */

import { agentDefaults } from '../agent/defaults.js';
import { createEntryConnections } from '../agent/entryConnections.js';
import { createEndpointClient } from '../agent/endpointClient.js';
import { createEndpointMonitor } from '../agent/endpointMonitor.js';
import { createFairness, createNoopFairness } from '../agent/fairness.js';
import { createModelReconciler } from '../agent/modelReconciler.js';
import { createPrefixCacheModel } from '../agent/prefixCacheModel.js';
import { createEndpointCapacity } from '../agent/endpointCapacity.js';
import { createScheduler } from '../agent/scheduler.js';
import type { Scheduler } from '../agent/schedulerTypes.js';
import { createSpeedEstimator } from '../agent/speedEstimator.js';
import type { ConfiguredSpeeds } from '../agent/types.js';
import type { Clock } from '../common/clock.js';
import { createKeeperSession } from '../common/keeperSession.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import {
  createPeerMetadata,
  createServer,
  listen,
  resolveAddress,
  shutDown,
} from '../common/rpc.js';
import type { AgentProcessSettings } from '../common/settings.js';
import { AgentService, type LoadReport } from '../generated/dispatch.js';
import type { AgentSettings } from '../generated/schemas.js';
import type { Member } from '../generated/keeper.js';
import type { RunningProcess } from './types.js';

const PERMILLE = 1_000;
const MICROSECONDS_PER_MS = 1_000;

export async function startAgent(
  settings: AgentProcessSettings,
  incarnation: string,
  clock: Clock,
  logger: Logger,
  metrics: MetricsRecorder,
): Promise<RunningProcess> {
  const { agent } = settings;
  const speeds = getConfiguredSpeeds(agent);
  const disabledMechanisms = new Set<string>(agent.without);
  const tokens = agent.tokenRoom ?? Number.MAX_SAFE_INTEGER;
  const tokenRoom = disabledMechanisms.has('tokenRoom') ? Number.MAX_SAFE_INTEGER : tokens;
  const speedEstimator = createSpeedEstimator(speeds);
  const capacity = createEndpointCapacity(agent.slots, tokenRoom, () => speedEstimator.speed);
  const endpointClient = createEndpointClient(
    agent.endpoint,
    agent.slots + agentDefaults.spareConnections,
    agent.healthPath ?? agentDefaults.healthPath,
  );
  let scheduler: Scheduler | undefined;
  const getScheduler = (): Scheduler => {
    if (scheduler === undefined) throw new TypeError('the scheduler has not started');
    return scheduler;
  };
  const entryConnections = createEntryConnections({
    settings,
    logger,
    incarnation,
    scheduler: getScheduler,
  });
  let seeds: readonly string[] = settings.keepers;
  const session = createKeeperSession(
    {
      clock,
      logger,
      deployment: settings.deployment,
      getSeeds: () => seeds,
      resolve: (address) => resolveAddress(settings, address),
      metadata: createPeerMetadata(settings),
      onChange() {
        modelReconciler.reconcile(session.view.tryGet('pool', agent.pool));
        scheduler?.stopSuspectRuns();
      },
      onLease(hasLease) {
        if (!hasLease) return;
        modelReconciler.reconcile(session.view.tryGet('pool', agent.pool));
        scheduler?.reevaluateQueue();
      },
      onDrain: (draining) => scheduler?.setDraining(draining),
    },
    createMember(settings, incarnation),
  );
  const modelReconciler = createModelReconciler({
    client: endpointClient,
    hasLease: () => session.hasLease(),
    getFencingToken: () => session.fencingToken,
  });
  const endpointMonitor = createEndpointMonitor({
    client: endpointClient,
    now: () => clock.now(),
    logger,
    listRunning: () => scheduler?.listRunning() ?? [],
    reportCrash(digests) {
      const reportedAtMs = clock.wallTime();
      const report = { endpoint: agent.endpoint, incarnation, digests, reportedAtMs };
      return session.reportCrash(report, agentDefaults.crashReportTimeoutMs).catch(() => {});
    },
    onReady: () => scheduler?.reevaluateQueue(),
    onUnreachable: () => scheduler?.abortRuns(),
  });
  scheduler = createScheduler({
    client: endpointClient,
    isEngine: agent.kind === 'engine',
    now: () => clock.now(),
    wallTimeUs: () => Math.round(clock.wallTime() * MICROSECONDS_PER_MS),
    clock,
    logger,
    measures: metrics,
    frames: entryConnections,
    incarnation,
    capacity,
    speedEstimator,
    fairness: disabledMechanisms.has('fairness') ? createNoopFairness() : createFairness(),
    prefixCache: createPrefixCacheModel(tokens),
    speeds,
    slots: agent.slots,
    disabledMechanisms,
    hasLease: () => session.hasLease(),
    getConfigRevision: () => session.configRevision,
    isEndpointReady: () => endpointMonitor.isReady,
    isSuspect: (digest) => session.view.tryGet('suspect', digest) !== undefined,
    onRunFailed: (job, wasSent) => endpointMonitor.reportRunFailure(job, wasSent),
  });
  const server = createServer();
  server.addService(AgentService, entryConnections.service);
  await listen(server, { logger, address: agent.listen });
  const loadTimer = setInterval(reportLoad, agentDefaults.loadReportMs);

  return {
    reload(changed) {
      seeds = changed.keepers;
    },
    async stop() {
      getScheduler().setDraining(true);
      await getScheduler().waitUntilDrained();
      clearInterval(loadTimer);
      modelReconciler.stop();
      endpointMonitor.stop();
      await session.leave();
      entryConnections.close();
      getScheduler().stop();
      await shutDown(server);
      await endpointClient.close();
    },
  };

  function reportLoad(): void {
    const runningScheduler = getScheduler();
    metrics.gauge('agentRunning', runningScheduler.running);
    metrics.gauge('agentSpeed', Math.round(speedEstimator.speed * PERMILLE));
    const report: LoadReport = {
      running: runningScheduler.running,
      waiting: runningScheduler.waiting,
      slots: endpointMonitor.isReady ? capacity.usableSlots : 0,
      freeTokens: Math.min(capacity.freeTokens, agentDefaults.maxReportedTokens),
      speedPermille: Math.round(speedEstimator.speed * PERMILLE),
      draining: session.isDraining,
    };
    entryConnections.broadcastLoad(report);
  }
}

function getConfiguredSpeeds(agent: AgentSettings): ConfiguredSpeeds | undefined {
  const { prefillTokensPerSecond: prefill, decodeTokensPerSecond: decode } = agent;
  if (prefill === undefined || decode === undefined) return undefined;
  return { prefillTokensPerSecond: prefill, decodeTokensPerSecond: decode };
}

function createMember(settings: AgentProcessSettings, incarnation: string): Member {
  const { agent } = settings;
  return {
    id: settings.id,
    incarnation,
    role: 'agent',
    address: agent.listen,
    failureDomain: settings.failureDomain,
    pool: agent.pool,
    endpointKind: agent.kind,
    draining: false,
    fencingToken: 0,
    endpoint: agent.endpoint,
  };
}
