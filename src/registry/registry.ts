/**
 * The latest announcement of each endpoint. Announcements may arrive late, repeatedly and out of
 * order, at any keeper. Merging them in any order gives the same state, so no replicated log is
 * needed for it.
 *
 * Announcements that name a pool which no table has declared come from another writer, or precede
 * the table. They are held apart, so that they affect neither ids nor addresses of other endpoints.
 */

import type { Logger } from '../common/logging.js';
import type { Announcement } from '../generated/control.js';
import { createAnnouncementIndex, isLater } from './announcementIndex.js';
import {
  lifecycleStates,
  tryGetAnnouncementProblem,
  type EndpointState,
} from './checkAnnouncement.js';

/** What came of a received announcement. */
export type MergeOutcome =
  /** Something changed that subscribers of the feed act on; `announcement` is what is now held. */
  | { kind: 'changed'; announcement: Announcement }
  | { kind: 'unchanged' }
  | { kind: 'refused'; problem: string };

/** Holds the latest announcement of each endpoint in each pool that it has named. */
export interface EndpointRegistry {
  /** Merges a valid announcement; an invalid one changes nothing and is logged. */
  merge(announcement: Announcement): MergeOutcome;
  /** Adds pools to the declared ones, and returns whether any is new. A pool stays declared. */
  declarePools(names: Iterable<string>): boolean;
  /** Announcements of all endpoints in all pools, including those that are gone. */
  list(): Announcement[];
  /** Announcements of one endpoint in all pools. */
  listOf(endpointId: string): Announcement[];
  /** Announcements of all endpoints in declared pools, including those that are gone. */
  listDeclared(): Announcement[];
  /** Returns the announcement of an endpoint's latest incarnation in a declared pool. */
  tryGet(endpointId: string): Announcement | undefined;
  /** Whether new requests may be sent to the endpoint. */
  isUsable(endpointId: string): boolean;
}

export function createEndpointRegistry(logger: Logger): EndpointRegistry {
  const declaredPools = new Set<string>();
  const byEndpoint = createAnnouncementIndex(declaredPools);
  // Holds the latest incarnation of each pool: an address may be reused by another endpoint.
  const byAddress = createAnnouncementIndex(declaredPools);

  return {
    merge,
    declarePools,
    list: byEndpoint.list,
    listOf: byEndpoint.listOf,
    listDeclared: byEndpoint.listLatest,
    tryGet: byEndpoint.tryGetLatest,
    isUsable,
  };

  function merge(announcement: Announcement): MergeOutcome {
    const problem = tryGetAnnouncementProblem(announcement);
    const { endpointId, pool } = announcement;
    if (problem !== undefined) {
      logger.event('announcementRefused', { endpoint: endpointId, reason: problem });
      return { kind: 'refused', problem };
    }
    const current = byEndpoint.tryGet(endpointId, pool);
    const merged = current === undefined ? announcement : mergeAnnouncements(current, announcement);
    if (merged === current) return { kind: 'unchanged' };
    byEndpoint.set(endpointId, merged);
    const latest = byAddress.tryGet(merged.address, pool);
    if (latest === undefined || isLater(merged, latest)) byAddress.set(merged.address, merged);
    const isChange = current === undefined || hasRelevantChange(current, merged);
    return isChange ? { kind: 'changed', announcement: merged } : { kind: 'unchanged' };
  }

  function declarePools(names: Iterable<string>): boolean {
    const { size } = declaredPools;
    for (const name of names) declaredPools.add(name);
    if (declaredPools.size === size) return false;
    byEndpoint.refresh();
    byAddress.refresh();
    return true;
  }

  function isUsable(endpointId: string): boolean {
    const announcement = byEndpoint.tryGetLatest(endpointId);
    if (announcement?.state !== 'ready') return false;
    return byAddress.tryGetLatest(announcement.address)?.endpointId === endpointId;
  }
}

/**
 * Returns the later of two announcements of an endpoint. If both are of the same incarnation, the
 * result has the later of their states, as an incarnation never returns to an earlier one.
 */
function mergeAnnouncements(current: Announcement, received: Announcement): Announcement {
  if (received.bornAtMs !== current.bornAtMs) {
    return received.bornAtMs > current.bornAtMs ? received : current;
  }
  const latest = received.sequence > current.sequence ? received : current;
  const state = getLaterState(current.state, received.state);
  return latest.state === state ? latest : { ...latest, state };
}

function getLaterState(left: string, right: string): EndpointState {
  const index = Math.max(
    lifecycleStates.indexOf(left as EndpointState),
    lifecycleStates.indexOf(right as EndpointState),
  );
  return lifecycleStates[index] ?? 'ready';
}

function hasRelevantChange(before: Announcement, after: Announcement): boolean {
  return (
    before.bornAtMs !== after.bornAtMs ||
    before.state !== after.state ||
    before.address !== after.address ||
    before.slots !== after.slots
  );
}
