/**
 * Configuration leases as the leader sees them. A member takes new work only while it holds one,
 * so a ticket is in force once each member has acknowledged its revision or has no lease left.
 */

import type { Clock } from '../common/clock.js';
import type { Member } from '../generated/keeper.js';
import { toMemberKey } from './members.js';

/** Length of a configuration lease, counted by the member from the moment it asked; milliseconds. */
export const LEASE_MS = 2_400;
/** Factor by which the leader waits longer than the member, for clocks of unequal speed. */
const DRIFT_FACTOR = 1.05;
/** Time without a lease after which a member is removed; milliseconds. */
const REMOVAL_MS = 3_000;

interface LeaseRecord {
  acknowledgedRevision: number;
  leaseUntil: number;
}

/** What the leader knows of the members' leases. */
export interface Leases {
  /** Begins a new term of leadership: earlier leaders may have granted leases until now. */
  restart(): void;
  acknowledge(member: Member, revision: number): void;
  /** Grants a lease when `member` may hold one; returns its length, 0 for none. */
  renew(member: Member, members: readonly Member[], configRevision: number): number;
  /** Ends a lease that its holder gave back. */
  release(member: Member): void;
  isInForce(revision: number, members: readonly Member[]): boolean;
  /** Members that neither acknowledged `revision` nor lost their lease. */
  listLagging(revision: number, members: readonly Member[]): Member[];
  /** Members that may be removed from the state. */
  listExpired(members: readonly Member[]): Member[];
  getAcknowledged(member: Member): number;
  hasLease(member: Member): boolean;
}

/** Creates the leader's table of leases. */
export function createLeases(clock: Clock): Leases {
  const records = new Map<string, LeaseRecord>();
  let assumedUntil = Number.POSITIVE_INFINITY;

  return {
    restart,
    acknowledge,
    renew,
    release,
    isInForce: (revision, members) => listLagging(revision, members).length === 0,
    listLagging,
    listExpired,
    getAcknowledged: (member) => getRecord(member).acknowledgedRevision,
    hasLease: (member) => getRecord(member).leaseUntil > clock.now(),
  };

  function restart(): void {
    records.clear();
    assumedUntil = clock.now() + LEASE_MS * DRIFT_FACTOR;
  }

  function acknowledge(member: Member, revision: number): void {
    const record = getRecord(member);
    record.acknowledgedRevision = Math.max(record.acknowledgedRevision, revision);
  }

  function renew(member: Member, members: readonly Member[], configRevision: number): number {
    const record = getRecord(member);
    if (record.acknowledgedRevision < configRevision) return 0;
    if (members.some((other) => blocks(other, member))) return 0;
    record.leaseUntil = clock.now() + LEASE_MS * DRIFT_FACTOR;
    return LEASE_MS;
  }

  /** An endpoint has one order-giver: a newer one ends renewals, an older lease must run out first. */
  function blocks(other: Member, member: Member): boolean {
    if (member.role !== 'agent' || other.endpoint !== member.endpoint) return false;
    if (other.fencingToken > member.fencingToken) return true;
    return other.fencingToken < member.fencingToken && getRecord(other).leaseUntil > clock.now();
  }

  function release(member: Member): void {
    getRecord(member).leaseUntil = clock.now();
  }

  function listLagging(revision: number, members: readonly Member[]): Member[] {
    const now = clock.now();
    return members.filter((member) => {
      const record = getRecord(member);
      return record.acknowledgedRevision < revision && record.leaseUntil > now;
    });
  }

  function listExpired(members: readonly Member[]): Member[] {
    const now = clock.now();
    forgetRemoved(members);
    return members.filter((member) => {
      const isReplaced = members.some((other) => isNewer(other, member));
      const graceMs = isReplaced ? 0 : REMOVAL_MS;
      return getRecord(member).leaseUntil + graceMs < now;
    });
  }

  function forgetRemoved(members: readonly Member[]): void {
    const present = new Set(members.map((member) => toMemberKey(member.id, member.incarnation)));
    for (const key of records.keys()) {
      if (!present.has(key)) records.delete(key);
    }
  }

  function getRecord(member: Member): LeaseRecord {
    const key = toMemberKey(member.id, member.incarnation);
    const known = records.get(key);
    if (known !== undefined) return known;
    const leaseUntil = Math.max(assumedUntil, clock.now());
    const record = { acknowledgedRevision: 0, leaseUntil };
    records.set(key, record);
    return record;
  }
}

function isNewer(other: Member, member: Member): boolean {
  return other.id === member.id && other.fencingToken > member.fencingToken;
}
