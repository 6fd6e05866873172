/**
 * A member's session with the leading keeper. The session receives the configuration and the
 * configuration lease, and makes the calls that change replicated state. It reconnects after a
 * failure and follows changes of the leader.
 */

import type { ClientDuplexStream, ClientUnaryCall, Metadata, ServiceError } from '@grpc/grpc-js';
import { createKeeperDirectory } from '../feed/keeperDirectory.js';
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
import { createRunningTime } from './runningTime.js';
import { channelOptions, deadlineIn, peerCredentials } from './rpc.js';

const HEARTBEAT_MS = 400;
/** Running time without a message from the keeper after which the next one is tried. */
const KEEPER_TIMEOUT_MS = 1_200;
const RECONNECT_MS = 100;
/** Running time without a lease renewal after which former keepers are tried as well. */
const OUT_OF_TOUCH_MS = 5_000;
const CALL_TIMEOUT_MS = 1_500;
const LEAVE_TIMEOUT_MS = 500;

/** Dependencies and callbacks of a session. */
export interface KeeperSessionHost {
  clock: Clock;
  logger: Logger;
  deployment: string;
  /** Addresses (host:port) of keepers in the settings, which may change at run time. */
  getSeeds(): readonly string[];
  metadata: Metadata;
  /** Returns the address to connect to for an announced address. */
  resolve(address: string): string;
  /** Called after each update of the view. */
  onChange(): void;
  onLease(hasLease: boolean): void;
  onDrain(draining: boolean): void;
}

export interface KeeperSession {
  readonly view: ConfigView;
  readonly fencingToken: number;
  readonly isDraining: boolean;
  /**
   * Newest committed revision of the configuration that a keeper has reported; 0 before that. Never
   * below what this member has acknowledged.
   */
  readonly configRevision: number;
  /**
   * Returns whether new work may be accepted. While the lease is held, the view is guaranteed to be
   * no older than the configuration in force.
   */
  hasLease(): boolean;
  /**
   * Raises `unavailable` if no leader answers within `timeoutMs`, as do `closeClaim`, `reportCrash`
   * and `changeSolo`.
   */
  openClaim(open: ClaimOpen, timeoutMs: number): Promise<ClaimResponse>;
  closeClaim(close: ClaimClose, timeoutMs: number): Promise<void>;
  reportCrash(report: CrashReport, timeoutMs: number): Promise<void>;
  /** Resolves with `granted`, `busy`, `convicted`, `cleared` or `closed`. */
  changeSolo(request: SoloRequest, timeoutMs: number): Promise<string>;
  /** Notifies the leader that this member leaves, and ends the session. */
  leave(): Promise<void>;
}

type Stream = ClientDuplexStream<MemberMessage, KeeperMessage>;
type Callback<Response> = (error: ServiceError | null, response: Response) => void;
type KeeperCall<Response> = (
  client: KeeperClient,
  options: { deadline: number },
  done: Callback<Response>,
) => ClientUnaryCall;

/** Opens a session for `member`. */
export function createKeeperSession(host: KeeperSessionHost, member: Member): KeeperSession {
  const { clock } = host;
  const view = createConfigView();
  const clients = new Map<string, KeeperClient>();
  const directory = createKeeperDirectory(host.getSeeds);
  let stream: Stream | undefined;
  const runningTime = createRunningTime(clock, 2 * HEARTBEAT_MS);
  let lastMessageAt = runningTime.now;
  let leaderHeardAt = runningTime.now;
  /** The last keeper taken from the directory; a leader that another one names is not. */
  let chosenAddress = chooseFirstKeeper();
  let keeperAddress = chosenAddress;
  let leaseUntil = Number.NEGATIVE_INFINITY;
  let requiredRevision = Number.POSITIVE_INFINITY;
  let reportedLease = false;
  let fencingToken = 0;
  let isDraining = false;
  let isLeaving = false;
  const openCalls = new Set<ClientUnaryCall>();
  const heartbeatTimer = setInterval(sendHeartbeat, HEARTBEAT_MS);
  const leaseTimer = setInterval(reportLeaseChange, RECONNECT_MS);
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
      const renewedRevision = Number.isFinite(requiredRevision) ? requiredRevision : 0;
      return Math.max(renewedRevision, view.configRevision);
    },
    hasLease,
    openClaim: (open, timeoutMs) =>
      call(timeoutMs, (client, options, done) =>
        client.openClaim({ open }, host.metadata, options, done),
      ),
    async closeClaim(close, timeoutMs) {
      await call(timeoutMs, (client, options, done) =>
        client.closeClaim({ close }, host.metadata, options, done),
      );
    },
    async reportCrash(report, timeoutMs) {
      await call(timeoutMs, (client, options, done) =>
        client.reportCrash({ report }, host.metadata, options, done),
      );
    },
    async changeSolo(request, timeoutMs) {
      const response = await call<{ outcome: string }>(timeoutMs, (client, options, done) =>
        client.changeSolo(request, host.metadata, options, done),
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
    const newStream = getClient(keeperAddress).session(host.metadata);
    stream = newStream;
    lastMessageAt = runningTime.now;
    newStream.on('data', (message: KeeperMessage) => {
      if (stream === newStream) handleMessage(message);
    });
    newStream.on('error', () => disconnect(newStream));
    newStream.on('end', () => disconnect(newStream));
    sendStatus(false);
  }

  function disconnect(closed: Stream): void {
    if (stream !== closed) return;
    stream = undefined;
    closed.cancel();
    chooseNextKeeper();
    setTimeout(connect, RECONNECT_MS);
  }

  function chooseFirstKeeper(): string {
    const seeds = host.getSeeds();
    return seeds[Math.floor(Math.random() * seeds.length)] ?? '';
  }

  function chooseNextKeeper(): void {
    const isInTouch = runningTime.now - leaderHeardAt <= OUT_OF_TOUCH_MS;
    const addresses = [...directory.list(isInTouch)];
    const next = (addresses.indexOf(chosenAddress) + 1) % addresses.length;
    chosenAddress = addresses[next] ?? '';
    useKeeper(chosenAddress);
  }

  function sendHeartbeat(): void {
    runningTime.advance();
    if (stream === undefined) return;
    if (runningTime.now - lastMessageAt > KEEPER_TIMEOUT_MS) {
      disconnect(stream);
      return;
    }
    sendStatus(false);
  }

  function sendStatus(leaving: boolean): void {
    stream?.write({
      deployment: host.deployment,
      member,
      acknowledgedRevision: view.revision,
      sentAtMs: clock.now(),
      leaving,
    });
  }

  function handleMessage(message: KeeperMessage): void {
    lastMessageAt = runningTime.now;
    const { body } = message;
    switch (body?.$case) {
      case 'leaseRenewal':
        handleLeaseRenewal(body.value);
        break;
      case 'stateUpdate':
        handleStateUpdate(body.value);
        break;
      case 'leaderHint':
        followLeader(body.value.address);
        break;
      case 'keepers':
        directory.receive(body.value);
        break;
      default:
    }
  }

  function handleLeaseRenewal(renewal: LeaseRenewal): void {
    leaderHeardAt = runningTime.now;
    fencingToken = renewal.fencingToken;
    // A deposed leader in a network partition may report an older revision.
    const isFirst = !Number.isFinite(requiredRevision);
    requiredRevision = isFirst ? renewal.revision : Math.max(requiredRevision, renewal.revision);
    // The lease runs from the time of the request, so a slow response can only shorten it.
    if (renewal.leaseMs > 0) leaseUntil = Math.max(leaseUntil, renewal.sentAtMs + renewal.leaseMs);
    if (renewal.draining !== isDraining) {
      isDraining = renewal.draining;
      host.onDrain(isDraining);
    }
    reportLeaseChange();
  }

  function handleStateUpdate(update: StateUpdate): void {
    view.apply(update);
    host.onChange();
    sendStatus(false);
  }

  function followLeader(address: string): void {
    const closed = stream;
    stream = undefined;
    closed?.cancel();
    if (address === '') chooseNextKeeper();
    else useKeeper(address);
    setTimeout(connect, RECONNECT_MS);
  }

  /** Calls that are still open at another keeper are made again at this one. */
  function useKeeper(address: string): void {
    if (address === keeperAddress) return;
    keeperAddress = address;
    for (const open of openCalls) open.cancel();
  }

  function reportLeaseChange(): void {
    const isHeld = hasLease();
    if (isHeld === reportedLease) return;
    reportedLease = isHeld;
    if (isHeld) host.logger.event('leaseHeld', { revision: view.revision });
    else host.logger.event('leaseLost', {});
    host.onLease(isHeld);
  }

  function getClient(address: string): KeeperClient {
    const existing = clients.get(address);
    if (existing !== undefined) return existing;
    const client = new KeeperClient(host.resolve(address), peerCredentials, channelOptions);
    clients.set(address, client);
    return client;
  }

  async function call<Response>(timeoutMs: number, run: KeeperCall<Response>): Promise<Response> {
    const deadline = clock.now() + timeoutMs;
    let reason = 'no leader';
    while (clock.now() < deadline) {
      const remainingMs = Math.min(CALL_TIMEOUT_MS, deadline - clock.now());
      const result = await callOnce(run, deadlineIn(remainingMs));
      if (result.error === null) return result.response;
      reason = result.error.details;
      await delay(RECONNECT_MS);
    }
    throw new RaisedFailure({ kind: 'unavailable', reason });
  }

  async function callOnce<Response>(
    run: KeeperCall<Response>,
    options: { deadline: number },
  ): Promise<{ error: ServiceError | null; response: Response }> {
    let open: ClientUnaryCall | undefined;
    try {
      return await new Promise((resolve) => {
        const done: Callback<Response> = (error, response) => resolve({ error, response });
        open = run(getClient(keeperAddress), options, done);
        openCalls.add(open);
      });
    } finally {
      if (open !== undefined) openCalls.delete(open);
    }
  }

  async function leave(): Promise<void> {
    isLeaving = true;
    clearInterval(heartbeatTimer);
    clearInterval(leaseTimer);
    leaseUntil = Number.NEGATIVE_INFINITY;
    const open = stream;
    if (open !== undefined) {
      sendStatus(true);
      await new Promise<void>((resolve) => {
        const timeout = setTimeout(resolve, LEAVE_TIMEOUT_MS);
        open.once('end', () => {
          clearTimeout(timeout);
          resolve();
        });
        open.end();
      });
    }
    for (const client of clients.values()) client.close();
  }
}
