/** Chooses the endpoint of a request among those that may take it now. */

import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import { LatencyPlacement } from './latencyPlacement.js';
import {
  LoadPlacement,
  tryChooseEndpoint,
  type Candidate,
  type PlacementDemand,
} from './placement.js';
import type { GatewayCounts } from './requestRateLimit.js';
import type { RolloutRouting } from './rolloutRouting.js';
import type { PlacementRequest } from './scheduler.js';

/** Requests that a plain service may hold beyond its slots, since its requests are short. */
const SERVICE_QUEUE = 6;

const loadPlacement = new LoadPlacement();
const latencyPlacement = new LatencyPlacement();

/** Dependencies of the chooser. */
export interface EndpointChooserHost {
  now(): number;
  random(): number;
  endpoints: EndpointTracker;
  isEngine(pool: string): boolean;
  /** All software versions are served alike without it. */
  rollouts?: Pick<RolloutRouting, 'mayUse'>;
}

/** Chooses endpoints. */
export interface EndpointChooser {
  /** Returns undefined if no endpoint has a slot for the request now. */
  tryChoose(request: PlacementRequest): Endpoint | undefined;
}

export function createEndpointChooser(host: EndpointChooserHost): EndpointChooser {
  const { endpoints } = host;

  return { tryChoose };

  /** Tries the versions that the request was drawn for before the others that it may use. */
  function tryChoose(request: PlacementRequest): Endpoint | undefined {
    const endpoint = tryChooseAllowed(request);
    if (endpoint !== undefined || request.versionDraw === undefined) return endpoint;
    return tryChooseAllowed({ ...request, versionDraw: 'either' });
  }

  function tryChooseAllowed(request: PlacementRequest): Endpoint | undefined {
    const isAdaptive = endpoints.isAdaptive(request.pool);
    const policy = isAdaptive ? latencyPlacement : loadPlacement;
    const candidates = listCandidates(request, isAdaptive);
    return tryChooseEndpoint(candidates, toDemand(request, host.now()), host.random, policy);
  }

  function listCandidates(request: PlacementRequest, isAdaptive: boolean): Candidate<Endpoint>[] {
    const candidates: Candidate<Endpoint>[] = [];
    const isEngine = host.isEngine(request.pool);
    const gateways = endpoints.gatewayCounts;
    for (const endpoint of endpoints.listUsable(request.pool, request.isRetryable)) {
      if (!isAllowed(request, endpoint)) continue;
      const occupancy = endpoints.getOccupancy(endpoint);
      const slots = endpoint.announcement.slots + (isEngine ? 0 : SERVICE_QUEUE);
      if (isEngine && !hasOpenSlot(endpoint, occupancy, slots, gateways)) continue;
      if (!endpoint.rateLimit.canPlace(gateways)) continue;
      candidates.push({ endpoint, occupancy, slots, ...describe(endpoint, isAdaptive) });
    }
    return candidates;
  }

  function isAllowed(request: PlacementRequest, { announcement }: Endpoint): boolean {
    const { pool, excluded, softwareVersion, versionDraw } = request;
    if (excluded.has(announcement.endpointId)) return false;
    if (softwareVersion !== undefined) return softwareVersion === announcement.softwareVersion;
    return host.rollouts?.mayUse(pool, announcement.softwareVersion, versionDraw) ?? true;
  }

  function hasOpenSlot(
    { announcement, pace, slotLimiter }: Endpoint,
    occupancy: number,
    slots: number,
    gateways: GatewayCounts,
  ): boolean {
    if (endpoints.isPaced(announcement.pool)) {
      if (!pace.canPlace(occupancy, gateways)) return false;
      // A limited allowance is divided instead of the slots.
      if (pace.isDividing) return true;
    }
    return slotLimiter.canPlace(slots - occupancy, slots, gateways.responsive);
  }

  function describe(endpoint: Endpoint, isAdaptive: boolean) {
    const { speed, sharedSpeed, vmSlowdown } = endpoint;
    const { chunkIntervalMs, promptTokenMs } = isAdaptive ? sharedSpeed : speed;
    return {
      chunkIntervalMs,
      unreadTokens: endpoints.getUnreadTokens(endpoint),
      promptTokenMs,
      outputTokenMs: sharedSpeed.outputTokenMs,
      pauseMs: sharedSpeed.pauseMs,
      slowdown: vmSlowdown.current,
      isLocal: endpoints.isLocal(endpoint),
    };
  }
}

/** Describes what a request needs as of `now`. */
function toDemand(request: PlacementRequest, now: number): PlacementDemand {
  const { relativeWork, promptTokens, outputTokens, objectiveMs, pauseObjectiveMs } = request;
  const remainingMs = Math.max(1, request.deadline - now);
  return { relativeWork, promptTokens, outputTokens, objectiveMs, pauseObjectiveMs, remainingMs };
}
