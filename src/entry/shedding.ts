/** Decides which waiting requests are shed, and never one while a lower tier is served. */

import type { Clock } from '../common/clock.js';
import type { Floors } from './floors.js';
import { createRejection, type Problem } from './problem.js';
import type { PendingRequest } from './types.js';

/** Share of the useful time before its end in which lower tiers are asked to give way. */
const FLOOR_LEAD_SHARE = 0.1;
const FLOOR_LEAD_MIN_MS = 100;
/** A request is not given up before this share of its useful time is left. */
const MAX_RUN_SHARE = 0.8;

/** What shedding needs from outside. */
export interface SheddingHost {
  clock: Clock;
  floors: Floors;
  maxWaiting: number;
  /** Requests that wait for a grant. */
  listWaiting(): Iterable<PendingRequest>;
  countWaiting(): number;
  getLowestRank(): number;
  /** Whether tiers count at all; baselines of measurements know none. */
  usesTiers: boolean;
  shed(request: PendingRequest, problem: Problem): void;
  /** Time that the fastest endpoint would take; milliseconds. */
  estimateRunMs(request: PendingRequest): number;
}

/** Sheds what has to be shed. */
export interface Shedding {
  /** Looks at all waiting requests; to be called often. */
  review(): void;
}

/** Creates the policy. */
export function createShedding(host: SheddingHost): Shedding {
  return { review };

  function review(): void {
    shedLate();
    shedSurplus();
  }

  function shedLate(): void {
    const now = host.clock.now();
    for (const request of host.listWaiting()) {
      // Whatever starts later than that would end too late to be of use.
      const leftMs = request.deadline - now - getRunMs(request);
      if (leftMs > getFloorLead(request)) continue;
      const mayShed = isSheddable(request);
      if (leftMs <= 0 && mayShed) {
        host.shed(request, createRejection('timeout', 'no endpoint had room in time'));
      }
    }
  }

  function shedSurplus(): void {
    let surplus = host.countWaiting() - host.maxWaiting;
    if (surplus <= 0) return;
    const candidates = [...host.listWaiting()].sort(compareShedOrder);
    for (const request of candidates) {
      if (surplus <= 0) return;
      // A request that must not be shed yet keeps those of higher tiers from being looked at.
      if (!isSheddable(request)) return;
      host.shed(request, createRejection('shed', 'too many requests wait'));
      surplus -= 1;
    }
  }

  function getRunMs(request: PendingRequest): number {
    const usefulMs = request.deadline - request.arrivedAt;
    return Math.min(host.estimateRunMs(request), MAX_RUN_SHARE * usefulMs);
  }

  /** Whether nothing of a lower tier is served; asks for that where it is not yet so. */
  function isSheddable(request: PendingRequest): boolean {
    const { rank } = request.tier;
    if (!host.usesTiers || rank >= host.getLowestRank()) return true;
    host.floors.request(request.pool, rank);
    return host.floors.isConfirmed(request.pool, rank);
  }
}

/** Requests that are shed first come first. */
export function compareShedOrder(left: PendingRequest, right: PendingRequest): number {
  if (left.tier.rank !== right.tier.rank) return right.tier.rank - left.tier.rank;
  const shedOrder = (left.team.shedOrder ?? 0) - (right.team.shedOrder ?? 0);
  return shedOrder !== 0 ? shedOrder : right.arrivedAt - left.arrivedAt;
}

function getFloorLead(request: PendingRequest): number {
  const usefulMs = request.deadline - request.arrivedAt;
  return Math.max(FLOOR_LEAD_MIN_MS, FLOOR_LEAD_SHARE * usefulMs);
}
