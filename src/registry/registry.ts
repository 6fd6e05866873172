/**
 * The latest announcement of each endpoint. Announcements may arrive late, repeatedly and out of
 * order, at any keeper. Merging them in any order gives the same state, so no replicated log is
 * needed for it.
 */

import type { Announcement } from '../generated/control.js';

/** States of an endpoint, in the order in which each of its incarnations goes through them. */
const lifecycleStates = ['ready', 'leaving', 'gone'] as const;

export type EndpointState = (typeof lifecycleStates)[number];

/** Holds the latest announcement of each endpoint. */
export interface EndpointRegistry {
  /** Returns whether the announcement changed anything that subscribers of the feed act on. */
  merge(announcement: Announcement): boolean;
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

  function merge(announcement: Announcement): boolean {
    const current = announcements.get(announcement.endpointId);
    const merged = current === undefined ? announcement : mergeAnnouncements(current, announcement);
    if (merged === current) return false;
    announcements.set(merged.endpointId, merged);
    updateLatestByAddress(merged);
    return current === undefined || hasRelevantChange(current, merged);
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
