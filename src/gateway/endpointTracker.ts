/** What a gateway knows of each endpoint: its announcement, its load from all gateways, its health. */

import type { Announcement, EndpointLoad, GatewayReport } from '../generated/control.js';
import type { Registry } from '../registry/registry.js';
import { createEndpointClient, type EndpointClient } from './endpointClient.js';
import { createEndpointHealth, type EndpointHealth } from './endpointHealth.js';
import { createEndpointSpeed, type EndpointSpeed } from './endpointSpeed.js';
import { createSlotLimiter, type SlotLimiter } from './slotLimiter.js';
import type { ReportedLoad } from './types.js';

/** Age after which what another gateway reported no longer counts. */
const REPORT_RETENTION_MS = 1_500;
/** Age after which an endpoint's own report is no longer believed. */
const LOAD_RETENTION_MS = 400;
/** Silence of an endpoint with running requests after which it gets no more of them. */
const SILENCE_MS = 700;
/** Time for which an answer counts for more than what another gateway says of its endpoint. */
const OWN_EVIDENCE_MS = 300;

/** One incarnation of an endpoint. */
export interface Endpoint {
  readonly announcement: Announcement;
  readonly client: EndpointClient;
  readonly health: EndpointHealth;
  readonly speed: EndpointSpeed;
  readonly slotLimiter: SlotLimiter;
  /** Requests of this gateway that run there. */
  running: number;
  /** Prompt tokens of this gateway's requests there whose answers have not begun. */
  unreadTokens: number;
  /** Newest time at which any byte came from there, or at which it got its only request. */
  lastActivityAt: number;
  /** Load as the endpoint stated it with its last answer. */
  selfReported: (ReportedLoad & { at: number; ownRunning: number }) | undefined;
}

/** What the book needs from outside. */
export interface EndpointTrackerHost {
  now(): number;
  random(): number;
  registry: Registry;
}

/** All endpoints. */
export interface EndpointTracker {
  /** Takes over what the registry says now. */
  syncWithRegistry(): void;
  /** Endpoints of a pool that may get a request, one that may be repeated or not. */
  listUsable(pool: string, mayRepeat: boolean): Endpoint[];
  /** Requests that run at an endpoint, from all gateways, as far as is known here. */
  getOccupancy(endpoint: Endpoint): number;
  /** Prompt tokens that an endpoint has still to read, from all gateways. */
  getUnreadTokens(endpoint: Endpoint): number;
  applyReport(report: GatewayReport): void;
  recordLoad(endpoint: Endpoint, report: ReportedLoad): void;
  listLoads(): EndpointLoad[];
  /** Gateways that are heard, this one included. */
  readonly gatewayCount: number;
  close(): void;
}

interface PeerLoads {
  loads: Map<string, EndpointLoad>;
  at: number;
}

/** Creates an empty book. */
export function createEndpointTracker(host: EndpointTrackerHost): EndpointTracker {
  const endpoints = new Map<string, Endpoint>();
  const peers = new Map<string, PeerLoads>();

  return {
    syncWithRegistry: follow,
    listUsable,
    getOccupancy,
    getUnreadTokens,
    applyReport: receive,
    recordLoad: noteLoad,
    listLoads,
    get gatewayCount() {
      return countGateways();
    },
    close,
  };

  function follow(): void {
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
    };
  }

  function listUsable(pool: string, mayRepeat: boolean): Endpoint[] {
    const now = host.now();
    const usable: Endpoint[] = [];
    for (const [id, endpoint] of endpoints) {
      if (endpoint.announcement.pool !== pool || !host.registry.isUsable(id)) continue;
      const { health, running, lastActivityAt: heardAt } = endpoint;
      if (running > 0 && now - heardAt > SILENCE_MS) continue;
      if (health.isUsable(now, { running, isRetryable: mayRepeat })) usable.push(endpoint);
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
    return endpoint.running + Math.max(others, getStatedOthers(endpoint));
  }

  function getUnreadTokens({ announcement, unreadTokens, speed: pace }: Endpoint): number {
    const now = host.now();
    const tokenMs = pace.promptTokenMs ?? 0;
    let others = 0;
    for (const { loads, at } of peers.values()) {
      const ageMs = now - at;
      const reported = loads.get(announcement.endpointId)?.unreadTokens ?? 0;
      if (reported === 0 || ageMs > REPORT_RETENTION_MS) continue;
      // The endpoint has gone on reading since the report.
      const readSince = tokenMs === 0 ? 0 : ageMs / tokenMs;
      others += Math.max(0, reported - readSince);
    }
    return unreadTokens + others;
  }

  /** Requests of other gateways by the endpoint's own word. */
  function getStatedOthers({ selfReported: stated }: Endpoint): number {
    if (stated === undefined || host.now() - stated.at > LOAD_RETENTION_MS) return 0;
    return Math.max(0, stated.running + stated.waiting - stated.ownRunning);
  }

  function countGateways(): number {
    const oldest = host.now() - REPORT_RETENTION_MS;
    let count = 1;
    for (const { at } of peers.values()) {
      if (at >= oldest) count += 1;
    }
    return count;
  }

  function receive(report: GatewayReport): void {
    for (const { endpointId, isOut } of report.loads) {
      if (isOut) followOutage(endpointId);
    }
    const loads = new Map(report.loads.map((load) => [load.endpointId, load]));
    peers.set(report.gatewayId, { loads, at: host.now() });
  }

  /** An endpoint that is heard here is not doubted because of what another gateway sees. */
  function followOutage(endpointId: string): void {
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined) return;
    if (host.now() - endpoint.lastActivityAt > OWN_EVIDENCE_MS)
      endpoint.health.recordRemoteEjection();
  }

  function noteLoad(endpoint: Endpoint, report: ReportedLoad): void {
    endpoint.selfReported = { ...report, at: host.now(), ownRunning: endpoint.running };
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
