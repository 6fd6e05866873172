/**
 * The latest announcement of each endpoint. Announcements may arrive late, repeatedly and out of
 * order, at any keeper. Merging them in any order gives the same state, so no replicated log is
 * needed for it.
 */

import type { Announcement } from '../generated/control.js';
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

/** Holds the latest announcement of each endpoint. */
export interface EndpointRegistry {
  /** Merges a valid announcement; an invalid one changes nothing. */
  merge(announcement: Announcement): MergeOutcome;
  tryGet(endpointId: string): Announcement | undefined;
  /** Announcements of all endpoints, including those that are gone. */
  list(): Announcement[];
  /** Whether new requests may be sent to the endpoint. */
  isUsable(endpointId: string): boolean;
}

export function createEndpointRegistry(): EndpointRegistry {
  const announcements = new Map<string, Announcement>();
  // The latest incarnation at each address: an address may be reused by another endpoint.
  const latestByAddress = new Map<string, Announcement>();

  return {
    merge,
    tryGet: (endpointId) => announcements.get(endpointId),
    list: () => [...announcements.values()],
    isUsable,
  };

  function merge(announcement: Announcement): MergeOutcome {
    const problem = tryGetAnnouncementProblem(announcement);
    if (problem !== undefined) return { kind: 'refused', problem };
    const current = announcements.get(announcement.endpointId);
    const merged = current === undefined ? announcement : mergeAnnouncements(current, announcement);
    if (merged === current) return { kind: 'unchanged' };
    announcements.set(merged.endpointId, merged);
    updateLatestByAddress(merged);
    const isChange = current === undefined || hasRelevantChange(current, merged);
    return isChange ? { kind: 'changed', announcement: merged } : { kind: 'unchanged' };
  }
  function updateLatestByAddress(announcement: Announcement): void {
    const latest = latestByAddress.get(announcement.address);
    const isNewer = latest === undefined || announcement.bornAtMs >= latest.bornAtMs;
    if (isNewer) latestByAddress.set(announcement.address, announcement);
  }

  function isUsable(endpointId: string): boolean {
    const announcement = announcements.get(endpointId);
    if (announcement?.state !== 'ready') return false;
    return latestByAddress.get(announcement.address)?.endpointId === endpointId;
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
    before.pool !== after.pool ||
    before.slots !== after.slots
  );
}
