/**
 * Client side of the feed between keepers and the processes that subscribe to them. It keeps one
 * stream open to each keeper, so that any single keeper is enough. A stream without updates is
 * cancelled and reopened on a new channel.
 */

import type { ClientDuplexStream, Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { awaitTurns, callAfterReading } from '../common/eventLoop.js';
import type { Logger } from '../common/logging.js';
import type { CrashRecords } from '../crashes/crashRecords.js';
import { createRunningTime } from '../common/runningTime.js';
import { channelOptions, deadlineIn, peerCredentials } from '../common/rpc.js';
import {
  ControlClient,
  type Announcement,
  type CrashRecord,
  type FeedMessage,
  type FeedUpdate,
  type GatewayReport,
  type StreamOrigin,
} from '../generated/control.js';
import type { Rollout } from '../generated/keeper.js';
import type { KeeperQuestion, StreamOrigins } from '../streams/streamOrigins.js';
import { createFeedOutbox, type FeedOutbox } from './feedOutbox.js';
import { createKeeperDirectory, type KeeperList } from './keeperDirectory.js';
import { chooseReportSource } from './reportSource.js';
import { createTableTransfers, type TableReceiver } from './tableTransfers.js';

/** Running time without updates after which a stream counts as dead; several push intervals. */
const IDLE_TIMEOUT_MS = 1_000;
/** Running time after which a stream is given up whose keeper takes nothing. */
const STALL_TIMEOUT_MS = 10_000;
const MIN_RECONNECT_DELAY_MS = 100;
/** Time without a word from the cluster's members after which former members are tried as well. */
const OUT_OF_TOUCH_MS = 1_000;
/** Time without such a word after which another cluster is believed; longer than an election. */
const OTHER_CLUSTER_MS = 3_000;
/** Time for which a keeper is waited for that was asked where streams have begun. */
const ORIGIN_TIMEOUT_MS = 300;
/** Time within which its answer is still of use for a later question. */
const LATE_ORIGIN_TIMEOUT_MS = 2_000;

/** Options, data sources and callbacks of a feed client. */
export interface FeedClientHost {
  clock: Clock;
  logger: Logger;
  metadata: Metadata;
  deployment: string;
  /** Sent to keepers as `followerId`. */
  subscriberId: string;
  /** Interval at which this client sends messages and checks its streams, in milliseconds. */
  intervalMs: number;
  /** Addresses (host:port) in the settings, which may change at run time. */
  getSeeds(): readonly string[];
  /** Maps the address of a keeper to the address to connect to. */
  resolve(address: string): string;
  /** Whether the address is this process's own, to which no connection is made. */
  isSelf(address: string): boolean;
  /** The report to send to all keepers, or undefined if there is none. */
  tryGetReport(): GatewayReport | undefined;
  /** All announcements known to this process; sent to a keeper when a stream to it is opened. */
  listAnnouncements(): Announcement[];
  /** Sent to each keeper as they change. */
  crashRecords: Pick<CrashRecords, 'openCursor'>;
  onCrashRecords(records: CrashRecord[]): void;
  /** Sent to each keeper as they are added; undefined if this process begins no streams. */
  streamOrigins: Pick<StreamOrigins, 'openCursor'> | undefined;
  /** Undefined if this process has no use for tables, which are not sent to it then. */
  tables: TableReceiver | undefined;
  onAnnouncements(announcements: Announcement[]): void;
  onReports(reports: GatewayReport[]): void;
  /** Called with each update, also one without rollouts; left out by subscribers that are no gateways. */
  onRollouts?(rollouts: Rollout[], isCurrent: boolean): void;
}

/** A running feed client. */
export interface FeedClient {
  /** Time since the last update from any keeper, in milliseconds. */
  readonly timeSinceUpdateMs: number;
  /**
   * Whether a newer table is being received, or a keeper that is known has neither sent an update
   * nor failed to, so that it may have one.
   */
  readonly mayReceiveNewerTable: boolean;
  /**
   * Sends new stream origins to all connected keepers; resolves once the connections hold them that
   * take anything. A process that is killed then does not take them with it.
   */
  sendOrigins(): Promise<void>;
  /** Sends an announcement to all connected keepers at once. */
  announce(announcement: Announcement): void;
  /** Asks all connected keepers for origins of streams. */
  findStreamOrigins: KeeperQuestion;
  close(): void;
}

interface KeeperLink {
  address: string;
  client: ControlClient;
  stream: ClientDuplexStream<FeedMessage, FeedUpdate> | undefined;
  /** Messages to be sent on the current stream. */
  outbox: FeedOutbox | undefined;
  /** Whether an update has been received on the current stream. */
  isConnected: boolean;
  /** Whether its first stream has neither received an update nor ended. */
  isUntried: boolean;
  /** Running time at the last update, or at the opening of the stream before the first one. */
  activeAt: number;
  reconnectAt: number;
  reconnectDelayMs: number;
  /** Whether a quorum confirmed at its last update that this keeper lacks nothing. */
  isCurrent: boolean;
  /** The last list of members that it has sent on the current stream. */
  keepers: KeeperList;
}

const noKeepers: KeeperList = { addresses: [], index: 0 };

/** Connects to the keepers and starts receiving updates. */
export function createFeedClient(host: FeedClientHost): FeedClient {
  const { clock, logger } = host;
  const links = new Map<string, KeeperLink>();
  const directory = createKeeperDirectory(host.getSeeds);
  let inTouchAt = Number.NEGATIVE_INFINITY;
  const runningTime = createRunningTime(clock, 2 * host.intervalMs);
  const transfers = createTableTransfers<KeeperLink>({
    now: () => runningTime.now,
    request: ({ outbox }, part) => outbox?.requestPart(part),
    receive: (table) => host.tables?.receive(table) ?? true,
    onSlowSource: ({ address }, revision) =>
      logger.event('tableSourceSlow', { keeper: address, revision }),
  });
  let lastUpdateAt = clock.now();
  let inTouchRunningAt = runningTime.now;
  let reportSource: KeeperLink | undefined;
  /** Resolves when the origins are sent that are being collected in this turn of the event loop. */
  let originsSent: Promise<void> | undefined;
  let loggedLinks = '';
  const timer = setInterval(maintainLinks, host.intervalMs);
  maintainLinks();

  return {
    get timeSinceUpdateMs() {
      return clock.now() - lastUpdateAt;
    },
    get mayReceiveNewerTable() {
      return transfers.isActive || [...links.values()].some(({ isUntried }) => isUntried);
    },
    sendOrigins() {
      originsSent ??= sendOrigins();
      return originsSent;
    },
    announce(announcement) {
      for (const { outbox } of listConnected()) outbox?.announce([announcement]);
    },
    findStreamOrigins,
    close,
  };

  function maintainLinks(): void {
    reconcileLinks();
    const now = clock.now();
    runningTime.advance();
    const report = host.tryGetReport();
    reportSource = chooseReportSource(listReportSources(), reportSource, runningTime.now);
    for (const link of links.values()) {
      const silentMs = runningTime.now - link.activeAt;
      if (link.stream !== undefined && silentMs > IDLE_TIMEOUT_MS) drop(link, 'silent');
      if ((link.outbox?.stalledMs ?? 0) > STALL_TIMEOUT_MS) drop(link, 'takes nothing');
      if (link.stream === undefined && now >= link.reconnectAt) openStream(link);
      if (link.isConnected) link.outbox?.push(report);
    }
    transfers.advance();
  }

  /** Adds and removes links so that there is one to each address of the directory. */
  function reconcileLinks(): void {
    const now = clock.now();
    const isInTouch = listConnected().some(isInCluster);
    if (isInTouch) {
      inTouchAt = now;
      inTouchRunningAt = runningTime.now;
    } else if (runningTime.now - inTouchRunningAt > OTHER_CLUSTER_MS) believeOtherCluster();
    const addresses = directory.list(now - inTouchAt <= OUT_OF_TOUCH_MS);
    for (const [address, link] of links) {
      if (addresses.has(address)) continue;
      disconnect(link, 'not a member');
      links.delete(address);
    }
    for (const address of addresses) {
      if (!links.has(address) && !host.isSelf(address)) links.set(address, createLink(address));
    }
    logLinks(isInTouch);
  }

  function isInCluster({ address, isCurrent }: KeeperLink): boolean {
    return isCurrent && directory.isMember(address);
  }

  function believeOtherCluster(): void {
    const lists = listConnected()
      .filter(({ address, isCurrent, keepers }) => isCurrent && keepers.addresses.includes(address))
      .map(({ keepers }) => keepers)
      .toSorted((left, right) => right.index - left.index);
    if (lists[0] !== undefined) directory.replace(lists[0]);
  }

  /** A keeper that is not current may have been removed and hear from no other gateway. */
  function listReportSources(): KeeperLink[] {
    const connected = listConnected();
    const inCluster = connected.filter(isInCluster);
    return inCluster.length > 0 ? inCluster : connected;
  }

  function logLinks(isListed: boolean): void {
    const keepers = [...links.keys()].sort().join(',');
    if (keepers === loggedLinks) return;
    loggedLinks = keepers;
    logger.event('keepersChanged', { keepers, listed: String(isListed) });
  }

  function createLink(address: string): KeeperLink {
    return {
      address,
      client: createClient(address),
      stream: undefined,
      outbox: undefined,
      isConnected: false,
      isUntried: true,
      activeAt: 0,
      reconnectAt: 0,
      reconnectDelayMs: MIN_RECONNECT_DELAY_MS,
      isCurrent: false,
      keepers: noKeepers,
    };
  }

  function createClient(address: string): ControlClient {
    return new ControlClient(host.resolve(address), peerCredentials, channelOptions);
  }

  function openStream(link: KeeperLink): void {
    const stream = link.client.feed(host.metadata);
    link.stream = stream;
    link.outbox = createFeedOutbox({
      now: () => runningTime.now,
      write: (message, onTaken) => stream.write(message, onTaken),
      complete: (message) => (link.stream === stream ? completeMessage(link, message) : undefined),
      isConnected: () => link.isConnected,
      crashCursor: host.crashRecords.openCursor(),
      originCursor: host.streamOrigins?.openCursor(),
    });
    link.activeAt = runningTime.now;
    stream.on('data', (update: FeedUpdate) => {
      if (link.stream === stream) handleUpdate(link, update);
    });
    stream.on('error', (error) => {
      if (link.stream === stream) drop(link, error.message);
    });
    stream.on('end', () => {
      if (link.stream === stream) drop(link, 'ended');
    });
    link.outbox.announce(host.listAnnouncements());
  }

  function handleUpdate(link: KeeperLink, update: FeedUpdate): void {
    if (!link.isConnected) logger.event('keeperConnected', { keeper: link.address });
    link.isConnected = true;
    link.isUntried = false;
    link.activeAt = runningTime.now;
    link.reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
    lastUpdateAt = clock.now();
    link.isCurrent = update.isCurrent;
    if (update.keepers.length > 0) {
      link.keepers = { addresses: update.keepers, index: update.keepersIndex };
      directory.receive(link.keepers);
    }
    // First, as endpoints that become known are placed at once.
    host.onRollouts?.(update.rollouts, update.isCurrent);
    if (update.announcements.length > 0) host.onAnnouncements(update.announcements);
    if (update.crashRecords.length > 0) host.onCrashRecords(update.crashRecords);
    const { table, confirmedRevision } = update;
    if (confirmedRevision !== undefined) host.tables?.confirm(confirmedRevision);
    if (table !== undefined) transfers.receive(link, table);
    if (update.reports.length > 0) host.onReports(update.reports);
  }

  function drop(link: KeeperLink, reason: string): void {
    disconnect(link, reason);
    link.reconnectAt = clock.now() + link.reconnectDelayMs;
    const maxDelayMs = directory.getMaxReconnectDelayMs(link.address);
    link.reconnectDelayMs = Math.min(2 * link.reconnectDelayMs, maxDelayMs);
    // The old channel may hold a connection on which nothing arrives any more, so it is not reused.
    link.client = createClient(link.address);
  }

  function disconnect(link: KeeperLink, reason: string): void {
    if (link.isConnected) logger.event('keeperDisconnected', { keeper: link.address, reason });
    const { stream, client } = link;
    link.stream = undefined;
    link.outbox = undefined;
    link.isConnected = false;
    link.isUntried = false;
    link.isCurrent = false;
    link.keepers = noKeepers;
    transfers.remove(link);
    cancel(stream);
    client.close();
  }

  function listConnected(): KeeperLink[] {
    return [...links.values()].filter((link) => link.isConnected);
  }

  function completeMessage(link: KeeperLink, message: Partial<FeedMessage>): FeedMessage {
    return {
      deployment: host.deployment,
      followerId: host.subscriberId,
      wantsReports: link === reportSource,
      report: undefined,
      announcements: [],
      crashRecords: [],
      streamOrigins: [],
      ignoresTables: host.tables === undefined,
      knownRevision: transfers.heldRevision,
      wantedParts: [],
      ...message,
    };
  }

  async function sendOrigins(): Promise<void> {
    await awaitTurns(1);
    originsSent = undefined;
    for (const { outbox } of listConnected()) outbox?.flush();
    // HTTP/2 writes to its connection at the end of a turn.
    await awaitTurns(1);
  }

  async function findStreamOrigins(
    callIds: string[],
    onOrigins: (origins: StreamOrigin[]) => void,
  ): Promise<void> {
    const connected = listConnected();
    if (connected.length === 0) reportUnanswered('', callIds, 'no keeper connected');
    await Promise.all(connected.map((link) => askForOrigins(link, callIds, onOrigins)));
  }

  /** Resolves once the keeper has answered or failed, or was waited for; a later answer counts too. */
  function askForOrigins(
    { address, client }: KeeperLink,
    callIds: string[],
    onOrigins: (origins: StreamOrigin[]) => void,
  ): Promise<void> {
    return new Promise((resolve) => {
      let isAwaited = true;
      const giveUp = (reason: string): void => {
        if (isAwaited) reportUnanswered(address, callIds, reason);
        isAwaited = false;
        resolve();
      };
      const cancelTimeout = callAfterReading(ORIGIN_TIMEOUT_MS, () => giveUp('no answer in time'));
      const options = deadlineIn(LATE_ORIGIN_TIMEOUT_MS);
      client.findStreamOrigins({ callIds }, host.metadata, options, (error, response) => {
        cancelTimeout();
        if (error !== null) {
          giveUp(error.message);
          return;
        }
        onOrigins(response.origins);
        resolve();
      });
    });
  }

  function reportUnanswered(keeper: string, callIds: string[], reason: string): void {
    logger.event('originsNotAnswered', { keeper, streams: callIds.length, reason });
  }

  function close(): void {
    clearInterval(timer);
    for (const link of links.values()) {
      cancel(link.stream);
      link.client.close();
    }
    links.clear();
  }
}

/** Cancels a stream, and ignores the error that it then ends with: it carries no information. */
function cancel(stream: KeeperLink['stream']): void {
  stream?.on('error', () => {});
  stream?.cancel();
}
