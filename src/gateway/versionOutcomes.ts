/**
 * Counts how the responses of each software version turn out, per pool and route, in pools with a
 * rollout. The keepers judge the new version by these counts of all gateways.
 */

import type { VersionOutcome } from '../generated/control.js';
import type { Endpoint } from './endpointTracker.js';
import { createSlowResponses, type ResponseTiming } from './slowResponses.js';
import type { Call } from './types.js';
import { estimateWork } from './workEstimator.js';

/** Work of a request that states no tokens: such requests of a route count as equal. */
const PLAIN_WORK = 1;

/** Dependencies of the counts. */
export interface VersionOutcomesHost {
  /** Whether a rollout of the pool is in progress or has ended lately. */
  isTracked(pool: string): boolean;
  /** Called with each counted request that is sent to an endpoint. */
  onBegun(pool: string, softwareVersion: string): void;
}

/** What one attempt of a call is counted under. */
export type CountedCall = Pick<Call, 'pool' | 'route' | 'head'>;

/** Counts and sums since the gateway started. */
export interface VersionOutcomes {
  /** Counts an attempt that begins; returns false if its end is not to be counted. */
  recordBegun(call: CountedCall, softwareVersion: string): boolean;
  /** Counts a complete successful response. */
  recordCompleted(
    call: CountedCall,
    softwareVersion: string,
    endpoint: Endpoint,
    timing: ResponseTiming,
  ): void;
  /** Counts a complete response that blames the request. */
  recordRejected(call: CountedCall, softwareVersion: string): void;
  /** Counts a response that its caller gave up when it was long overdue. */
  recordOverdue(call: CountedCall, softwareVersion: string, endpoint: Endpoint): void;
  /** Counts a response that the endpoint failed to give. */
  recordFailed(call: CountedCall, softwareVersion: string): void;
  /** Outcomes in the pools with a rollout, for this gateway's own report. */
  list(): VersionOutcome[];
}

export function createVersionOutcomes(host: VersionOutcomesHost): VersionOutcomes {
  /** By pool, route and software version. Kept after a rollout, as counts never go back. */
  const outcomes = new Map<string, Map<string, Map<string, VersionOutcome>>>();
  const slowResponses = createSlowResponses();

  return {
    recordBegun(call, softwareVersion) {
      if (!host.isTracked(call.pool)) return false;
      getOutcome(call, softwareVersion).begun += 1;
      host.onBegun(call.pool, softwareVersion);
      return true;
    },
    recordCompleted(call, softwareVersion, endpoint, timing) {
      const outcome = getOutcome(call, softwareVersion);
      const work = estimateWork(call.head) || PLAIN_WORK;
      outcome.completed += 1;
      outcome.firstMs += timing.firstMs;
      outcome.totalMs += timing.totalMs;
      outcome.work += work;
      const { pool, route } = call;
      if (slowResponses.record(endpoint, { pool, route: route.name, work }, timing)) {
        outcome.slow += 1;
        recordLate(outcome, endpoint);
      }
    },
    recordRejected(call, softwareVersion) {
      getOutcome(call, softwareVersion).rejected += 1;
    },
    recordOverdue(call, softwareVersion, endpoint) {
      const outcome = getOutcome(call, softwareVersion);
      outcome.overdue += 1;
      recordLate(outcome, endpoint);
    },
    recordFailed(call, softwareVersion) {
      getOutcome(call, softwareVersion).failed += 1;
    },
    list,
  };

  function getOutcome({ pool, route }: CountedCall, softwareVersion: string): VersionOutcome {
    const byRoute = getOrCreate(outcomes, pool, () => new Map());
    const byVersion = getOrCreate(byRoute, route.name, () => new Map());
    return getOrCreate(byVersion, softwareVersion, () => ({
      pool,
      softwareVersion,
      route: route.name,
      begun: 0,
      completed: 0,
      failed: 0,
      slow: 0,
      firstMs: 0,
      totalMs: 0,
      work: 0,
      overdue: 0,
      rejected: 0,
      lateResponses: [],
    }));
  }

  function recordLate({ lateResponses }: VersionOutcome, { announcement }: Endpoint): void {
    const { endpointId } = announcement;
    const known = lateResponses.find((late) => late.endpointId === endpointId);
    if (known === undefined) lateResponses.push({ endpointId, count: 1 });
    else known.count += 1;
  }

  function list(): VersionOutcome[] {
    const listed: VersionOutcome[] = [];
    for (const [pool, byRoute] of outcomes) {
      if (!host.isTracked(pool)) continue;
      for (const byVersion of byRoute.values()) {
        for (const outcome of byVersion.values()) {
          const lateResponses = outcome.lateResponses.map((late) => ({ ...late }));
          listed.push({ ...outcome, lateResponses });
        }
      }
    }
    return listed;
  }
}

function getOrCreate<Value>(map: Map<string, Value>, key: string, create: () => Value): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}
