/** The entry role: keeper session, links to agents, dispatcher, and the callers' API. */

import { createPolicy } from '../entry/placement.js';
import { createAgentLinks } from '../entry/agentLinks.js';
import { startCallerApi } from '../entry/callerApi.js';
import { createCallRunner } from '../entry/callRunner.js';
import { createDirectory } from '../entry/directory.js';
import { createDispatcher, type Dispatcher } from '../entry/dispatcher.js';
import { createFloors } from '../entry/floors.js';
import { estimateRunMs } from '../entry/reservations.js';
import { createShedding } from '../entry/shedding.js';
import type { Clock } from '../common/clock.js';
import { delay } from '../common/delay.js';
import { createKeeperSession } from '../common/keeperSession.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import { createPeerMetadata, resolveAddress } from '../common/rpc.js';
import type { EntryProcessSettings } from '../common/settings.js';
import { createTracing } from '../common/tracing.js';
import type { Member } from '../generated/keeper.js';
import type { RunningProcess } from './types.js';

const REVIEW_INTERVAL_MS = 25;
const POLL_INTERVAL_MS = 20;
/** Longest time that a call waits for the configuration lease, and so for a current view. */
const LEASE_WAIT_LIMIT_MS = 5_000;
const DEFAULT_MAX_WAITING = 2_000;
const CRASH_REPORT_TIMEOUT_MS = 3_000;

export async function startEntry(
  settings: EntryProcessSettings,
  incarnation: string,
  clock: Clock,
  logger: Logger,
  metrics: MetricsRecorder,
): Promise<RunningProcess> {
  const metadata = createPeerMetadata(settings);
  const tracing = await createTracing(settings.tracing, settings.id);
  let isStopping = false;
  let dispatcher: Dispatcher | undefined;
  const agentLinks = createAgentLinks({
    clock,
    logger,
    metadata,
    resolve: (address) => resolveAddress(settings, address),
    deployment: settings.deployment,
    entryId: settings.id,
    incarnation,
    onConnected: (link) => dispatcher?.handleConnected(link),
    onDisconnected: (link) => dispatcher?.handleDisconnected(link),
    onFrame: (link, frame) => dispatcher?.handleFrame(link, frame),
  });
  let seeds: readonly string[] = settings.keepers;
  const session = createKeeperSession(
    {
      clock,
      logger,
      deployment: settings.deployment,
      getSeeds: () => seeds,
      resolve: (address) => resolveAddress(settings, address),
      metadata,
      onChange: applyConfig,
      onLease: () => dispatcher?.review(),
      onDrain: () => {},
    },
    createMember(settings, incarnation),
  );
  const policy = createPolicy(settings.entry.policy ?? 'grants', new Set(settings.entry.without));
  let directory = createDirectory(session.view);
  const floors = createFloors({
    clock,
    logger,
    listAgentIds: (pool) => directory.listAgents(pool).map((member) => member.id),
    send: (agentId, body) => agentLinks.send(agentId, '', body),
  });
  const startedDispatcher = createDispatcher({
    clock,
    logger,
    links: agentLinks,
    policy,
    floors,
    getDirectory: () => directory,
    hasLease: () => session.hasLease(),
    getRevision: () => session.view.revision,
    async reportAgentLoss(agentId, digest) {
      const reportedAtMs = clock.wallTime();
      const report = { endpoint: agentId, incarnation, digests: [digest], reportedAtMs };
      await session.reportCrash(report, CRASH_REPORT_TIMEOUT_MS).catch(() => {});
    },
  });
  dispatcher = startedDispatcher;
  const shedding = createShedding({
    clock,
    floors,
    maxWaiting: settings.entry.maxWaiting ?? DEFAULT_MAX_WAITING,
    listWaiting: () => startedDispatcher.listWaiting(),
    countWaiting: () => startedDispatcher.waitingCount,
    getLowestRank: () => directory.lowestRank,
    usesTiers: policy.usesTiers,
    estimateRunMs: (request) => estimateRunMs(request, directory, agentLinks),
    shed: (request, problem) => startedDispatcher.shed(request, problem),
  });
  const callRunner = createCallRunner({
    clock,
    measures: metrics,
    tracing,
    session,
    dispatcher: startedDispatcher,
    entryId: settings.id,
    incarnation,
    getDirectory: () => directory,
  });
  const callerApi = await startCallerApi({
    clock,
    logger,
    settings: settings.entry,
    getDirectory: () => directory,
    isReady: () => session.hasLease() && !isStopping,
    waitUntilCurrent: waitForLease,
    run: (call) => callRunner.run(call),
  });
  const reviewTimer = setInterval(() => {
    startedDispatcher.review();
    shedding.review();
    metrics.gauge('entryWaiting', startedDispatcher.waitingCount);
  }, REVIEW_INTERVAL_MS);

  return {
    stop,
    reload(changed) {
      seeds = changed.keepers;
    },
  };

  function applyConfig(): void {
    directory = createDirectory(session.view);
    agentLinks.setAgents(directory.listAllAgents());
    dispatcher?.readmit();
    dispatcher?.review();
  }

  async function waitForLease(): Promise<boolean> {
    const deadline = clock.now() + LEASE_WAIT_LIMIT_MS;
    while (!session.hasLease()) {
      if (clock.now() > deadline) return false;
      await delay(POLL_INTERVAL_MS);
    }
    return true;
  }

  async function stop(): Promise<void> {
    isStopping = true;
    await callerApi.close();
    while (callRunner.activeCount > 0) {
      await delay(POLL_INTERVAL_MS);
    }
    clearInterval(reviewTimer);
    await session.leave();
    agentLinks.close();
    await tracing.close();
  }
}

function createMember(settings: EntryProcessSettings, incarnation: string): Member {
  return {
    id: settings.id,
    incarnation,
    role: 'entry',
    address: '',
    failureDomain: settings.failureDomain,
    pool: '',
    endpointKind: '',
    draining: false,
    fencingToken: 0,
    endpoint: '',
  };
}
