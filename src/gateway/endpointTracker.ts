/**
 * Tracks the endpoints known to a gateway: their announcements, their health, and their load from
 * all gateways.
 */

import type { Logger } from '../common/logging.js';
import type { Announcement, EndpointLoad, GatewayReport } from '../generated/control.js';
import type { EndpointRegistry } from '../registry/registry.js';
import { createEndpointClient, type EndpointClient } from './endpointClient.js';
import { createEndpointHealth, type EndpointHealth } from './endpointHealth.js';
import { createEndpointSpeed, type EndpointSpeed } from './endpointSpeed.js';
import { createSlotLimiter, type SlotLimiter } from './slotLimiter.js';
import type { ReportedLoad } from './types.js';

/** Age after which the report of another gateway is ignored. */
const REPORT_RETENTION_MS = 1_500;
/** Age after which the load that an endpoint itself reported is ignored. */
const LOAD_RETENTION_MS = 400;
/** Silence after which an endpoint with running requests receives no new ones. */
const SILENCE_MS = 700;
/** Time for which activity seen here overrides an ejection reported by another gateway. */
const RECENT_MS = 300;

/** What an endpoint last stated of the requests that it takes. */
export interface RateStatement {
  /** From all gateways together; undefined without a limit. */
  perSecond: number | undefined;
  /** Monotonic time of its response, in milliseconds. */
  at: number;
}

/** One incarnation of an endpoint. */
export interface Endpoint {
  readonly announcement: Announcement;
  readonly client: EndpointClient;
  readonly health: EndpointHealth;
  readonly speed: EndpointSpeed;
  readonly slotLimiter: SlotLimiter;
  /** Requests of this gateway that run there. */
  running: number;
  /** Prompt tokens of this gateway's requests there whose responses have not started. */
  unreadTokens: number;
  /** When a byte last arrived from there, or when a request was placed while none was running. */
  lastActivityAt: number;
  /** Load that the endpoint reported with its latest response. */
  selfReported: (ReportedLoad & { at: number; ownRunning: number }) | undefined;
  /** Undefined if it has never limited its requests. */
  rateStatement: RateStatement | undefined;
}

/** Dependencies of the tracker. */
export interface EndpointTrackerHost {
  logger: Logger;
  now(): number;
  random(): number;
  registry: EndpointRegistry;
}

/** All endpoints of a gateway. */
export interface EndpointTracker {
  /** Adds, replaces and removes endpoints to match the registry. */
  syncWithRegistry(): void;
  /** Endpoints of a pool that may receive a request that is retryable or not. */
  listUsable(pool: string, isRetryable: boolean): Endpoint[];
  /** Estimated number of requests of all gateways that run at an endpoint. */
  getOccupancy(endpoint: Endpoint): number;
  /** Estimated prompt tokens of all gateways that an endpoint has not processed yet. */
  getUnreadTokens(endpoint: Endpoint): number;
  applyReport(report: GatewayReport): void;
  recordLoad(endpoint: Endpoint, load: ReportedLoad): void;
  /** Records what a response to a request that was sent at `sentAt` states of the request rate. */
  recordRateStatement(endpoint: Endpoint, perSecond: number | undefined, sentAt: number): void;
  /** Loads and ejections of endpoints, for this gateway's own report. */
  listLoads(): EndpointLoad[];
  /** Number of gateways with recent reports, including this one. */
  readonly gatewayCount: number;
  close(): void;
}

interface PeerLoads {
  loads: Map<string, EndpointLoad>;
  at: number;
}

/** Creates a tracker without endpoints. */
export function createEndpointTracker(host: EndpointTrackerHost): EndpointTracker {
  const endpoints = new Map<string, Endpoint>();
  const peers = new Map<string, PeerLoads>();

  return {
    syncWithRegistry,
    listUsable,
    getOccupancy,
    getUnreadTokens,
    applyReport,
    recordLoad,
    recordRateStatement,
    listLoads,
    get gatewayCount() {
      return countGateways();
    },
    close,
  };

  function syncWithRegistry(): void {
    for (const announcement of host.registry.list()) {
      const known = endpoints.get(announcement.endpointId);
      if (known === undefined || isReplaced(known.announcement, announcement)) {
        known?.client.close();
        endpoints.set(announcement.endpointId, createEndpoint(announcement));
      }
    }
    for (const [id, endpoint] of endpoints) {
      const isGone = host.registry.tryGet(id)?.state === 'gone';
      // Requests that still run there keep their connections.
      if (!isGone || endpoint.running > 0) continue;
      endpoint.client.close();
      endpoints.delete(id);
    }
  }

  function createEndpoint(announcement: Announcement): Endpoint {
    return {
      announcement,
      client: createEndpointClient(announcement.address),
      health: createEndpointHealth(),
      speed: createEndpointSpeed(),
      slotLimiter: createSlotLimiter(host.now, host.random),
      running: 0,
      unreadTokens: 0,
      lastActivityAt: host.now(),
      selfReported: undefined,
      rateStatement: undefined,
    };
  }

  function listUsable(pool: string, isRetryable: boolean): Endpoint[] {
    const now = host.now();
    const usable: Endpoint[] = [];
    for (const [id, endpoint] of endpoints) {
      if (endpoint.announcement.pool !== pool || !host.registry.isUsable(id)) continue;
      const { health, running, lastActivityAt } = endpoint;
      if (running > 0 && now - lastActivityAt > SILENCE_MS) continue;
      if (health.isUsable(now, { running, isRetryable })) usable.push(endpoint);
    }
    return usable;
  }

  function getOccupancy(endpoint: Endpoint): number {
    const { endpointId } = endpoint.announcement;
    const oldest = host.now() - REPORT_RETENTION_MS;
    let others = 0;
    for (const peer of peers.values()) {
      if (peer.at >= oldest) others += peer.loads.get(endpointId)?.running ?? 0;
    }
    return endpoint.running + Math.max(others, getSelfReportedOthers(endpoint));
  }

  function getUnreadTokens({ announcement, unreadTokens, speed }: Endpoint): number {
    const now = host.now();
    const tokenMs = speed.promptTokenMs ?? 0;
    let others = 0;
    for (const { loads, at } of peers.values()) {
      const ageMs = now - at;
      const reported = loads.get(announcement.endpointId)?.unreadTokens ?? 0;
      if (reported === 0 || ageMs > REPORT_RETENTION_MS) continue;
      // The endpoint has processed further tokens since the report.
      const processedSince = tokenMs === 0 ? 0 : ageMs / tokenMs;
      others += Math.max(0, reported - processedSince);
    }
    return unreadTokens + others;
  }

  /** Requests of other gateways, derived from the load that the endpoint itself reported. */
  function getSelfReportedOthers({ selfReported }: Endpoint): number {
    if (selfReported === undefined || host.now() - selfReported.at > LOAD_RETENTION_MS) return 0;
    return Math.max(0, selfReported.running + selfReported.waiting - selfReported.ownRunning);
  }

  function countGateways(): number {
    const oldest = host.now() - REPORT_RETENTION_MS;
    let count = 1;
    for (const { at } of peers.values()) {
      if (at >= oldest) count += 1;
    }
    return count;
  }

  function applyReport(report: GatewayReport): void {
    for (const { endpointId, isOut } of report.loads) {
      if (isOut) applyRemoteEjection(endpointId);
    }
    const loads = new Map(report.loads.map((load) => [load.endpointId, load]));
    peers.set(report.gatewayId, { loads, at: host.now() });
  }

  /** Ignores the ejection if this gateway itself has recently heard from the endpoint. */
  function applyRemoteEjection(endpointId: string): void {
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined) return;
    if (host.now() - endpoint.lastActivityAt > RECENT_MS) endpoint.health.recordRemoteEjection();
  }

  function recordLoad(endpoint: Endpoint, load: ReportedLoad): void {
    endpoint.selfReported = { ...load, at: host.now(), ownRunning: endpoint.running };
  }

  function recordRateStatement(
    endpoint: Endpoint,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    const known = endpoint.rateStatement;
    if (perSecond === undefined && known === undefined) return;
    // A response to a request from before the last statement may have been begun before it, too.
    if (perSecond === undefined && known !== undefined && sentAt < known.at) return;
    endpoint.rateStatement = { perSecond, at: host.now() };
    logRateChange(endpoint.announcement.endpointId, perSecond, known?.perSecond);
  }

  function logRateChange(
    endpoint: string,
    perSecond: number | undefined,
    before: number | undefined,
  ): void {
    if (perSecond === before) return;
    if (perSecond === undefined) {
      host.logger.event('requestRateUnlimited', { endpoint, before: before ?? 0 });
    } else {
      host.logger.event('requestRateLimited', { endpoint, perSecond, before: before ?? 0 });
    }
  }

  function listLoads(): EndpointLoad[] {
    const loads: EndpointLoad[] = [];
    for (const [endpointId, { running, unreadTokens, health }] of endpoints) {
      const { isEjected: isOut } = health;
      if (running > 0 || isOut) loads.push({ endpointId, running, isOut, unreadTokens });
    }
    return loads;
  }

  function close(): void {
    for (const endpoint of endpoints.values()) endpoint.client.close();
    endpoints.clear();
  }
}

function isReplaced(known: Announcement, next: Announcement): boolean {
  return known.bornAtMs !== next.bornAtMs || known.address !== next.address;
}
