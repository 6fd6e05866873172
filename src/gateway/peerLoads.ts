/**
 * The load that the other gateways put on endpoints, as they last reported it. It is read for every
 * endpoint whenever a request is placed, so it is kept as sums by endpoint.
 */

import type { EndpointLoad, GatewayReport } from '../generated/control.js';
import type { GatewayCounts } from './requestRateLimit.js';

/** Age after which the report of another gateway is ignored. */
const REPORT_RETENTION_MS = 1_500;
/** Age after which a gateway without reports counts as removed. */
const PEER_EXPIRY_MS = 30_000;

/** Loads of all other gateways. */
export interface PeerLoads {
  /** Replaces the last report of a gateway. */
  apply(report: GatewayReport): void;
  /** Number of their requests that run at an endpoint. */
  countRunning(endpointId: string): number;
  /**
   * Estimates how many prompt tokens of their requests an endpoint has not processed yet, if it
   * takes `tokenMs` for each; 0 if that is not known.
   */
  countUnreadTokens(endpointId: string, tokenMs: number): number;
  /** Whether one of them has requests running at an endpoint and has not ejected it. */
  isServing(endpointId: string): boolean;
  /** Counts the gateways, including this one. */
  countGateways(): GatewayCounts;
}

interface Peer {
  /** Empty once the report is too old to count. */
  loads: readonly EndpointLoad[];
  reportedAt: number;
}

/** Sums over the reports that count. */
interface EndpointSums {
  running: number;
  /** Gateways that have requests running there and have not ejected the endpoint. */
  serving: number;
  /** The peers that have reported prompt tokens that are not processed, with their number. */
  unreadTokens: Map<Peer, number>;
}

export function createPeerLoads(now: () => number): PeerLoads {
  const peers = new Map<string, Peer>();
  const sumsByEndpoint = new Map<string, EndpointSums>();
  /** No report that counts becomes too old before this time. */
  let nextOutdatedAt = Number.POSITIVE_INFINITY;

  return { apply, countRunning, countUnreadTokens, isServing, countGateways };

  function apply({ gatewayId, loads }: GatewayReport): void {
    const before = peers.get(gatewayId);
    if (before !== undefined) discount(before);
    const peer = { loads, reportedAt: now() };
    peers.set(gatewayId, peer);
    for (const load of loads) count(peer, load);
    nextOutdatedAt = Math.min(nextOutdatedAt, peer.reportedAt + REPORT_RETENTION_MS);
  }

  function count(peer: Peer, { endpointId, running, unreadTokens, isOut }: EndpointLoad): void {
    const sums = sumsByEndpoint.get(endpointId) ?? createSums();
    sumsByEndpoint.set(endpointId, sums);
    sums.running += running;
    if (running > 0 && !isOut) sums.serving += 1;
    if (unreadTokens > 0) sums.unreadTokens.set(peer, unreadTokens);
  }

  function discount(peer: Peer): void {
    for (const { endpointId, running, isOut } of peer.loads) {
      const sums = sumsByEndpoint.get(endpointId);
      if (sums === undefined) continue;
      sums.running -= running;
      if (running > 0 && !isOut) sums.serving -= 1;
      sums.unreadTokens.delete(peer);
      if (sums.running === 0 && sums.unreadTokens.size === 0) sumsByEndpoint.delete(endpointId);
    }
    peer.loads = [];
  }

  function discountOutdated(time: number): void {
    if (time <= nextOutdatedAt) return;
    nextOutdatedAt = Number.POSITIVE_INFINITY;
    for (const peer of peers.values()) {
      const outdatedAt = peer.reportedAt + REPORT_RETENTION_MS;
      if (time > outdatedAt) discount(peer);
      else nextOutdatedAt = Math.min(nextOutdatedAt, outdatedAt);
    }
  }

  function countRunning(endpointId: string): number {
    discountOutdated(now());
    return sumsByEndpoint.get(endpointId)?.running ?? 0;
  }

  function countUnreadTokens(endpointId: string, tokenMs: number): number {
    const time = now();
    discountOutdated(time);
    let tokens = 0;
    for (const [{ reportedAt }, reported] of sumsByEndpoint.get(endpointId)?.unreadTokens ?? []) {
      // The endpoint has processed further tokens since the report.
      const processedSince = tokenMs === 0 ? 0 : (time - reportedAt) / tokenMs;
      tokens += Math.max(0, reported - processedSince);
    }
    return tokens;
  }

  function isServing(endpointId: string): boolean {
    discountOutdated(now());
    return (sumsByEndpoint.get(endpointId)?.serving ?? 0) > 0;
  }

  function countGateways(): GatewayCounts {
    const time = now();
    const counts = { responsive: 1, known: 1 };
    for (const [id, peer] of peers) {
      const ageMs = time - peer.reportedAt;
      if (ageMs > PEER_EXPIRY_MS) {
        discount(peer);
        peers.delete(id);
        continue;
      }
      counts.known += 1;
      if (ageMs <= REPORT_RETENTION_MS) counts.responsive += 1;
    }
    return counts;
  }
}

function createSums(): EndpointSums {
  return { running: 0, serving: 0, unreadTokens: new Map() };
}
