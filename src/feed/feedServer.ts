/**
 * A keeper's side of the feed: pushes tables, announcements and gateways' reports to all followers
 * and takes in what they tell. Every keeper serves it, not only the leader, so that a lost leader
 * interrupts nothing.
 */

import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { Announcement, FeedMessage, FeedUpdate, GatewayReport } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import type { EndpointRegistry } from '../registry/registry.js';

/** Interval at which reports are passed on; also shows followers that this keeper is alive. */
const PUSH_INTERVAL_MS = 100;
const CONFIRM_RETRY_MS = 300;
/** Age after which a gateway's report is no longer passed on. */
const REPORT_RETENTION_MS = 3_000;

export type FeedStream = ServerDuplexStream<FeedMessage, FeedUpdate>;

/** What the feed needs from outside. */
export interface FeedServerHost {
  clock: Clock;
  logger: Logger;
  deployment: string;
  registry: EndpointRegistry;
  /** The newest table that this keeper knows to be committed. */
  getTable(): TableDocument;
  /** The table in force as a majority confirms it; undefined when it cannot be confirmed now. */
  readConfirmedTable(): Promise<TableDocument | undefined>;
  /** host:port of all members of the keepers' cluster. */
  listKeepers(): string[];
}

/** The running feed. */
export interface FeedServer {
  serve(stream: FeedStream): void;
  /** Tells all followers of a new table. */
  publishTable(): void;
  /** Merges an announcement and tells all followers when it changed anything. */
  announce(announcement: Announcement): void;
  close(): void;
}

interface Follower {
  id: string;
  stream: FeedStream;
  wantsReports: boolean;
  sentKeepers: string;
}

interface StoredReport {
  report: GatewayReport;
  receivedAt: number;
}

/** Starts the feed. */
export function createFeedServer(host: FeedServerHost): FeedServer {
  const { clock, logger, registry } = host;
  const followers = new Set<Follower>();
  const reports = new Map<string, StoredReport>();
  const pushTimer = setInterval(pushAll, PUSH_INTERVAL_MS);

  return { serve, publishTable, announce, close };

  function serve(stream: FeedStream): void {
    const follower: Follower = {
      id: '',
      stream,
      wantsReports: false,
      sentKeepers: '',
    };
    stream.on('data', (message: FeedMessage) => receive(follower, message));
    stream.on('error', () => forget(follower));
    stream.on('close', () => forget(follower));
    stream.on('end', () => {
      forget(follower);
      stream.end();
    });
  }

  function receive(follower: Follower, message: FeedMessage): void {
    if (message.deployment !== host.deployment) return;
    follower.wantsReports = message.wantsReports;
    if (!followers.has(follower)) welcome(follower, message.followerId);
    for (const announcement of message.announcements) announce(announcement);
    const { report } = message;
    if (report === undefined) return;
    reports.set(report.gatewayId, { report, receivedAt: clock.now() });
  }

  function welcome(follower: Follower, id: string): void {
    follower.id = id;
    followers.add(follower);
    logger.event('followerConnected', { follower: id, revision: host.getTable().revision });
    const table = host.getTable();
    send(follower, { announcements: registry.list(), table });
    void confirmTable(follower);
  }

  /** Tells a new follower which table is surely in force, as soon as a majority confirms it. */
  async function confirmTable(follower: Follower): Promise<void> {
    if (!followers.has(follower)) return;
    const table = await host.readConfirmedTable();
    if (table === undefined) {
      setTimeout(() => void confirmTable(follower), CONFIRM_RETRY_MS);
      return;
    }
    send(follower, { table, confirmed: true });
  }

  function publishTable(): void {
    const table = host.getTable();
    for (const follower of followers) send(follower, { table });
  }

  function announce(announcement: Announcement): void {
    if (!registry.merge(announcement)) return;
    const merged = registry.tryGet(announcement.endpointId) ?? announcement;
    const { endpointId, pool, address, state, bornAtMs, sequence } = merged;
    logger.event('endpointAnnounced', {
      endpoint: endpointId,
      pool,
      address,
      state,
      bornAtMs,
      sequence,
    });
    for (const follower of followers) send(follower, { announcements: [merged] });
  }

  function pushAll(): void {
    const now = clock.now();
    for (const [gatewayId, stored] of reports) {
      if (now - stored.receivedAt > REPORT_RETENTION_MS) reports.delete(gatewayId);
    }
    const keepers = host.listKeepers();
    const joined = keepers.join(',');
    for (const follower of followers) {
      const isNews = follower.sentKeepers !== joined;
      follower.sentKeepers = joined;
      const wanted = follower.wantsReports ? listReportsFor(follower, now) : [];
      send(follower, { keepers: isNews ? keepers : [], reports: wanted });
    }
  }

  /** Reports of other gateways that have come in since the last push. */
  function listReportsFor(follower: Follower, now: number): GatewayReport[] {
    const wanted: GatewayReport[] = [];
    for (const [gatewayId, { report, receivedAt }] of reports) {
      if (gatewayId !== follower.id && now - receivedAt <= 2 * PUSH_INTERVAL_MS) {
        wanted.push(report);
      }
    }
    return wanted;
  }

  function send(follower: Follower, update: Partial<FeedUpdate>): void {
    follower.stream.write({
      table: undefined,
      confirmed: false,
      announcements: [],
      keepers: [],
      reports: [],
      ...update,
    });
  }

  function forget(follower: Follower): void {
    if (!followers.delete(follower)) return;
    logger.event('followerDisconnected', { follower: follower.id });
  }

  function close(): void {
    clearInterval(pushTimer);
    for (const follower of followers) follower.stream.end();
    followers.clear();
  }
}
