/**
 * Keeper side of the feed: pushes tables, announcements and reports of gateways to all subscribers,
 * and receives the announcements and reports that they send. Every keeper serves it, not only the
 * Raft leader, so that losing the leader does not interrupt the feed. Messages and log events call
 * a subscriber "follower"; it has nothing to do with a Raft follower.
 */

import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import { createRunningTime } from '../common/runningTime.js';
import type { CrashRecordCursor, CrashRecords } from '../crashes/crashRecords.js';
import type { Announcement, FeedMessage, FeedUpdate, GatewayReport } from '../generated/control.js';
import type { Rollout, TableDocument } from '../generated/keeper.js';
import type { EndpointRegistry, MergeOutcome } from '../registry/registry.js';
import type { StreamOrigins } from '../streams/streamOrigins.js';
import type { KeeperList } from './keeperDirectory.js';
import { createPacedStream, type PacedStream } from './pacedStream.js';
import { createTableDelivery } from './tableDelivery.js';

/** Interval of the updates that forward reports and show subscribers that this keeper is alive. */
const PUSH_INTERVAL_MS = 100;
/**
 * Interval at which rollouts in progress are sent again: a gateway that hears nothing of one for half
 * the time in which it must be reverted sends nothing more to the new version.
 */
const ROLLOUT_INTERVAL_MS = 500;
/** Age after which a gateway's report is deleted. */
const REPORT_RETENTION_MS = 3_000;
/**
 * Running time after which the stream of a subscriber that takes nothing is ended. A part of a table
 * takes a second or two over the narrowest links.
 */
const STALL_TIMEOUT_MS = 10_000;

export type FeedStream = ServerDuplexStream<FeedMessage, FeedUpdate>;

/** Options and data sources of a feed server. */
export interface FeedServerHost {
  clock: Clock;
  logger: Logger;
  deployment: string;
  registry: EndpointRegistry;
  crashRecords: CrashRecords;
  streamOrigins: Pick<StreamOrigins, 'record'>;
  /** The newest table that is committed as far as this keeper knows. */
  getTable(): TableDocument;
  /** The table that a majority confirms to be in force; undefined if none can be confirmed now. */
  readConfirmedTable(): Promise<TableDocument | undefined>;
  /** All members of the keepers' cluster. */
  listKeepers(): KeeperList;
  /** The latest rollout of each pool as far as this keeper knows, with the ages of the moment. */
  listRollouts(): Rollout[];
  /** Whether a quorum has confirmed lately that this keeper has applied all that was committed. */
  isCurrent(): boolean;
}

/** A running feed server. */
export interface FeedServer {
  /** Adds the caller as a subscriber once its first message arrives. */
  serve(stream: FeedStream): void;
  /** Announces the newest table to all subscribers. */
  publishTable(): void;
  /** Sends the rollouts to all subscribers that want tables. */
  publishRollouts(): void;
  /** Latest reports of the gateways that send any. */
  listReports(): GatewayReport[];
  /** Merges an announcement into the registry; sends it to all subscribers if anything changed. */
  announce(announcement: Announcement): MergeOutcome;
  close(): void;
}

interface Subscriber {
  id: string;
  stream: FeedStream;
  updates: PacedStream<FeedUpdate>;
  /** Endpoints whose announcements have changed since the last update. */
  changedEndpoints: Set<string>;
  /** Whether reports are due, which subscribers get at intervals. */
  isPushDue: boolean;
  /** Whether rollouts are due: at first, when one has changed, and at intervals. */
  isRolloutDue: boolean;
  /** Confirmed since the last update. */
  confirmedRevision: number | undefined;
  wantsReports: boolean;
  wantsTables: boolean;
  /** Whether it has been sent the revision that a majority of keepers confirmed. */
  isTableConfirmed: boolean;
  /** Follows the crash records that it has been sent. */
  crashCursor: CrashRecordCursor;
  /** The list of keepers last sent, as text; it is sent again only when it changes. */
  lastSentKeepers: string;
}

interface StoredReport {
  report: GatewayReport;
  receivedAt: number;
}

/** Starts pushing updates to the subscribers that are added. */
export function createFeedServer(host: FeedServerHost): FeedServer {
  const { clock, logger, registry } = host;
  const subscribers = new Set<Subscriber>();
  const reports = new Map<string, StoredReport>();
  const runningTime = createRunningTime(clock, 2 * PUSH_INTERVAL_MS);
  let isConfirming = false;
  let rolloutsSentAt = clock.now();
  const tables = createTableDelivery<Subscriber>({
    clock,
    getTable: host.getTable,
    write: ({ updates }, table, onTaken) => updates.write(createUpdate({ table }), onTaken),
    onHeld: logTable,
  });
  const pushTimer = setInterval(pushUpdates, PUSH_INTERVAL_MS);

  return {
    serve,
    publishTable,
    publishRollouts,
    listReports: () => [...reports.values()].map(({ report }) => report),
    announce,
    close,
  };

  function serve(stream: FeedStream): void {
    const subscriber: Subscriber = {
      id: '',
      stream,
      updates: createPacedStream({
        now: () => runningTime.now,
        write: (update, onTaken) => stream.write(update, onTaken),
        compose: () => (subscribers.has(subscriber) ? composeUpdate(subscriber) : undefined),
      }),
      changedEndpoints: new Set(),
      isPushDue: false,
      isRolloutDue: true,
      confirmedRevision: undefined,
      wantsReports: false,
      wantsTables: true,
      isTableConfirmed: false,
      crashCursor: host.crashRecords.openCursor(),
      lastSentKeepers: '',
    };
    stream.on('data', (message: FeedMessage) => handleMessage(subscriber, message));
    stream.on('error', () => removeSubscriber(subscriber));
    stream.on('close', () => removeSubscriber(subscriber));
    stream.on('end', () => {
      removeSubscriber(subscriber);
      stream.end();
    });
  }

  function handleMessage(subscriber: Subscriber, message: FeedMessage): void {
    if (message.deployment !== host.deployment) return;
    subscriber.wantsReports = message.wantsReports;
    subscriber.wantsTables = !message.ignoresTables;
    if (!subscribers.has(subscriber)) addSubscriber(subscriber, message);
    for (const announcement of message.announcements) announce(announcement);
    for (const record of message.crashRecords) host.crashRecords.merge(record);
    for (const origin of message.streamOrigins) host.streamOrigins.record(origin);
    if (subscriber.wantsTables) answerTableRequests(subscriber, message);
    const { report } = message;
    if (report === undefined) return;
    reports.set(report.gatewayId, { report, receivedAt: clock.now() });
  }

  function addSubscriber(subscriber: Subscriber, { followerId, knownRevision }: FeedMessage): void {
    subscriber.id = followerId;
    subscribers.add(subscriber);
    logger.event('followerConnected', { follower: followerId, revision: host.getTable().revision });
    // The table lets a gateway serve; by then it has to know which requests crash endpoints.
    for (const { endpointId } of registry.list()) subscriber.changedEndpoints.add(endpointId);
    subscriber.updates.flush();
    if (!subscriber.wantsTables) return;
    tables.recordHeld(subscriber, knownRevision);
    tables.announce(subscriber);
    void sendConfirmedRevision();
  }

  function answerTableRequests(subscriber: Subscriber, message: FeedMessage): void {
    tables.recordHeld(subscriber, message.knownRevision);
    for (const request of message.wantedParts) tables.answer(subscriber, request);
  }

  /**
   * Sends new subscribers the revision in force, once a majority of keepers confirms it. Tried at
   * each push; one confirmation serves all subscribers that were added before it was asked for.
   */
  async function sendConfirmedRevision(): Promise<void> {
    const waiting = [...subscribers].filter(
      ({ wantsTables, isTableConfirmed }) => wantsTables && !isTableConfirmed,
    );
    if (isConfirming || waiting.length === 0) return;
    isConfirming = true;
    const table = await host.readConfirmedTable();
    isConfirming = false;
    if (table === undefined) return;
    for (const subscriber of waiting) {
      subscriber.isTableConfirmed = true;
      subscriber.confirmedRevision = table.revision;
      subscriber.updates.flush();
    }
  }

  function logTable({ id }: Subscriber, table: TableDocument, takenMs: number): void {
    logger.event('tableHeld', {
      follower: id,
      revision: table.revision,
      bytes: table.document.length,
      takenMs: Math.round(takenMs),
    });
  }

  function publishTable(): void {
    for (const subscriber of subscribers) {
      if (subscriber.wantsTables) tables.announce(subscriber);
    }
    void sendConfirmedRevision();
  }

  function publishRollouts(): void {
    rolloutsSentAt = clock.now();
    for (const subscriber of subscribers) {
      subscriber.isRolloutDue = true;
      subscriber.updates.flush();
    }
  }

  /** One that lags or is cut off must not make subscribers believe that its rollouts are current. */
  function refreshRollouts(): void {
    if (clock.now() - rolloutsSentAt < ROLLOUT_INTERVAL_MS || !host.isCurrent()) return;
    if (host.listRollouts().some(({ state }) => state === 'inProgress')) publishRollouts();
  }

  function announce(announcement: Announcement): MergeOutcome {
    const outcome = registry.merge(announcement);
    if (outcome.kind === 'changed') publishAnnouncement(outcome.announcement);
    return outcome;
  }

  function publishAnnouncement(announcement: Announcement): void {
    const { endpointId, pool, softwareVersion, address, state, bornAtMs, sequence } = announcement;
    logger.event('endpointAnnounced', {
      endpoint: endpointId,
      pool,
      softwareVersion,
      address,
      state,
      bornAtMs,
      sequence,
    });
    for (const { changedEndpoints, updates } of subscribers) {
      changedEndpoints.add(endpointId);
      updates.flush();
    }
  }

  function pushUpdates(): void {
    const now = clock.now();
    for (const [gatewayId, stored] of reports) {
      if (now - stored.receivedAt > REPORT_RETENTION_MS) reports.delete(gatewayId);
    }
    runningTime.advance();
    for (const subscriber of subscribers) {
      endIfStalled(subscriber);
      subscriber.isPushDue = true;
      subscriber.updates.flush();
    }
    refreshRollouts();
    tables.advance();
    void sendConfirmedRevision();
  }

  /** A stream cannot be reset from here; a reader that wakes finds it silent and opens another. */
  function endIfStalled(subscriber: Subscriber): void {
    const { id, stream, updates } = subscriber;
    const { stalledMs } = updates;
    if (stalledMs <= STALL_TIMEOUT_MS) return;
    logger.event('followerStalled', { follower: id, stalledMs: Math.round(stalledMs) });
    removeSubscriber(subscriber);
    stream.destroy();
  }

  function composeUpdate(subscriber: Subscriber): FeedUpdate {
    const { changedEndpoints, confirmedRevision, crashCursor, isPushDue, wantsReports } =
      subscriber;
    const sendsRollouts = subscriber.isRolloutDue && subscriber.wantsTables;
    const announcements = [...changedEndpoints].flatMap(registry.listOf);
    changedEndpoints.clear();
    subscriber.confirmedRevision = undefined;
    subscriber.isPushDue = false;
    subscriber.isRolloutDue = false;
    return createUpdate({
      announcements,
      confirmedRevision,
      ...listChangedKeepers(subscriber),
      reports: isPushDue && wantsReports ? listRecentReports(subscriber) : [],
      crashRecords: crashCursor.takeChanged(),
      rollouts: sendsRollouts ? host.listRollouts() : [],
    });
  }

  function listChangedKeepers(
    subscriber: Subscriber,
  ): Pick<FeedUpdate, 'keepers' | 'keepersIndex'> {
    const { addresses, index } = host.listKeepers();
    const keeperList = `${index} ${addresses.join(',')}`;
    if (subscriber.lastSentKeepers === keeperList) return { keepers: [], keepersIndex: 0 };
    subscriber.lastSentKeepers = keeperList;
    return { keepers: [...addresses], keepersIndex: index };
  }

  /** Reports of other gateways that were received within the last two push intervals. */
  function listRecentReports(subscriber: Subscriber): GatewayReport[] {
    const now = clock.now();
    const recent: GatewayReport[] = [];
    for (const [gatewayId, { report, receivedAt }] of reports) {
      if (gatewayId !== subscriber.id && now - receivedAt <= 2 * PUSH_INTERVAL_MS) {
        recent.push(report);
      }
    }
    return recent;
  }

  function createUpdate(update: Partial<FeedUpdate>): FeedUpdate {
    return {
      table: undefined,
      confirmedRevision: undefined,
      announcements: [],
      keepers: [],
      reports: [],
      crashRecords: [],
      keepersIndex: 0,
      rollouts: [],
      isCurrent: host.isCurrent(),
      ...update,
    };
  }

  function removeSubscriber(subscriber: Subscriber): void {
    if (!subscribers.delete(subscriber)) return;
    tables.remove(subscriber);
    logger.event('followerDisconnected', { follower: subscriber.id });
  }

  function close(): void {
    clearInterval(pushTimer);
    for (const subscriber of subscribers) subscriber.stream.end();
    subscribers.clear();
  }
}
