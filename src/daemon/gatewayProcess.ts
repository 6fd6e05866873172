/** The gateway role: feed from the keepers, endpoints, callers' server, and the readiness probe. */

import polka from 'polka';
import type { ClientMemory } from '../common/clientMemory.js';
import type { Clock } from '../common/clock.js';
import { delay } from '../common/delay.js';
import { awaitTurns } from '../common/eventLoop.js';
import { startServer } from '../common/httpServer.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import { createPeerMetadata, resolveAddress } from '../common/rpc.js';
import { startTurnTime } from '../common/turnTime.js';
import type { GatewayProcessSettings } from '../common/settings.js';
import { createCrashRecords } from '../crashes/crashRecords.js';
import { createFeedClient } from '../feed/feedClient.js';
import type { GatewayReport } from '../generated/control.js';
import type { CallSummary } from '../gateway/callProgress.js';
import { createBodyReader } from '../gateway/bodyReader.js';
import { startCallServer } from '../gateway/callServer.js';
import { createCallStarts } from '../gateway/callStarts.js';
import { createCrashDetector } from '../gateway/crashDetector.js';
import { createCrashSuspects } from '../gateway/crashSuspects.js';
import { createDrain } from '../gateway/drain.js';
import { createEndpointTracker } from '../gateway/endpointTracker.js';
import { createOriginLookup } from '../gateway/originLookup.js';
import { createQuotas } from '../gateway/quotas.js';
import { createRetryBudget } from '../gateway/retryBudget.js';
import { createRolloutRouting } from '../gateway/rolloutRouting.js';
import { createScheduler } from '../gateway/scheduler.js';
import { createStallDetector } from '../gateway/stallDetector.js';
import { createTableView } from '../gateway/tableView.js';
import type { Dialect } from '../gateway/types.js';
import { createUnreadResponses } from '../gateway/unreadResponses.js';
import { createVersionOutcomes } from '../gateway/versionOutcomes.js';
import type { CallerLimits, RoutingTable } from '../routing/types.js';
import { createEndpointRegistry } from '../registry/registry.js';
import { createStreamOrigins } from '../streams/streamOrigins.js';
import type { RunningProcess } from './types.js';

const REPORT_INTERVAL_MS = 100;
const POLL_INTERVAL_MS = 50;
/** Time without an update from any keeper after which no reports of other gateways are expected. */
const ISOLATION_TIMEOUT_MS = 1_000;
/**
 * Share of the drain limit after which calls are ended. The rest is for the last responses and the
 * exit, for which a busy host may let the process wait.
 */
const DRAIN_SHARE = 7 / 8;
/** Time for writing the last responses. */
const LAST_RESPONSES_MS = 150;
/** Turns of the event loop in which waiting connections are accepted and their requests read. */
const TURNS_TO_READ = 3;
/** Turns in which a request that has been read is refused. */
const TURNS_TO_REFUSE = 10;
const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_RETRY_BURST = 30;
const DEFAULT_RETRY_WINDOW_MS = 10_000;

export async function startGateway(
  settings: GatewayProcessSettings,
  incarnation: string,
  clock: Clock,
  logger: Logger,
  metrics: MetricsRecorder,
  dialect: Dialect,
  memory: ClientMemory,
): Promise<RunningProcess> {
  const { gateway } = settings;
  const now = (): number => clock.now();
  const drain = createDrain(now, gateway.drainLimitMs * DRAIN_SHARE);
  let isListening = false;
  let reportedReady = false;
  let limits: CallerLimits | undefined;
  let seeds: readonly string[] = settings.keepers;
  const registry = createEndpointRegistry(logger);
  const tableView = createTableView({
    clock,
    logger,
    isStrict: gateway.strictRevocation ?? false,
    decode: dialect.decodeTable,
    mayReceiveNewer: () => feed.mayReceiveNewerTable,
    onTable: applyTable,
  });
  const endpoints = createEndpointTracker({
    logger,
    now,
    random: Math.random,
    registry,
    failureDomain: settings.failureDomain,
    scheduling: gateway.scheduling,
    isEngine,
    onLeaving: (announcement) => feed.announce(announcement),
    onOriginsCorrected(origins) {
      origins.forEach(streamOrigins.record);
      void feed.sendOrigins();
    },
  });
  const quotas = createQuotas({
    now,
    slack: gateway.quotaSlack ?? 0,
    isConnected: () => feed.timeSinceUpdateMs < ISOLATION_TIMEOUT_MS,
  });
  const retryBudget = createRetryBudget(
    {
      ratio: gateway.retryRatio ?? DEFAULT_RETRY_RATIO,
      burst: gateway.retryBurst ?? DEFAULT_RETRY_BURST,
      windowMs: gateway.retryWindowMs ?? DEFAULT_RETRY_WINDOW_MS,
    },
    now,
    () => quotas.gatewayCount,
  );
  const stallDetector = createStallDetector(now);
  const turnTime = startTurnTime(clock, logger);
  const starts = createCallStarts({ now, random: Math.random });
  const crashRecords = createCrashRecords(now);
  const crashSuspects = createCrashSuspects({ now, logger, records: crashRecords });
  const streamOrigins = createStreamOrigins(now);
  const crashDetector = createCrashDetector({
    logger,
    onCrash({ announcement, health }, interrupted, isRefused) {
      if (isRefused) health.recordCrash(now());
      crashSuspects.recordCrash(announcement, interrupted);
    },
  });
  const heldBytes = memory.responses;
  const unread = createUnreadResponses({
    logger,
    now,
    heldBytes,
    onClosed: () => memory.countLimited('unreadResponses'),
  });
  const clients = { memory, maxPipelinedRequests: gateway.maxPipelinedRequests };
  const rollouts = createRolloutRouting({
    clock,
    logger,
    random: Math.random,
    countGateways: () => endpoints.gatewayCounts.known,
    hasReady: (pool, softwareVersion) => endpoints.hasReady(pool, softwareVersion),
  });
  const versionOutcomes = createVersionOutcomes({
    isTracked: (pool) => rollouts.isTracked(pool),
    onBegun: (pool, version) => metrics.count('gatewayVersionSends', 1, { pool, version }),
  });
  const scheduler = createScheduler({
    now,
    random: Math.random,
    endpoints,
    isEngine,
    rollouts,
  });
  const metadata = createPeerMetadata(settings);
  const feed = createFeedClient({
    clock,
    logger,
    metadata,
    deployment: settings.deployment,
    subscriberId: settings.id,
    intervalMs: REPORT_INTERVAL_MS,
    getSeeds: () => seeds,
    resolve: (address) => resolveAddress(settings, address),
    isSelf: () => false,
    tryGetReport: createReport,
    listAnnouncements: () => registry.list(),
    crashRecords,
    onCrashRecords: crashSuspects.receive,
    streamOrigins,
    tables: { receive: tableView.receive, confirm: tableView.confirm },
    onAnnouncements(announcements) {
      for (const announcement of announcements) {
        if (registry.merge(announcement).kind !== 'refused') {
          rollouts.recordAnnouncement(announcement);
        }
      }
      endpoints.syncWithRegistry();
      scheduler.reevaluate();
    },
    onReports(reports) {
      for (const report of reports) {
        endpoints.applyReport(report);
        quotas.applyReport(report);
      }
      scheduler.reevaluate();
    },
    onRollouts: (records, isCurrent) => rollouts.receive(records, isCurrent),
  });
  const readiness = polka();
  readiness.use((_request, response) => {
    response.statusCode = isReady() ? 200 : 503;
    response.end();
  });
  const readinessServer = await startServer(readiness, {
    logger,
    address: gateway.readyListen,
    clients,
  });
  // Last, as a start that waits for an address can stop without a drain only while no calls arrive.
  const callServer = await startCallServer({
    clock,
    logger,
    dialect,
    listen: gateway.listen,
    clients,
    random: Math.random,
    table: tableView,
    tryGetLimits: () => limits,
    quotas,
    starts,
    originLookup: createOriginLookup({
      origins: streamOrigins,
      askKeepers: (callIds, onOrigins) => feed.findStreamOrigins(callIds, onOrigins),
    }),
    handlerHost: {
      clock,
      logger,
      dialect,
      scheduler,
      endpoints,
      retryBudget,
      stallDetector,
      crashDetector,
      crashSuspects,
      drain,
      heldBytes,
      versionOutcomes,
      shareStreamOrigin(origin) {
        streamOrigins.record(origin);
        return feed.sendOrigins();
      },
      onEnd: recordCallEnd,
    },
    unread,
    bodies: createBodyReader({
      clock,
      memory,
      tryGetMaxBytes: () => limits?.maxBodyBytes,
    }),
    drain,
    onRefused: (status) => metrics.count('gatewayRefusals', 1, { status: String(status) }),
  });
  isListening = true;

  return {
    stop,
    reload(changed) {
      seeds = changed.keepers;
    },
  };

  function isReady(): boolean {
    const ready = isListening && tableView.isUsable && !drain.isStarted;
    if (ready !== reportedReady) {
      reportedReady = ready;
      const revision = tableView.index?.table.revision ?? 0;
      logger.event('readinessChanged', { ready: String(ready), revision });
    }
    return ready;
  }

  function applyTable(table: RoutingTable): void {
    quotas.updateTeams(table.teams ?? []);
    limits = table.limits;
    // Endpoints may announce themselves before a table declares their pool.
    if (!registry.declarePools(table.pools.map(({ name }) => name))) return;
    endpoints.syncWithRegistry();
    scheduler.reevaluate();
  }

  function isEngine(pool: string): boolean {
    return tableView.index?.tryGetPool(pool)?.engine !== undefined;
  }

  function createReport(): GatewayReport {
    metrics.gauge('gatewayWaiting', scheduler.waitingCount);
    metrics.gauge('gatewayLimitedEndpoints', endpoints.limitedCount);
    metrics.gauge('gatewayTurn', turnTime.meanMs);
    metrics.gauge('gatewayUnstarted', starts.waitingCount);
    return {
      gatewayId: settings.id,
      incarnation,
      loads: endpoints.listLoads(),
      uses: quotas.listUses(),
      waiting: scheduler.waitingCount,
      versionOutcomes: versionOutcomes.list(),
    };
  }

  function recordCallEnd(summary: CallSummary): void {
    const { call, outcome, status, reason, endpoint, attemptCount: sendCount } = summary;
    const { route, pool } = call;
    logger.event('callEnded', {
      request: call.head.id,
      resumes: call.head.resumedCallId ?? '',
      resumeAfter: call.head.resumeAfter ?? '',
      route: route.name,
      team: call.team?.name ?? '',
      tokens: (call.head.tokens?.prompt ?? 0) + (call.head.tokens?.output ?? 0),
      statedMs: call.head.waitMs ?? 0,
      waitedMs: Math.round(call.waitedMs),
      revision: call.revision,
      outcome,
      status,
      reason,
      endpoint,
      softwareVersion: summary.softwareVersion,
      sends: sendCount,
      waiting: scheduler.waitingCount,
      placedMs: Math.round(summary.placedMs),
      firstMs: Math.round(summary.firstMs),
      totalMs: Math.round(summary.totalMs),
      pauseMs: Math.round(summary.pauseMs),
    });
    metrics.count('gatewayCalls', 1, { route: route.name, outcome });
    metrics.count('gatewaySends', sendCount, { pool });
    if (sendCount > 0) metrics.timing('gatewayPlaced', summary.placedMs, { pool });
    if (outcome !== 'answered') return;
    metrics.timing('gatewayFirst', summary.firstMs, { route: route.name });
    metrics.timing('gatewayTotal', summary.totalMs, { route: route.name });
  }

  async function stop(signalledAt: number): Promise<void> {
    drain.start(signalledAt);
    await pollUntil(drain.endAt, () => {
      if (drain.isBalancerLagOver) callServer.closeIdle();
      return drain.isBalancerLagOver && callServer.openCount === 0;
    });
    callServer.endCalls();
    await pollUntil(now() + LAST_RESPONSES_MS, () => callServer.openCount === 0);
    await awaitTurns(TURNS_TO_REFUSE);
    // No request may be read any more from here on, as nothing would serve it.
    callServer.close();
    unread.close();
    feed.close();
    scheduler.close();
    stallDetector.close();
    turnTime.close();
    void readinessServer.close();
    endpoints.close();
  }

  /**
   * Returns once `isDone` or at `endAt`, without letting any other task run in between. What arrived
   * while the process did not run has been read by then.
   */
  async function pollUntil(endAt: number, isDone: () => boolean): Promise<void> {
    while (!isDone() && now() < endAt) {
      await delay(POLL_INTERVAL_MS);
      await awaitTurns(TURNS_TO_READ);
    }
  }
}
