/**
 * What endpoints have announced. Announcements arrive late, twice and out of order, at any keeper;
 * merged in any order they lead to the same state, so it needs no log.
 */

import type { Announcement } from '../generated/control.js';

/** States in the order in which one incarnation of an endpoint goes through them. */
const stateOrder = ['ready', 'leaving', 'gone'] as const;

export type EndpointState = (typeof stateOrder)[number];

/** The newest announcement of each endpoint. */
export interface EndpointRegistry {
  /** Whether the announcement changed what followers act on. */
  merge(announcement: Announcement): boolean;
  tryGet(endpointId: string): Announcement | undefined;
  /** All endpoints, also those that have left. */
  list(): Announcement[];
  /** Whether the endpoint may get new requests. */
  isUsable(endpointId: string): boolean;
}

/** Creates an empty registry. */
export function createEndpointRegistry(): EndpointRegistry {
  const announcements = new Map<string, Announcement>();
  // The newest incarnation at each address; an address may be used again by another endpoint.
  const holders = new Map<string, Announcement>();

  return {
    merge,
    tryGet: (endpointId) => announcements.get(endpointId),
    list: () => [...announcements.values()],
    isUsable,
  };

  function merge(announcement: Announcement): boolean {
    const known = announcements.get(announcement.endpointId);
    const next = known === undefined ? announcement : combine(known, announcement);
    if (next === known) return false;
    announcements.set(next.endpointId, next);
    noteHolder(next);
    return known === undefined || differs(known, next);
  }

  function noteHolder(announcement: Announcement): void {
    const holder = holders.get(announcement.address);
    const isNewer = holder === undefined || announcement.bornAtMs >= holder.bornAtMs;
    if (isNewer) holders.set(announcement.address, announcement);
  }

  function isUsable(endpointId: string): boolean {
    const announcement = announcements.get(endpointId);
    if (announcement?.state !== 'ready') return false;
    return holders.get(announcement.address)?.endpointId === endpointId;
  }
}

/** The later of two announcements of one endpoint; an incarnation never goes back to an earlier state. */
function combine(known: Announcement, incoming: Announcement): Announcement {
  if (incoming.bornAtMs !== known.bornAtMs) {
    return incoming.bornAtMs > known.bornAtMs ? incoming : known;
  }
  const newer = incoming.sequence > known.sequence ? incoming : known;
  const state = getLaterState(known.state, incoming.state);
  return newer.state === state ? newer : { ...newer, state };
}

function getLaterState(left: string, right: string): EndpointState {
  const index = Math.max(
    stateOrder.indexOf(left as EndpointState),
    stateOrder.indexOf(right as EndpointState),
  );
  return stateOrder[index] ?? 'ready';
}

function differs(known: Announcement, next: Announcement): boolean {
  return (
    known.bornAtMs !== next.bornAtMs ||
    known.state !== next.state ||
    known.address !== next.address ||
    known.pool !== next.pool ||
    known.slots !== next.slots
  );
}
