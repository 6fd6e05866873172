/**
 * Floors that this entry asks for: a request may be shed only while every agent of its pool has
 * confirmed that nothing of a lower tier runs or waits there, and refuses lower tiers meanwhile.
 */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { EntryFrameBody } from './types.js';

/** How long an agent holds a floor that is not renewed; milliseconds. */
const VALID_MS = 1_000;
const RENEW_MS = 250;

/** What floors need from outside. */
export interface FloorsHost {
  clock: Clock;
  logger: Logger;
  listAgentIds(pool: string): string[];
  send(agentId: string, body: EntryFrameBody): void;
}

/** The entry's floors. */
export interface Floors {
  /** Asks for a floor at `rank` in the pool, or renews it. */
  request(pool: string, rank: number): void;
  /** Whether nothing below `rank` is served in the pool now. */
  isConfirmed(pool: string, rank: number): boolean;
  noteReport(agentId: string, rank: number, sequence: number, below: number): void;
}

interface RequestedFloor {
  pool: string;
  rank: number;
  sentAt: number;
  /** By agent, the time until which its confirmation holds. */
  confirmedUntil: Map<string, number>;
  /** By sequence number, when it was sent. */
  sent: Map<number, number>;
}

/** Creates a record of floors with none requested. */
export function createFloors(host: FloorsHost): Floors {
  const floors = new Map<string, RequestedFloor>();
  let sequence = 0;

  return { request, isConfirmed, noteReport };

  function request(pool: string, rank: number): void {
    const now = host.clock.now();
    const floor = getFloor(pool, rank);
    if (now - floor.sentAt < RENEW_MS) return;
    if (now - floor.sentAt > VALID_MS) host.logger.event('floorRaised', { tier: rank, pool });
    floor.sentAt = now;
    sequence += 1;
    floor.sent.set(sequence, now);
    forgetOld(floor, now);
    const value = { tierRank: rank, validMs: VALID_MS, sequence };
    for (const agentId of host.listAgentIds(pool)) {
      host.send(agentId, { $case: 'floorRaise', value });
    }
  }

  function isConfirmed(pool: string, rank: number): boolean {
    const floor = floors.get(toKey(pool, rank));
    if (floor === undefined) return false;
    const now = host.clock.now();
    for (const agentId of host.listAgentIds(pool)) {
      if ((floor.confirmedUntil.get(agentId) ?? 0) <= now) return false;
    }
    return true;
  }

  function noteReport(agentId: string, rank: number, reported: number, below: number): void {
    for (const floor of floors.values()) {
      const sentAt = floor.sent.get(reported);
      if (floor.rank !== rank || sentAt === undefined) continue;
      // The agent holds the floor from the time it got the request, which is not before it was sent.
      if (below === 0) floor.confirmedUntil.set(agentId, sentAt + VALID_MS);
      else floor.confirmedUntil.delete(agentId);
    }
  }

  function getFloor(pool: string, rank: number): RequestedFloor {
    const key = toKey(pool, rank);
    const known = floors.get(key);
    if (known !== undefined) return known;
    const floor: RequestedFloor = {
      pool,
      rank,
      sentAt: Number.NEGATIVE_INFINITY,
      confirmedUntil: new Map(),
      sent: new Map(),
    };
    floors.set(key, floor);
    return floor;
  }

  function forgetOld(floor: RequestedFloor, now: number): void {
    for (const [number, sentAt] of floor.sent) {
      if (now - sentAt > VALID_MS) floor.sent.delete(number);
    }
  }
}

function toKey(pool: string, rank: number): string {
  return `${rank} ${pool}`;
}
