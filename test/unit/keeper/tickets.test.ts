/** Tickets in the replicated state: repeatable, atomic, and never overwriting a newer one. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Ticket } from '../../../src/generated/schemas.js';
import { createReplicatedState, type State } from '../../../src/keeper/state.js';
import { canonicalizeTicket } from '../../../src/keeper/tickets.js';
import type { TicketOutcome } from '../../../src/keeper/types.js';
import { createBaseTicket } from '../../fixtures/workloads.js';

let index = 0;

function submit(state: State, ticket: Ticket): TicketOutcome {
  index += 1;
  const { body, digest } = canonicalizeTicket(ticket);
  const value = { number: ticket.number, digest, body, acceptedAtMs: 0 };
  const result = state.apply({ change: { $case: 'ticketAccept', value } }, index);
  assert.equal(result.kind, 'ticket');
  return (result as { outcome: TicketOutcome }).outcome;
}

function getRefusal(outcome: TicketOutcome): string {
  return outcome.kind === 'refused' ? outcome.failure.kind : 'accepted';
}

function createTeamTicket(number: number, weight: number): Ticket {
  return { number, team: [{ name: 'sorters', tier: 'now', keyDigests: [], weight }] };
}

function createBaseState(): State {
  const state = createReplicatedState();
  assert.equal(submit(state, createBaseTicket(1)).kind, 'accepted');
  return state;
}

describe('tickets', () => {
  it('get the same answer when repeated, also after hundreds of others and a restart', () => {
    const state = createBaseState();
    const first = submit(state, createTeamTicket(2, 5));
    for (let number = 3; number < 900; number += 1) submit(state, createTeamTicket(number, number));
    const restarted = createReplicatedState();
    restarted.load(state.save());
    const again = submit(restarted, createTeamTicket(2, 5));
    assert.ok(first.kind === 'accepted' && again.kind === 'accepted' && again.isRepeat);
    assert.equal(again.ticket.revision, first.ticket.revision);
    assert.match(restarted.things.tryGet('team', 'sorters')?.body ?? '', /"weight":899/);
  });

  it('are refused under the number of another ticket, whose digest is returned', () => {
    const state = createBaseState();
    const winner = submit(state, createTeamTicket(2, 5));
    const loser = submit(state, { number: 2, tier: [{ name: 'other', rank: 9 }] });
    assert.ok(winner.kind === 'accepted' && loser.kind === 'refused');
    assert.deepEqual(loser.failure, {
      kind: 'ticketConflict',
      number: 2,
      winnerDigest: winner.ticket.digest,
    });
    assert.equal(state.things.tryGet('tier', 'other'), undefined);
  });

  it('are refused if a higher number changed one of their things, also removed ones', () => {
    const state = createBaseState();
    submit(state, { number: 9, remove: ['service/order-desk'] });
    const stale: Ticket = { number: 5, service: [{ name: 'order-desk', pool: 'order-desk' }] };
    assert.equal(getRefusal(submit(state, stale)), 'staleTicket');
    assert.equal(getRefusal(submit(state, createTeamTicket(5, 1))), 'accepted');
  });

  it('apply all of their changes or none', () => {
    const state = createBaseState();
    const ticket: Ticket = {
      number: 2,
      tier: [{ name: 'extra', rank: 7 }],
      team: [{ name: 'sorters', tier: 'nowhere', keyDigests: [] }],
    };
    assert.equal(getRefusal(submit(state, ticket)), 'invalidTicket');
    assert.equal(state.things.tryGet('tier', 'extra'), undefined);
    assert.equal(getRefusal(submit(state, createTeamTicket(2, 3))), 'accepted');
  });

  it('are validated against the whole resulting state', () => {
    const state = createBaseState();
    const cases: Ticket[] = [
      { number: 2, remove: ['tier/now'] },
      { number: 2, remove: ['pool/order-desk'] },
      { number: 2, remove: ['team/nobody'] },
      { number: 2, tier: [{ name: 'same', rank: 0 }] },
      { number: 2, pool: [{ name: 'second', kind: 'engine', models: ['kernel-lm'] }] },
      { number: 2, service: [{ name: 'wrong', pool: 'kernel-lm' }] },
      { number: 2, tier: [{ name: 'twice', rank: 8 }], remove: ['tier/twice'] },
    ];
    for (const ticket of cases) {
      assert.equal(getRefusal(submit(state, ticket)), 'invalidTicket', JSON.stringify(ticket));
    }
  });

  it('have a digest that does not depend on the order of keys', () => {
    const left = canonicalizeTicket({ number: 1, tier: [{ name: 'a', rank: 1 }] });
    const right = canonicalizeTicket({ tier: [{ rank: 1, name: 'a' }], number: 1 });
    assert.equal(left.digest, right.digest);
  });
});
