/**
 * Keeps the requests of all gateways to one endpoint within the rate that the endpoint states to
 * take. Each gateway keeps a token bucket with the whole rate and deducts what it sends itself and
 * what the others report to have sent. Reports arrive a fraction of a second late, so a gateway
 * takes only its share of the tokens that it sees.
 */

import { createSlotLimiter, type ShareTiming } from './slotLimiter.js';

/** Rate below which an endpoint could not be asked whether it still limits its requests. */
const MIN_PER_SECOND = 0.25;
/** Capacity of the bucket beyond one token, in seconds of the rate; what is saved up is a burst. */
const CAPACITY_S = 0.75;
/**
 * Draws no more often than reports arrive, since a token that one gateway has taken looks free to
 * all others until then.
 */
const tokenTiming: ShareTiming = { propagationMs: 350, drawIntervalMs: 350 };
/**
 * Largest debt, in seconds of the rate and in requests: before all gateways know of a limit they
 * send more than the endpoint could make up for soon.
 */
const MAX_DEBT_S = 1;
const MIN_MAX_DEBT = 5;
/** Time without requests for the endpoint after which a gateway leaves its share to the others. */
const DEMAND_RETENTION_MS = 1_000;
/** Time for which the end of a limit is reported to gateways that may still follow it. */
const END_RETENTION_MS = 10_000;

/** What an endpoint last stated of the requests that it takes. */
export interface RateStatement {
  /** From all gateways together; undefined without a limit. */
  perSecond: number | undefined;
  /** Monotonic time of its response, in milliseconds. */
  at: number;
}

/** What another gateway reports of an endpoint. */
export interface PeerRate {
  gatewayId: string;
  incarnation: string;
  /** Requests that gateway has sent to the endpoint. */
  sent: number;
  statement: RateStatement;
  /** Whether that gateway has had requests for the endpoint lately. */
  isWanted: boolean;
}

/** Number of gateways that send to the same endpoints, including this one. */
export interface GatewayCounts {
  /** With recent reports. */
  responsive: number;
  /** Including those that have become silent and may still send. */
  known: number;
}

/** Rate limit of one endpoint. */
export interface RequestRateLimit {
  /** Undefined if the endpoint has not limited its requests, or no longer for a while. */
  readonly statement: RateStatement | undefined;
  /** Requests sent by this gateway. */
  readonly sent: number;
  /** Whether this gateway has had requests for the endpoint lately. */
  readonly isWanted: boolean;
  /** Records the statement of a response to a request that was sent at `sentAt`. */
  recordResponse(perSecond: number | undefined, sentAt: number): void;
  applyPeer(peer: PeerRate): void;
  canPlace(gateways: GatewayCounts): boolean;
  recordPlacement(): void;
}

interface PeerState {
  incarnation: string;
  sent: number;
  /** Whether it leaves its share to the others. */
  isIdle: boolean;
  at: number;
}

/** Dependencies of a limit. */
export interface RequestRateLimitHost {
  now(): number;
  random(): number;
  /** Called when the limit has changed; `source` is the id of another gateway, if it told so. */
  onChange(perSecond: number | undefined, before: number | undefined, source?: string): void;
}

/** Creates the state of an endpoint that does not limit its requests. */
export function createRequestRateLimit(host: RequestRateLimitHost): RequestRateLimit {
  const { now } = host;
  const shares = createSlotLimiter(now, host.random, tokenTiming);
  const peers = new Map<string, PeerState>();
  let statement: RateStatement | undefined;
  let sent = 0;
  let level = 0;
  let refilledAt = 0;
  let wantedAt = Number.NEGATIVE_INFINITY;

  return {
    get statement() {
      if (statement?.perSecond === undefined && isLongPast(statement)) return undefined;
      return statement;
    },
    get sent() {
      return sent;
    },
    get isWanted() {
      return now() - wantedAt <= DEMAND_RETENTION_MS;
    },
    recordResponse,
    applyPeer,
    canPlace,
    recordPlacement() {
      sent += 1;
      if (statement?.perSecond === undefined) return;
      level -= 1;
      shares.recordPlacement();
    },
  };

  function isLongPast(ended: RateStatement | undefined): boolean {
    return ended !== undefined && now() - ended.at > END_RETENTION_MS;
  }

  function recordResponse(perSecond: number | undefined, sentAt: number): void {
    if (perSecond !== undefined) {
      replace({ perSecond, at: now() });
      return;
    }
    // Without a limit, a response shows its end only if its request was sent under the limit:
    // another one may have begun before the limit was stated.
    if (statement === undefined || sentAt < statement.at) return;
    replace({ perSecond, at: now() });
  }

  function applyPeer(peer: PeerRate): void {
    const { gatewayId, incarnation, sent: sentByPeer, statement: told } = peer;
    const known = peers.get(gatewayId);
    if (known?.incarnation === incarnation) level -= sentByPeer - known.sent;
    peers.set(gatewayId, { incarnation, sent: sentByPeer, isIdle: !peer.isWanted, at: now() });
    if (told.at > (statement?.at ?? Number.NEGATIVE_INFINITY)) replace(told, gatewayId);
  }

  function replace(next: RateStatement, source?: string): void {
    const before = statement?.perSecond;
    statement = next;
    if (next.perSecond === before) return;
    if (before === undefined) {
      level = 0;
      refilledAt = now();
      // What was sent between two limits uses up neither.
      peers.clear();
    }
    host.onChange(next.perSecond, before, source);
  }

  function canPlace(gateways: GatewayCounts): boolean {
    if (statement?.perSecond === undefined) return true;
    wantedAt = now();
    refill(Math.max(statement.perSecond, MIN_PER_SECOND), gateways);
    // With 0 slots no gateway is guaranteed one.
    return shares.canPlace(Math.floor(level), 0, gateways.responsive - countIdle());
  }

  function countIdle(): number {
    let count = 0;
    for (const { isIdle, at } of peers.values()) {
      if (isIdle && now() - at <= DEMAND_RETENTION_MS) count += 1;
    }
    return count;
  }

  /** Leaves the shares of silent gateways to them. */
  function refill(perSecond: number, { responsive, known }: GatewayCounts): void {
    const elapsedMs = now() - refilledAt;
    refilledAt = now();
    const capacity = 1 + CAPACITY_S * perSecond;
    const added = (perSecond * (responsive / known) * elapsedMs) / 1_000;
    const maxDebt = Math.max(MIN_MAX_DEBT, MAX_DEBT_S * perSecond);
    level = Math.min(capacity, Math.max(level, -maxDebt) + added);
  }
}
