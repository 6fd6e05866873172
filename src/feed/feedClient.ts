/**
 * A follower's side of the feed: one stream to each keeper, so that any one of them is enough.
 * A connection that has gone silent is dropped and opened anew with a channel of its own.
 */

import type { ClientDuplexStream, Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import { channelOptions, peerCredentials } from '../common/rpc.js';
import {
  ControlClient,
  type Announcement,
  type FeedMessage,
  type FeedUpdate,
  type GatewayReport,
} from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';

/** Silence after which a connection is taken for dead; several times a keeper's push interval. */
const SILENCE_LIMIT_MS = 1_000;
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 1_000;

/** What a follower needs from outside. */
export interface FeedClientHost {
  clock: Clock;
  logger: Logger;
  metadata: Metadata;
  deployment: string;
  subscriberId: string;
  /** Interval of this follower's own messages, in milliseconds. */
  intervalMs: number;
  /** Addresses (host:port) to begin with. */
  seeds: readonly string[];
  resolve(address: string): string;
  /** Addresses that are never connected to. */
  isSelf(address: string): boolean;
  /** Report to be sent to all keepers; undefined when there is none. */
  tryGetReport(): GatewayReport | undefined;
  /** All announcements known here, told to a keeper that has just been connected to. */
  listAnnouncements(): Announcement[];
  onTable(table: TableDocument, isConfirmed: boolean): void;
  onAnnouncements(announcements: Announcement[]): void;
  onReports(reports: GatewayReport[]): void;
}

/** The running feed of a follower. */
export interface FeedClient {
  /** Time since any keeper was heard, in milliseconds. */
  readonly timeSinceUpdateMs: number;
  close(): void;
}

interface Link {
  address: string;
  client: ControlClient;
  stream: ClientDuplexStream<FeedMessage, FeedUpdate> | undefined;
  isHeard: boolean;
  heardAt: number;
  retryAt: number;
  retryMs: number;
  /** Members of the cluster as this keeper knows them. */
  keepers: string[];
}

/** Starts following. */
export function createFeedClient(host: FeedClientHost): FeedClient {
  const { clock, logger } = host;
  const links = new Map<string, Link>();
  let lastHeardAt = clock.now();
  const timer = setInterval(review, host.intervalMs);
  review();

  return {
    get timeSinceUpdateMs() {
      return clock.now() - lastHeardAt;
    },
    close,
  };

  function review(): void {
    followMembership();
    const now = clock.now();
    const report = host.tryGetReport();
    const [preferred] = listHeard();
    for (const link of links.values()) {
      if (link.stream !== undefined && now - link.heardAt > SILENCE_LIMIT_MS) drop(link, 'silent');
      if (link.stream === undefined && now >= link.retryAt) open(link);
      if (link.isHeard) send(link, { report, wantsReports: link === preferred });
    }
  }

  /** Connects to all members that a live keeper names, and to the seeds while there is none. */
  function followMembership(): void {
    const wanted = new Set(listHeard().flatMap((link) => link.keepers));
    if (wanted.size === 0) {
      for (const address of [...host.seeds, ...links.keys()]) wanted.add(address);
    }
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      drop(link, 'no member');
      links.delete(address);
    }
    for (const address of wanted) {
      if (!links.has(address) && !host.isSelf(address)) links.set(address, createLink(address));
    }
  }

  function createLink(address: string): Link {
    return {
      address,
      client: createClient(address),
      stream: undefined,
      isHeard: false,
      heardAt: 0,
      retryAt: 0,
      retryMs: RECONNECT_MIN_MS,
      keepers: [],
    };
  }

  function createClient(address: string): ControlClient {
    return new ControlClient(host.resolve(address), peerCredentials, channelOptions);
  }

  function open(link: Link): void {
    const stream = link.client.feed(host.metadata);
    link.stream = stream;
    link.heardAt = clock.now();
    stream.on('data', (update: FeedUpdate) => {
      if (link.stream === stream) receive(link, update);
    });
    stream.on('error', (error) => {
      if (link.stream === stream) drop(link, error.message);
    });
    stream.on('end', () => {
      if (link.stream === stream) drop(link, 'ended');
    });
    send(link, { announcements: host.listAnnouncements() });
  }

  function receive(link: Link, update: FeedUpdate): void {
    if (!link.isHeard) logger.event('keeperConnected', { keeper: link.address });
    link.isHeard = true;
    link.heardAt = clock.now();
    link.retryMs = RECONNECT_MIN_MS;
    lastHeardAt = link.heardAt;
    if (update.keepers.length > 0) link.keepers = update.keepers;
    if (update.announcements.length > 0) host.onAnnouncements(update.announcements);
    if (update.table !== undefined) host.onTable(update.table, update.confirmed);
    if (update.reports.length > 0) host.onReports(update.reports);
  }

  function drop(link: Link, reason: string): void {
    if (link.isHeard) logger.event('keeperDisconnected', { keeper: link.address, reason });
    const { stream, client } = link;
    link.stream = undefined;
    link.isHeard = false;
    link.keepers = [];
    link.retryAt = clock.now() + link.retryMs;
    link.retryMs = Math.min(2 * link.retryMs, RECONNECT_MAX_MS);
    cancel(stream);
    client.close();
    // The old channel may sit on a connection that is silent, so a new one is made.
    link.client = createClient(link.address);
  }

  function listHeard(): Link[] {
    return [...links.values()].filter((link) => link.isHeard);
  }

  function send(link: Link, message: Partial<FeedMessage>): void {
    link.stream?.write({
      deployment: host.deployment,
      followerId: host.subscriberId,
      wantsReports: false,
      report: undefined,
      announcements: [],
      ...message,
    });
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

/** Gives a stream up; the error that a cancelled stream ends with says nothing new. */
function cancel(stream: Link['stream']): void {
  stream?.on('error', () => {});
  stream?.cancel();
}
