/**
 * The replicated state machine. It applies committed commands in log order and deterministically:
 * it reads no clock, and all times come from the commands.
 */

import { assertNever } from '../common/debug.js';
import type { Command, Thing } from '../generated/keeper.js';
import { createClaims, type Claims, type SavedClaims } from './claims.js';
import { createDeclaredTable, type DeclaredTable, type SavedTable } from './declaredTable.js';
import { createMembers, type Members, type SavedMembers } from './members.js';
import { createRollouts, type RolloutRecord, type Rollouts } from './rollouts.js';
import { createSuspects } from './suspects.js';
import { createThings, type Things } from './things.js';
import { createTickets, type SavedTickets, type Tickets } from './tickets.js';
import type { ApplyResult, Suspect } from './types.js';

/** State that is identical on all keepers at the same log index. */
export interface State {
  readonly things: Things;
  readonly tickets: Tickets;
  readonly members: Members;
  readonly claims: Claims;
  readonly table: DeclaredTable;
  readonly rollouts: Rollouts;
  apply(command: Command, index: number): ApplyResult;
  save(): Buffer;
  load(saved: Uint8Array): void;
}

interface SavedState {
  things: Thing[];
  tickets: SavedTickets;
  members: SavedMembers;
  claims: SavedClaims;
  suspects: [string, Suspect][];
  table: SavedTable | undefined;
  rollouts: RolloutRecord[] | undefined;
}

/** Creates an empty state. */
export function createReplicatedState(): State {
  const things = createThings();
  const tickets = createTickets(things);
  const members = createMembers(things);
  const claims = createClaims();
  const suspects = createSuspects(things);
  const table = createDeclaredTable();
  const rollouts = createRollouts();

  return { things, tickets, members, claims, table, rollouts, apply, save, load };

  function apply(command: Command, index: number): ApplyResult {
    things.setRevision(index);
    const { change } = command;
    if (change === undefined) return { kind: 'done' };
    switch (change.$case) {
      case 'ticketAccept':
        return { kind: 'ticket', outcome: tickets.accept(change.value, index) };
      case 'memberJoin':
        return { kind: 'member', member: change.value.member && members.join(change.value.member) };
      case 'memberLeave':
        return removeMember(change.value.id, change.value.incarnation);
      case 'drainRequest':
        return drainMember(change.value.id, change.value.draining);
      case 'claimOpen':
        return { kind: 'claim', outcome: claims.open(change.value) };
      case 'claimClose':
        claims.close(change.value);
        return { kind: 'done' };
      case 'crashReport':
        suspects.report(change.value);
        return { kind: 'done' };
      case 'soloOpen':
        return { kind: 'solo', outcome: suspects.open(change.value) };
      case 'soloClose':
        return { kind: 'solo', outcome: suspects.close(change.value) };
      case 'tableDeclare':
        return { kind: 'table', outcome: table.declare(change.value) };
      case 'rolloutBegin':
        return { kind: 'rollout', outcome: rollouts.begin(change.value, index) };
      case 'rolloutStep':
        rollouts.step(change.value, index);
        return { kind: 'done' };
      case 'rolloutEnd':
        rollouts.end(change.value, index);
        return { kind: 'done' };
      default:
        return assertNever(change);
    }
  }

  function removeMember(id: string, incarnation: string): ApplyResult {
    members.leave(id, incarnation);
    claims.markPendingUnknown(id, incarnation);
    suspects.releaseSoloRun(incarnation);
    return { kind: 'done' };
  }

  function drainMember(id: string, draining: boolean): ApplyResult {
    const isKnown = members.drain(id, draining);
    const member = isKnown ? members.list().find((candidate) => candidate.id === id) : undefined;
    return { kind: 'member', member };
  }

  function save(): Buffer {
    const saved = {
      things: things.save(),
      tickets: tickets.save(),
      members: members.save(),
      claims: claims.save(),
      suspects: suspects.save(),
      table: table.save(),
      rollouts: rollouts.list(),
    };
    return Buffer.from(JSON.stringify(saved));
  }

  function load(bytes: Uint8Array): void {
    const saved = JSON.parse(Buffer.from(bytes).toString('utf8')) as SavedState;
    things.load(saved.things);
    tickets.load(saved.tickets);
    members.load(saved.members);
    claims.load(saved.claims);
    suspects.load(saved.suspects);
    table.load(saved.table);
    rollouts.load(saved.rollouts);
  }
}
