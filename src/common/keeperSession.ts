/**
 * A member's session with the leading keeper: pushed configuration, the configuration lease, and
 * calls that change replicated state. Reconnects and follows the leader on its own.
 */

import type { ClientDuplexStream, Metadata, ServiceError } from '@grpc/grpc-js';
import { delay } from './delay.js';
import { KeeperClient } from '../generated/keeper.js';
import type {
  ClaimClose,
  ClaimOpen,
  ClaimResponse,
  CrashReport,
  KeeperMessage,
  LeaseRenewal,
  Member,
  MemberMessage,
  SoloRequest,
  StateUpdate,
} from '../generated/keeper.js';
import type { Clock } from './clock.js';
import { createConfigView, type ConfigView } from './configView.js';
import { RaisedFailure } from './failure.js';
import type { Logger } from './logging.js';
import { channelOptions, deadlineIn, peerCredentials } from './rpc.js';

const HEARTBEAT_MS = 400;
/** Silence of the keeper after which another one is tried; milliseconds. */
const SILENCE_MS = 1_200;
const RECONNECT_MS = 100;
const CALL_TIMEOUT_MS = 1_500;
const LEAVE_TIMEOUT_MS = 500;

/** What a session needs from outside. */
export interface KeeperSessionHost {
  clock: Clock;
  logger: Logger;
  deployment: string;
  /** host:port of each keeper. */
  keepers: readonly string[];
  metadata: Metadata;
  /** Address to connect to for an announced one. */
  resolve(address: string): string;
  /** Called after the view changed. */
  onChange(): void;
  onLease(hasLease: boolean): void;
  onDrain(draining: boolean): void;
}

/** A member's session. */
export interface KeeperSession {
  readonly view: ConfigView;
  readonly fencingToken: number;
  readonly isDraining: boolean;
  /** Newest committed revision of the configuration that the keeper told. */
  readonly configRevision: number;
  /** Whether new work may be taken: the view is surely not older than what is in force. */
  hasLease(): boolean;
  /** Raises `unavailable` when no leader answered within `timeoutMs`. */
  openClaim(open: ClaimOpen, timeoutMs: number): Promise<ClaimResponse>;
  closeClaim(close: ClaimClose, timeoutMs: number): Promise<void>;
  reportCrash(report: CrashReport, timeoutMs: number): Promise<void>;
  /** Resolves with "granted", "busy", "convicted", "cleared" or "closed". */
  changeSolo(request: SoloRequest, timeoutMs: number): Promise<string>;
  /** Tells the leader that this member is gone, and ends the session. */
  leave(): Promise<void>;
}

type Stream = ClientDuplexStream<MemberMessage, KeeperMessage>;
type Callback<Response> = (error: ServiceError | null, response: Response) => void;

/** Opens a session for `member`. */
export function createKeeperSession(host: KeeperSessionHost, member: Member): KeeperSession {
  const { clock } = host;
  const view = createConfigView();
  const clients = new Map<string, KeeperClient>();
  let nextKeeper = Math.floor(Math.random() * host.keepers.length);
  let target = host.keepers[nextKeeper] ?? '';
  let stream: Stream | undefined;
  let heardAt = clock.now();
  let leaseUntil = Number.NEGATIVE_INFINITY;
  let requiredRevision = Number.POSITIVE_INFINITY;
  let reportedLease = false;
  let fencingToken = 0;
  let isDraining = false;
  let isLeaving = false;
  const timer = setInterval(beat, HEARTBEAT_MS);
  const leaseTimer = setInterval(reportLease, RECONNECT_MS);
  connect();

  return {
    view,
    get fencingToken() {
      return fencingToken;
    },
    get isDraining() {
      return isDraining;
    },
    get configRevision() {
      return Number.isFinite(requiredRevision) ? requiredRevision : 0;
    },
    hasLease,
    openClaim: (open, timeoutMs) =>
      call(timeoutMs, (client, done) =>
        client.openClaim({ open }, host.metadata, deadlineIn(CALL_TIMEOUT_MS), done),
      ),
    async closeClaim(close, timeoutMs) {
      await call(timeoutMs, (client, done) =>
        client.closeClaim({ close }, host.metadata, deadlineIn(CALL_TIMEOUT_MS), done),
      );
    },
    async reportCrash(report, timeoutMs) {
      await call(timeoutMs, (client, done) =>
        client.reportCrash({ report }, host.metadata, deadlineIn(CALL_TIMEOUT_MS), done),
      );
    },
    async changeSolo(request, timeoutMs) {
      const response = await call<{ outcome: string }>(timeoutMs, (client, done) =>
        client.changeSolo(request, host.metadata, deadlineIn(CALL_TIMEOUT_MS), done),
      );
      return response.outcome;
    },
    leave,
  };

  function hasLease(): boolean {
    return clock.now() < leaseUntil && view.revision >= requiredRevision;
  }

  function connect(): void {
    if (isLeaving || stream !== undefined) return;
    const opened = getClient(target).session(host.metadata);
    stream = opened;
    heardAt = clock.now();
    opened.on('data', (message: KeeperMessage) => {
      if (stream === opened) handleMessage(message);
    });
    opened.on('error', () => disconnect(opened));
    opened.on('end', () => disconnect(opened));
    send(false);
  }

  function disconnect(closed: Stream): void {
    if (stream !== closed) return;
    stream = undefined;
    closed.cancel();
    nextKeeper = (nextKeeper + 1) % host.keepers.length;
    target = host.keepers[nextKeeper] ?? '';
    setTimeout(connect, RECONNECT_MS);
  }

  function beat(): void {
    if (stream === undefined) return;
    if (clock.now() - heardAt > SILENCE_MS) {
      disconnect(stream);
      return;
    }
    send(false);
  }

  function send(leaving: boolean): void {
    stream?.write({
      deployment: host.deployment,
      member,
      acknowledgedRevision: view.revision,
      sentAtMs: clock.now(),
      leaving,
    });
  }

  function handleMessage(message: KeeperMessage): void {
    heardAt = clock.now();
    const { body } = message;
    switch (body?.$case) {
      case 'leaseRenewal':
        handleRenewal(body.value);
        break;
      case 'stateUpdate':
        handleUpdate(body.value);
        break;
      case 'leaderHint':
        followLeader(body.value.address);
        break;
      default:
    }
  }

  function handleRenewal(renewal: LeaseRenewal): void {
    fencingToken = renewal.fencingToken;
    // A leader that was cut off may tell an older one.
    const isFirst = !Number.isFinite(requiredRevision);
    requiredRevision = isFirst ? renewal.revision : Math.max(requiredRevision, renewal.revision);
    // Counted from when it was asked for, so a slow answer can only make it shorter.
    if (renewal.leaseMs > 0) leaseUntil = Math.max(leaseUntil, renewal.sentAtMs + renewal.leaseMs);
    if (renewal.draining !== isDraining) {
      isDraining = renewal.draining;
      host.onDrain(isDraining);
    }
    reportLease();
  }

  function handleUpdate(update: StateUpdate): void {
    view.apply(update);
    host.onChange();
    send(false);
  }

  function followLeader(address: string): void {
    const closed = stream;
    stream = undefined;
    closed?.cancel();
    if (address === '') {
      nextKeeper = (nextKeeper + 1) % host.keepers.length;
      target = host.keepers[nextKeeper] ?? '';
    } else {
      target = address;
    }
    setTimeout(connect, RECONNECT_MS);
  }

  function reportLease(): void {
    const current = hasLease();
    if (current === reportedLease) return;
    reportedLease = current;
    if (current) host.logger.event('leaseHeld', { revision: view.revision });
    else host.logger.event('leaseLost', {});
    host.onLease(current);
  }

  function getClient(address: string): KeeperClient {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = new KeeperClient(host.resolve(address), peerCredentials, channelOptions);
    clients.set(address, client);
    return client;
  }

  async function call<Response>(
    timeoutMs: number,
    run: (client: KeeperClient, done: Callback<Response>) => unknown,
  ): Promise<Response> {
    const deadline = clock.now() + timeoutMs;
    let reason = 'no leader';
    while (clock.now() < deadline) {
      const client = getClient(target);
      const result = await new Promise<{ error: ServiceError | null; response: Response }>(
        (resolve) => {
          run(client, (error, response) => resolve({ error, response }));
        },
      );
      if (result.error === null) return result.response;
      reason = result.error.details;
      await delay(RECONNECT_MS);
    }
    throw new RaisedFailure({ kind: 'unavailable', reason });
  }

  async function leave(): Promise<void> {
    isLeaving = true;
    clearInterval(timer);
    clearInterval(leaseTimer);
    leaseUntil = Number.NEGATIVE_INFINITY;
    const open = stream;
    if (open !== undefined) {
      send(true);
      await new Promise<void>((resolve) => {
        const limit = setTimeout(resolve, LEAVE_TIMEOUT_MS);
        open.once('end', () => {
          clearTimeout(limit);
          resolve();
        });
        open.end();
      });
    }
    for (const client of clients.values()) client.close();
  }
}
