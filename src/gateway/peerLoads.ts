/** The load that the other gateways put on endpoints, as they last reported it. */

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
  loads: Map<string, EndpointLoad>;
  reportedAt: number;
}

export function createPeerLoads(now: () => number): PeerLoads {
  const peers = new Map<string, Peer>();

  return { apply, countRunning, countUnreadTokens, isServing, countGateways };

  function apply({ gatewayId, loads }: GatewayReport): void {
    const byEndpoint = new Map(loads.map((load) => [load.endpointId, load]));
    peers.set(gatewayId, { loads: byEndpoint, reportedAt: now() });
  }

  function countRunning(endpointId: string): number {
    const oldest = now() - REPORT_RETENTION_MS;
    let count = 0;
    for (const { loads, reportedAt } of peers.values()) {
      if (reportedAt >= oldest) count += loads.get(endpointId)?.running ?? 0;
    }
    return count;
  }

  function countUnreadTokens(endpointId: string, tokenMs: number): number {
    const time = now();
    let count = 0;
    for (const { loads, reportedAt } of peers.values()) {
      const ageMs = time - reportedAt;
      const reported = loads.get(endpointId)?.unreadTokens ?? 0;
      if (reported === 0 || ageMs > REPORT_RETENTION_MS) continue;
      // The endpoint has processed further tokens since the report.
      const processedSince = tokenMs === 0 ? 0 : ageMs / tokenMs;
      count += Math.max(0, reported - processedSince);
    }
    return count;
  }

  function isServing(endpointId: string): boolean {
    const oldest = now() - REPORT_RETENTION_MS;
    for (const { loads, reportedAt } of peers.values()) {
      if (reportedAt < oldest) continue;
      const load = loads.get(endpointId);
      if (load !== undefined && load.running > 0 && !load.isOut) return true;
    }
    return false;
  }

  function countGateways(): GatewayCounts {
    const time = now();
    const counts = { responsive: 1, known: 1 };
    for (const [id, { reportedAt }] of peers) {
      const ageMs = time - reportedAt;
      if (ageMs > PEER_EXPIRY_MS) {
        peers.delete(id);
        continue;
      }
      counts.known += 1;
      if (ageMs <= REPORT_RETENTION_MS) counts.responsive += 1;
    }
    return counts;
  }
}
