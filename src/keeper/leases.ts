/**
 * Configuration leases, as tracked by the leader. A member accepts new work only while it holds a
 * lease, so a ticket is in force once every member has acknowledged its revision or lost its lease.
 */

import type { Clock } from '../common/clock.js';
import type { Member } from '../generated/keeper.js';
import { toMemberKey } from './members.js';

/** Duration of a configuration lease. The member counts it from the time it sent the request. */
export const LEASE_MS = 2_400;
/** The leader counts leases longer than members do by this factor, to allow for clock drift. */
const DRIFT_FACTOR = 1.05;
/** A member is removed after this time without a lease. */
const REMOVAL_DELAY_MS = 3_000;

interface LeaseRecord {
  acknowledgedRevision: number;
  leaseUntil: number;
}

/** The members' leases and acknowledged revisions. */
export interface Leases {
  /** Resets the leases for a new leader: earlier leaders may have granted leases up to now. */
  resetForNewTerm(): void;
  acknowledge(member: Member, revision: number): void;
  /** Grants `member` a lease if it may hold one. Returns its duration in milliseconds, or 0. */
  renew(member: Member, members: readonly Member[], configRevision: number): number;
  /** Ends a lease that its holder has released. */
  release(member: Member): void;
  isInForce(revision: number, members: readonly Member[]): boolean;
  /** Lists members that hold a lease but have not acknowledged `revision`. */
  listLagging(revision: number, members: readonly Member[]): Member[];
  /** Lists members that may be removed from the replicated state. */
  listExpired(members: readonly Member[]): Member[];
  getAcknowledged(member: Member): number;
  hasLease(member: Member): boolean;
}

/** Creates the leader's lease table. */
export function createLeases(clock: Clock): Leases {
  const records = new Map<string, LeaseRecord>();
  let assumedLeaseUntil = Number.POSITIVE_INFINITY;

  return {
    resetForNewTerm,
    acknowledge,
    renew,
    release,
    isInForce: (revision, members) => listLagging(revision, members).length === 0,
    listLagging,
    listExpired,
    getAcknowledged: (member) => getRecord(member).acknowledgedRevision,
    hasLease: (member) => getRecord(member).leaseUntil > clock.now(),
  };

  function resetForNewTerm(): void {
    records.clear();
    assumedLeaseUntil = clock.now() + LEASE_MS * DRIFT_FACTOR;
  }

  function acknowledge(member: Member, revision: number): void {
    const record = getRecord(member);
    record.acknowledgedRevision = Math.max(record.acknowledgedRevision, revision);
  }

  function renew(member: Member, members: readonly Member[], configRevision: number): number {
    const record = getRecord(member);
    if (record.acknowledgedRevision < configRevision) return 0;
    if (members.some((other) => preventsLease(other, member))) return 0;
    record.leaseUntil = clock.now() + LEASE_MS * DRIFT_FACTOR;
    return LEASE_MS;
  }

  /**
   * Whether `other` keeps `member` from getting a lease. Only one agent may control an endpoint: an
   * older agent gets no renewal, and a newer one must wait until the older one's lease expires.
   */
  function preventsLease(other: Member, member: Member): boolean {
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
    deleteRemovedRecords(members);
    return members.filter((member) => {
      const isReplaced = members.some((other) => isNewer(other, member));
      const graceMs = isReplaced ? 0 : REMOVAL_DELAY_MS;
      return getRecord(member).leaseUntil + graceMs < now;
    });
  }

  function deleteRemovedRecords(members: readonly Member[]): void {
    const present = new Set(members.map((member) => toMemberKey(member.id, member.incarnation)));
    for (const key of records.keys()) {
      if (!present.has(key)) records.delete(key);
    }
  }

  function getRecord(member: Member): LeaseRecord {
    const key = toMemberKey(member.id, member.incarnation);
    const known = records.get(key);
    if (known !== undefined) return known;
    const leaseUntil = Math.max(assumedLeaseUntil, clock.now());
    const record = { acknowledgedRevision: 0, leaseUntil };
    records.set(key, record);
    return record;
  }
}

function isNewer(other: Member, member: Member): boolean {
  return other.id === member.id && other.fencingToken > member.fencingToken;
}
