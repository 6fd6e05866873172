/**
 * Floors that this entry requests from agents. A floor makes an agent refuse requests of the tiers
 * below a rank. A request may be shed only while every agent of its pool has confirmed the floor
 * and reported that nothing of a lower tier runs or waits there.
 */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { EntryFrameBody } from './types.js';

/** Time for which an agent holds a floor that is not renewed. */
const VALIDITY_MS = 1_000;
const RENEW_INTERVAL_MS = 250;

/** Dependencies of the floors. */
export interface FloorsHost {
  clock: Clock;
  logger: Logger;
  listAgentIds(pool: string): string[];
  send(agentId: string, body: EntryFrameBody): void;
}

/** The floors that this entry has requested. */
export interface Floors {
  /** Requests a floor at `rank` from all agents of the pool, or renews it. */
  request(pool: string, rank: number): void;
  /** Whether all agents of the pool have confirmed that no tier below `rank` is served now. */
  isConfirmed(pool: string, rank: number): boolean;
  /** Handles an agent's report that `below` requests of tiers below the floor wait or run there. */
  handleReport(agentId: string, rank: number, sequence: number, below: number): void;
}

interface RequestedFloor {
  pool: string;
  rank: number;
  sentAt: number;
  /** By agent ID, the time until which its confirmation is valid. */
  confirmedUntil: Map<string, number>;
  /** By sequence number, the time at which the request with that number was sent. */
  sentAtBySequence: Map<number, number>;
}

export function createFloors(host: FloorsHost): Floors {
  const floors = new Map<string, RequestedFloor>();
  let sequence = 0;

  return { request, isConfirmed, handleReport };

  function request(pool: string, rank: number): void {
    const now = host.clock.now();
    const floor = getFloor(pool, rank);
    if (now - floor.sentAt < RENEW_INTERVAL_MS) return;
    if (now - floor.sentAt > VALIDITY_MS) host.logger.event('floorRaised', { tier: rank, pool });
    floor.sentAt = now;
    sequence += 1;
    floor.sentAtBySequence.set(sequence, now);
    removeExpired(floor, now);
    const value = { tierRank: rank, validMs: VALIDITY_MS, sequence };
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

  function handleReport(
    agentId: string,
    rank: number,
    reportedSequence: number,
    below: number,
  ): void {
    for (const floor of floors.values()) {
      const sentAt = floor.sentAtBySequence.get(reportedSequence);
      if (floor.rank !== rank || sentAt === undefined) continue;
      // The agent holds the floor from when it received the request, which is no earlier than the
      // time of sending, so the confirmation never outlasts the floor.
      if (below === 0) floor.confirmedUntil.set(agentId, sentAt + VALIDITY_MS);
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
      sentAtBySequence: new Map(),
    };
    floors.set(key, floor);
    return floor;
  }

  function removeExpired(floor: RequestedFloor, now: number): void {
    for (const [number, sentAt] of floor.sentAtBySequence) {
      if (now - sentAt > VALIDITY_MS) floor.sentAtBySequence.delete(number);
    }
  }
}

function toKey(pool: string, rank: number): string {
  return `${rank} ${pool}`;
}
