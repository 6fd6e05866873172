/** Creates the paces of the endpoints that a gateway gets to know, and logs their limits. */

import type { Logger } from '../common/logging.js';
import type { Announcement } from '../generated/control.js';
import { createEndpointPace, type EndpointPace } from './endpointPace.js';
import type { PeerLoads } from './peerLoads.js';

/** Time in which a gateway that starts gets to know the endpoints that have served before. */
const JOIN_MS = 1_500;
/** Time without requests for a pool after which a gateway leaves its share to the others. */
const DEMAND_RETENTION_MS = 1_000;

/** Dependencies of the paces. */
export interface EndpointPacesHost {
  logger: Logger;
  now(): number;
  random(): number;
  peerLoads: Pick<PeerLoads, 'isServing'>;
  isPaced(pool: string): boolean;
}

/** An endpoint as it was known before an announcement. */
export interface KnownEndpoint {
  announcement: Announcement;
  pace: EndpointPace;
}

/** Paces of all endpoints. */
export interface EndpointPaces {
  /** Returns the pace of the announced incarnation. */
  getOrCreate(announcement: Announcement, known: KnownEndpoint | undefined): EndpointPace;
  /** Records that a request is to be placed in a pool. */
  recordDemand(pool: string): void;
}

export function createEndpointPaces(host: EndpointPacesHost): EndpointPaces {
  const { logger, now, random, peerLoads, isPaced } = host;
  /** When requests were to be placed in a pool, first and last without a longer break. */
  const demands = new Map<string, { since: number; at: number }>();
  /** When an endpoint first became known. */
  let joinedAt: number | undefined;

  return { getOrCreate, recordDemand };

  function getOrCreate(announcement: Announcement, known: KnownEndpoint | undefined): EndpointPace {
    const { endpointId, bornAtMs, pool, slots, warmingForMs } = announcement;
    if (known?.announcement.bornAtMs === bornAtMs) return known.pace;
    joinedAt ??= now();
    const isWarming = warmingForMs > 0;
    return createEndpointPace({
      now,
      random,
      bornAtMs,
      slots,
      isNew: known !== undefined || isWarming || now() - joinedAt > JOIN_MS,
      isWarming,
      wantedSince: () => wantedSince(pool),
      isServingOthers: () => peerLoads.isServing(endpointId),
      onLimited(allowance, reason) {
        if (!isPaced(pool)) return;
        const limit = { allowance: Math.floor(allowance), slots, reason };
        logger.event('endpointLimited', { endpoint: endpointId, ...limit });
      },
      onFull(limitedMs) {
        if (!isPaced(pool)) return;
        logger.event('endpointUnlimited', { endpoint: endpointId, slots, limitedMs });
      },
    });
  }

  function recordDemand(pool: string): void {
    demands.set(pool, { since: wantedSince(pool) ?? now(), at: now() });
  }

  function wantedSince(pool: string): number | undefined {
    const demand = demands.get(pool);
    if (demand === undefined || now() - demand.at > DEMAND_RETENTION_MS) return undefined;
    return demand.since;
  }
}
