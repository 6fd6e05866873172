/** The entry role: session, links to agents, dispatcher, callers' interface. */

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

const REVIEW_MS = 25;
const POLL_MS = 20;
/** How long a call waits for a current configuration; milliseconds. */
const CURRENT_LIMIT_MS = 5_000;
const DEFAULT_MAX_WAITING = 2_000;
const CRASH_REPORT_TIMEOUT_MS = 3_000;

/** Starts an entry. */
export async function startEntry(
  settings: EntryProcessSettings,
  incarnation: string,
  clock: Clock,
  logger: Logger,
  measures: MetricsRecorder,
): Promise<RunningProcess> {
  const metadata = createPeerMetadata(settings);
  const tracing = await createTracing(settings.tracing, settings.id);
  let isStopping = false;
  let dispatcher: Dispatcher | undefined;
  const links = createAgentLinks({
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
  const session = createKeeperSession(
    {
      clock,
      logger,
      deployment: settings.deployment,
      keepers: settings.keepers,
      resolve: (address) => resolveAddress(settings, address),
      metadata,
      onChange: followConfig,
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
    send: (agentId, body) => links.send(agentId, '', body),
  });
  const running = createDispatcher({
    clock,
    logger,
    links,
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
  dispatcher = running;
  const shedding = createShedding({
    clock,
    floors,
    maxWaiting: settings.entry.maxWaiting ?? DEFAULT_MAX_WAITING,
    listWaiting: () => running.listWaiting(),
    countWaiting: () => running.waitingCount,
    getLowestRank: () => directory.lowestRank,
    usesTiers: policy.usesTiers,
    estimateRunMs: (request) => estimateRunMs(request, directory, links),
    shed: (request, problem) => running.shed(request, problem),
  });
  const calls = createCallRunner({
    clock,
    measures,
    tracing,
    session,
    dispatcher: running,
    entryId: settings.id,
    incarnation,
    getDirectory: () => directory,
  });
  const api = await startCallerApi({
    clock,
    settings: settings.entry,
    getDirectory: () => directory,
    isReady: () => session.hasLease() && !isStopping,
    waitUntilCurrent: waitCurrent,
    run: (call) => calls.run(call),
  });
  const reviewTimer = setInterval(() => {
    running.review();
    shedding.review();
    measures.gauge('entryWaiting', running.waitingCount);
  }, REVIEW_MS);

  return { stop };

  function followConfig(): void {
    directory = createDirectory(session.view);
    links.setAgents(directory.listAllAgents());
    dispatcher?.readmit();
    dispatcher?.review();
  }

  async function waitCurrent(): Promise<boolean> {
    const deadline = clock.now() + CURRENT_LIMIT_MS;
    while (!session.hasLease()) {
      if (clock.now() > deadline) return false;
      await delay(POLL_MS);
    }
    return true;
  }

  async function stop(): Promise<void> {
    isStopping = true;
    await api.close();
    while (calls.activeCount > 0) {
      await delay(POLL_MS);
    }
    clearInterval(reviewTimer);
    await session.leave();
    links.close();
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
