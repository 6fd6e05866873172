/**
 * Tracks the endpoints known to a gateway: their announcements, their health, and their load from
 * all gateways.
 */

import type { Logger } from '../common/logging.js';
import { createReadPacer } from '../common/readPacer.js';
import type {
  Announcement,
  EndpointLoad,
  GatewayReport,
  StreamOrigin,
} from '../generated/control.js';
import type { EndpointRegistry } from '../registry/registry.js';
import { createBegunStreams, type BegunStreams } from './begunStreams.js';
import { createEndpointClient, type EndpointClient } from './endpointClient.js';
import { createEndpointHealth, type EndpointHealth } from './endpointHealth.js';
import { tryDescribeLoad, type ReportedKinds } from './endpointLoad.js';
import type { EndpointPace } from './endpointPace.js';
import { createEndpointPaces } from './endpointPaces.js';
import { createEndpointSpeed, type EndpointSpeed } from './endpointSpeed.js';
import { createPeerLoads } from './peerLoads.js';
import {
  createRequestRateLimit,
  type GatewayCounts,
  type RequestRateLimit,
} from './requestRateLimit.js';
import { createSharedSpeed, type SharedSpeed } from './sharedSpeed.js';
import { createSlotLimiter, type SlotLimiter } from './slotLimiter.js';
import type { ReportedLoad, ResponseHead } from './types.js';
import { createVmSlowdown, type VmSlowdown } from './vmSlowdown.js';

/** Age after which the load that an endpoint itself reported is ignored. */
const LOAD_RETENTION_MS = 400;
/** Silence after which an endpoint with running requests receives no new ones. */
const SILENCE_MS = 700;
/** Time for which activity seen here overrides an ejection reported by another gateway. */
const RECENT_MS = 300;

/** One incarnation of an endpoint. */
export interface Endpoint {
  readonly announcement: Announcement;
  readonly client: EndpointClient;
  readonly health: EndpointHealth;
  readonly speed: EndpointSpeed;
  /** Used in pools that are started slowly. */
  readonly pace: EndpointPace;
  /** The speed that all gateways have seen; used in adaptive pools. */
  readonly sharedSpeed: SharedSpeed;
  readonly vmSlowdown: VmSlowdown;
  readonly slotLimiter: SlotLimiter;
  readonly rateLimit: RequestRateLimit;
  /** Requests of this gateway that run there. */
  running: number;
  /** Prompt tokens of this gateway's requests there whose responses have not started. */
  unreadTokens: number;
  /** When a byte last arrived from there, or when a request was placed while none was running. */
  lastActivityAt: number;
  /** Load that the endpoint reported with its latest response. */
  selfReported: (ReportedLoad & { at: number; ownRunning: number }) | undefined;
  /** Streams that may be continued elsewhere. */
  readonly begunStreams: BegunStreams;
  /** The incarnation that has announced itself at its address; undefined before. */
  successor: Successor | undefined;
}

/** An incarnation of an endpoint that has started at the address of the one before it. */
export interface Successor {
  softwareVersion: string;
  /** Responses of which a part has arrived since this time are its own. */
  since: number;
}

/**
 * Where endpoints are chosen by expected latency: nowhere, everywhere, or (`auto`) in the pools in
 * which an endpoint has stated how much its VM slows it down. Only `adaptive` starts engines slowly:
 * the reports that this takes cost gateways on small VMs more than callers gain.
 */
export type Scheduling = 'basic' | 'adaptive' | 'auto';

/** Dependencies of the tracker. */
export interface EndpointTrackerHost {
  logger: Logger;
  now(): number;
  random(): number;
  registry: EndpointRegistry;
  /** Of this gateway. */
  failureDomain?: string;
  /** Which pools are adaptive; `auto` by default. */
  scheduling?: Scheduling;
  /** Whether a pool consists of engines. */
  isEngine?(pool: string): boolean;
  /** Called once when an endpoint states in a response that it leaves. */
  onLeaving(announcement: Announcement): void;
  /** Called when streams turn out to have begun at another software version than was known. */
  onOriginsCorrected(origins: StreamOrigin[]): void;
}

/** All endpoints of a gateway. */
export interface EndpointTracker {
  /** Adds, replaces and removes endpoints to match those of the registry's declared pools. */
  syncWithRegistry(): void;
  /** Endpoints of a pool that may receive a request that is retryable or not. */
  listUsable(pool: string, isRetryable: boolean): Endpoint[];
  /** Whether an endpoint of this software version takes requests, in good health or not. */
  hasReady(pool: string, softwareVersion: string): boolean;
  /** Estimated number of requests of all gateways that run at an endpoint. */
  getOccupancy(endpoint: Endpoint): number;
  /** Estimated prompt tokens of all gateways that an endpoint has not processed yet. */
  getUnreadTokens(endpoint: Endpoint): number;
  /** Processing time of one prompt token, of other endpoints of the pool if it has no samples. */
  getPromptTokenMs(endpoint: Endpoint): number;
  /** Number of endpoints whose allowance is limited. */
  readonly limitedCount: number;
  /** Whether an endpoint is in the failure domain of this gateway. */
  isLocal(endpoint: Endpoint): boolean;
  /** Whether the endpoints of a pool are chosen by expected latency. */
  isAdaptive(pool: string): boolean;
  /** Whether the endpoints of a pool are started slowly; only engines are. */
  isPaced(pool: string): boolean;
  applyReport(report: GatewayReport): void;
  /** Records what an endpoint states of itself in the response to a request sent at `sentAt`. */
  recordStatements(endpoint: Endpoint, head: ResponseHead, sentAt: number): void;
  /** Loads and ejections of endpoints, for this gateway's own report. */
  listLoads(): EndpointLoad[];
  readonly gatewayCounts: GatewayCounts;
  close(): void;
}

/** Creates a tracker without endpoints. */
export function createEndpointTracker(host: EndpointTrackerHost): EndpointTracker {
  const pacer = createReadPacer(host.now);
  const endpoints = new Map<string, Endpoint>();
  const peerLoads = createPeerLoads(host.now);
  const paces = createEndpointPaces({ ...host, peerLoads, isPaced });
  const { scheduling = 'auto' } = host;
  /** Pools in which an endpoint has stated how much its VM slows it down. */
  const slowedPools = new Set<string>();

  return {
    syncWithRegistry,
    listUsable,
    hasReady,
    getOccupancy,
    getUnreadTokens,
    getPromptTokenMs,
    get limitedCount() {
      return [...endpoints.values()].filter(isLimited).length;
    },
    isLocal: ({ announcement }) => announcement.failureDomain === host.failureDomain,
    isAdaptive,
    isPaced,
    applyReport,
    recordStatements,
    listLoads,
    get gatewayCounts() {
      return peerLoads.countGateways();
    },
    close,
  };

  function syncWithRegistry(): void {
    for (const announcement of host.registry.listDeclared()) {
      const known = endpoints.get(announcement.endpointId);
      if (known !== undefined) {
        if (!isReplaced(known.announcement, announcement)) continue;
        endEndpoint(known, announcement);
      }
      endpoints.set(announcement.endpointId, createEndpoint(announcement, known));
    }
    for (const [id, endpoint] of endpoints) {
      const isGone = host.registry.tryGet(id)?.state === 'gone';
      // Requests that still run there keep their connections.
      if (!isGone || endpoint.running > 0) continue;
      endpoint.client.close();
      endpoints.delete(id);
    }
  }

  /**
   * Requests may still run at an endpoint that has been replaced, unless its address has been taken.
   * Connections to that address which are still in use are to the next incarnation, which may have
   * served requests before its first announcement. So are those that were in use together with one.
   */
  function endEndpoint(endpoint: Endpoint, next: Announcement): void {
    const { announcement, client } = endpoint;
    if (announcement.address !== next.address || announcement.bornAtMs === next.bornAtMs) {
      client.retire(Number.NEGATIVE_INFINITY);
    } else if (announcement.pool !== next.pool) {
      client.close();
    } else {
      const since = client.getProcessStart(host.now() - SILENCE_MS);
      endpoint.successor = { softwareVersion: next.softwareVersion, since };
      client.retire(since);
      correctOrigins(endpoint, endpoint.successor);
    }
  }

  function correctOrigins({ announcement, begunStreams }: Endpoint, successor: Successor): void {
    const { softwareVersion, since } = successor;
    const corrected = begunStreams.correct(softwareVersion, since);
    if (corrected.length === 0) return;
    host.logger.event('streamOriginsCorrected', {
      endpoint: announcement.endpointId,
      streams: corrected.length,
      announcedVersion: announcement.softwareVersion,
      softwareVersion,
      sinceMs: Math.round(host.now() - since),
    });
    host.onOriginsCorrected(corrected);
  }

  function createEndpoint(announcement: Announcement, known?: Endpoint): Endpoint {
    return {
      announcement,
      client: createEndpointClient(announcement.address, host.now, pacer),
      health: createEndpointHealth(),
      speed: createEndpointSpeed(),
      pace: paces.getOrCreate(announcement, known),
      sharedSpeed: createSharedSpeed(),
      vmSlowdown: createVmSlowdown(host.now),
      slotLimiter: createSlotLimiter(host.now, host.random),
      rateLimit: createRequestRateLimit({
        now: host.now,
        random: host.random,
        onChange: (perSecond, before, source) =>
          logRateChange(announcement.endpointId, perSecond, before, source),
      }),
      running: 0,
      unreadTokens: 0,
      lastActivityAt: host.now(),
      selfReported: undefined,
      begunStreams: createBegunStreams(host.now),
      successor: undefined,
    };
  }

  function listUsable(pool: string, isRetryable: boolean): Endpoint[] {
    const now = host.now();
    paces.recordDemand(pool);
    const usable: Endpoint[] = [];
    for (const [id, endpoint] of endpoints) {
      if (endpoint.announcement.pool !== pool || !host.registry.isUsable(id)) continue;
      const { health, running, lastActivityAt } = endpoint;
      if (running > 0 && now - lastActivityAt > SILENCE_MS) continue;
      if (health.isUsable(now, { running, isRetryable })) usable.push(endpoint);
    }
    return usable;
  }

  function hasReady(pool: string, softwareVersion: string): boolean {
    for (const [id, { announcement }] of endpoints) {
      if (announcement.pool !== pool) continue;
      if (announcement.softwareVersion !== softwareVersion) continue;
      if (host.registry.isUsable(id)) return true;
    }
    return false;
  }

  function getOccupancy(endpoint: Endpoint): number {
    const others = peerLoads.countRunning(endpoint.announcement.endpointId);
    return endpoint.running + Math.max(others, getSelfReportedOthers(endpoint));
  }

  function getUnreadTokens({ announcement, unreadTokens, speed }: Endpoint): number {
    const { endpointId } = announcement;
    return unreadTokens + peerLoads.countUnreadTokens(endpointId, speed.promptTokenMs ?? 0);
  }

  function getPromptTokenMs({ announcement, speed }: Endpoint): number {
    if (speed.promptTokenMs !== undefined) return speed.promptTokenMs;
    let [sum, count] = [0, 0];
    for (const peer of endpoints.values()) {
      const { promptTokenMs } = peer.speed;
      if (promptTokenMs === undefined || peer.announcement.pool !== announcement.pool) continue;
      sum += promptTokenMs;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }

  function isLimited({ announcement, pace }: Endpoint): boolean {
    return pace.isLimited && isPaced(announcement.pool);
  }

  function isAdaptive(pool: string): boolean {
    return scheduling === 'adaptive' || (scheduling === 'auto' && slowedPools.has(pool));
  }

  function isPaced(pool: string): boolean {
    return scheduling === 'adaptive' && (host.isEngine?.(pool) ?? true);
  }

  /** Requests of other gateways, derived from the load that the endpoint itself reported. */
  function getSelfReportedOthers({ selfReported }: Endpoint): number {
    if (selfReported === undefined || host.now() - selfReported.at > LOAD_RETENTION_MS) return 0;
    return Math.max(0, selfReported.running + selfReported.waiting - selfReported.ownRunning);
  }

  function applyReport(report: GatewayReport): void {
    for (const load of report.loads) {
      if (load.isOut) applyRemoteEjection(load.endpointId);
      applyRate(report, load);
      applyStatements(report, load);
    }
    peerLoads.apply(report);
  }

  function applyRate(
    { gatewayId, incarnation }: GatewayReport,
    { endpointId, rateStatement }: EndpointLoad,
  ): void {
    if (rateStatement === undefined) return;
    const { perSecond, ageMs, sent, isWanted } = rateStatement;
    const statement = { perSecond, at: host.now() - ageMs };
    const endpoint = endpoints.get(endpointId);
    endpoint?.rateLimit.applyPeer({ gatewayId, incarnation, sent, isWanted, statement });
  }

  function applyStatements(report: GatewayReport, load: EndpointLoad): void {
    const endpoint = endpoints.get(load.endpointId);
    if (endpoint === undefined) return;
    endpoint.pace.applyPeer(report.gatewayId, load.pace);
    if (load.speed !== undefined) endpoint.sharedSpeed.applyPeer(report, load.speed);
    if (load.slowdown === undefined) return;
    slowedPools.add(endpoint.announcement.pool);
    endpoint.vmSlowdown.applyPeer(load.slowdown);
  }

  /** Ignores the ejection if this gateway itself has recently heard from the endpoint. */
  function applyRemoteEjection(endpointId: string): void {
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined) return;
    if (host.now() - endpoint.lastActivityAt > RECENT_MS) endpoint.health.recordRemoteEjection();
  }

  function recordStatements(endpoint: Endpoint, head: ResponseHead, sentAt: number): void {
    if (head.load !== undefined) recordLoad(endpoint, head.load);
    endpoint.rateLimit.recordResponse(head.maxRequestRate, sentAt);
    if (head.isLeaving) recordLeaving(endpoint);
    if (head.unwantedForMs !== undefined) recordUnwanted(endpoint, head.unwantedForMs);
  }

  function recordUnwanted({ announcement, health }: Endpoint, forMs: number): void {
    health.recordUnwanted(host.now() + forMs);
    host.logger.event('endpointPaused', { endpoint: announcement.endpointId, forMs });
  }

  function recordLoad(endpoint: Endpoint, load: ReportedLoad): void {
    endpoint.pace.recordQueue(load.waiting);
    endpoint.selfReported = { ...load, at: host.now(), ownRunning: endpoint.running };
    if (load.slowdown === undefined) return;
    slowedPools.add(endpoint.announcement.pool);
    endpoint.vmSlowdown.record(load.slowdown);
  }

  function recordLeaving({ announcement }: Endpoint): void {
    const leaving = { ...announcement, state: 'leaving' };
    if (host.registry.merge(leaving).kind !== 'changed') return;
    host.logger.event('endpointLeaving', { endpoint: announcement.endpointId });
    host.onLeaving(leaving);
  }

  function logRateChange(
    endpoint: string,
    perSecond: number | undefined,
    before = 0,
    source = 'response',
  ): void {
    if (perSecond === undefined) {
      host.logger.event('requestRateUnlimited', { endpoint, before, source });
    } else {
      host.logger.event('requestRateLimited', { endpoint, perSecond, before, source });
    }
  }

  function listLoads(): EndpointLoad[] {
    return [...endpoints.values()].flatMap(
      (endpoint) => tryDescribeLoad(endpoint, reportedKinds(endpoint), host.now()) ?? [],
    );
  }

  function reportedKinds({ announcement: { pool } }: Endpoint): ReportedKinds {
    return { isShared: isAdaptive(pool), isPaced: isPaced(pool) };
  }

  function close(): void {
    for (const endpoint of endpoints.values()) endpoint.client.close();
    endpoints.clear();
  }
}

function isReplaced(known: Announcement, next: Announcement): boolean {
  return (
    known.bornAtMs !== next.bornAtMs || known.address !== next.address || known.pool !== next.pool
  );
}
