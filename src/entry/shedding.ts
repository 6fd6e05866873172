/** Sheds waiting requests under load, but never a request while a lower tier is served. */

import type { Clock } from '../common/clock.js';
import type { Floors } from './floors.js';
import { createRejection, type Problem } from './problem.js';
import type { PendingRequest } from './types.js';

/**
 * Share of the useful time. A floor against lower tiers is requested this long before the latest
 * start that would still be useful.
 */
const FLOOR_LEAD_SHARE = 0.1;
const MIN_FLOOR_LEAD_MS = 100;
/**
 * Upper bound of the estimated run time, as a share of the useful time, so that no request is given
 * up while more than this share of its useful time is left.
 */
const MAX_RUN_TIME_SHARE = 0.8;

/** Dependencies of shedding. */
export interface SheddingHost {
  clock: Clock;
  floors: Floors;
  maxWaiting: number;
  /** Returns the requests that wait for a grant. */
  listWaiting(): Iterable<PendingRequest>;
  countWaiting(): number;
  getLowestRank(): number;
  /** Whether tiers matter; the baseline policies used in benchmarks ignore them. */
  usesTiers: boolean;
  shed(request: PendingRequest, problem: Problem): void;
  /** Estimates the run time at the fastest endpoint, in milliseconds. */
  estimateRunMs(request: PendingRequest): number;
}

/** Sheds overdue and excess requests. */
export interface Shedding {
  /** Examines all waiting requests. To be called frequently. */
  review(): void;
}

export function createShedding(host: SheddingHost): Shedding {
  return { review };

  function review(): void {
    shedOverdue();
    shedExcess();
  }

  function shedOverdue(): void {
    const now = host.clock.now();
    for (const request of host.listWaiting()) {
      // A request that starts after its slack is used up would end too late to be useful.
      const slackMs = request.deadline - now - getRunMs(request);
      if (slackMs > getFloorLeadMs(request)) continue;
      const mayShed = checkSheddable(request);
      if (slackMs <= 0 && mayShed) {
        host.shed(request, createRejection('timeout', 'no endpoint had room in time'));
      }
    }
  }

  function shedExcess(): void {
    let excess = host.countWaiting() - host.maxWaiting;
    if (excess <= 0) return;
    const candidates = [...host.listWaiting()].sort(compareShedOrder);
    for (const request of candidates) {
      if (excess <= 0) return;
      // While this request must not be shed yet, those of higher tiers are not considered.
      if (!checkSheddable(request)) return;
      host.shed(request, createRejection('shed', 'too many requests wait'));
      excess -= 1;
    }
  }

  function getRunMs(request: PendingRequest): number {
    const usefulMs = request.deadline - request.arrivedAt;
    return Math.min(host.estimateRunMs(request), MAX_RUN_TIME_SHARE * usefulMs);
  }

  /** Returns whether no lower tier is served. Requests or renews the floor that ensures this. */
  function checkSheddable(request: PendingRequest): boolean {
    const { rank } = request.tier;
    if (!host.usesTiers || rank >= host.getLowestRank()) return true;
    host.floors.request(request.pool, rank);
    return host.floors.isConfirmed(request.pool, rank);
  }
}

/** Orders requests so that the first to be shed comes first. */
export function compareShedOrder(left: PendingRequest, right: PendingRequest): number {
  if (left.tier.rank !== right.tier.rank) return right.tier.rank - left.tier.rank;
  const shedOrder = (left.team.shedOrder ?? 0) - (right.team.shedOrder ?? 0);
  return shedOrder !== 0 ? shedOrder : right.arrivedAt - left.arrivedAt;
}

function getFloorLeadMs(request: PendingRequest): number {
  const usefulMs = request.deadline - request.arrivedAt;
  return Math.max(MIN_FLOOR_LEAD_MS, FLOOR_LEAD_SHARE * usefulMs);
}
