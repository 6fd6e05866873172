/** Configuration leases: when a ticket is in force, and a single leased agent per endpoint. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import type { Member } from '../../../src/generated/keeper.js';
import { createLeases, LEASE_MS } from '../../../src/keeper/leases.js';

const DRIFT_LIMIT_MS = LEASE_MS * 1.1;

function createMember(id: string, more: Partial<Member> = {}): Member {
  return {
    id,
    incarnation: `${id}-1`,
    role: 'agent',
    address: '',
    failureDomain: '',
    pool: '',
    endpointKind: 'engine',
    draining: false,
    fencingToken: 1,
    endpoint: `http://${id}`,
    ...more,
  };
}

function createLeaderLeases() {
  const clock = new VirtualClock();
  const leases = createLeases(clock);
  leases.resetForNewTerm();
  clock.advance(2 * DRIFT_LIMIT_MS);
  return { clock, leases };
}

describe('configuration leases', () => {
  it('keep a ticket from being in force until their holders acknowledge it', () => {
    const { leases } = createLeaderLeases();
    const member = createMember('a');
    leases.acknowledge(member, 5);
    assert.equal(leases.renew(member, [member], 5), LEASE_MS);
    assert.ok(!leases.isInForce(6, [member]));
    leases.acknowledge(member, 6);
    assert.ok(leases.isInForce(6, [member]));
  });

  it('expire, so that an unresponsive member cannot delay a ticket for long', () => {
    const { clock, leases } = createLeaderLeases();
    const member = createMember('a');
    leases.renew(member, [member], 0);
    clock.advance(LEASE_MS);
    assert.ok(!leases.isInForce(6, [member]), 'the member may still act on the older state');
    clock.advance(DRIFT_LIMIT_MS - LEASE_MS);
    assert.ok(leases.isInForce(6, [member]));
  });

  it('are not renewed for a member that acts on an older revision', () => {
    const { leases } = createLeaderLeases();
    const member = createMember('a');
    leases.acknowledge(member, 5);
    assert.equal(leases.renew(member, [member], 6), 0);
  });

  it('granted by an earlier leader delay tickets of a new leader until they expire', () => {
    const { clock, leases } = createLeaderLeases();
    leases.resetForNewTerm();
    const member = createMember('a');
    assert.ok(!leases.isInForce(6, [member]));
    clock.advance(DRIFT_LIMIT_MS);
    assert.ok(leases.isInForce(6, [member]));
  });

  it('are never held by two agents of one endpoint at once', () => {
    const { clock, leases } = createLeaderLeases();
    const older = createMember('a');
    const newer = createMember('b', { endpoint: older.endpoint, fencingToken: 2 });
    assert.equal(leases.renew(older, [older], 0), LEASE_MS);
    const both = [older, newer];
    assert.equal(leases.renew(older, both, 0), 0, 'the older agent gets no renewal');
    assert.equal(leases.renew(newer, both, 0), 0, 'the newer agent waits');
    clock.advance(LEASE_MS);
    assert.equal(leases.renew(newer, both, 0), 0, 'the clock of the older agent may be slow');
    clock.advance(DRIFT_LIMIT_MS - LEASE_MS);
    assert.equal(leases.renew(newer, both, 0), LEASE_MS);
  });

  it('that were released need not expire', () => {
    const { leases } = createLeaderLeases();
    const older = createMember('a');
    const newer = createMember('b', { endpoint: older.endpoint, fencingToken: 2 });
    leases.renew(older, [older], 0);
    leases.release(older);
    assert.equal(leases.renew(newer, [older, newer], 0), LEASE_MS);
  });
});
