/** Numbered configuration tickets: canonical form, validation of the whole state, acceptance. */

import { createHash } from 'node:crypto';
import canonicalize from 'canonicalize';
import { assert } from '../common/debug.js';
import type { FileProblem } from '../common/failure.js';
import type { TicketAccept } from '../generated/keeper.js';
import type { PlainService, Pool, Team, Ticket, Tier } from '../generated/schemas.js';
import type { AcceptedTicket, ThingReader, ThingWriter, TicketOutcome } from './types.js';

const MAX_STORED_BODIES = 500;
const MAX_STORED_TICKETS = 100_000;
const ticketKinds = ['tier', 'team', 'pool', 'service'] as const;

/** Kinds of things that a ticket can change. */
export type TicketKind = (typeof ticketKinds)[number];

/** A ticket's change of one thing. `body` is undefined if the ticket removes the thing. */
export interface TicketChange {
  kind: TicketKind;
  name: string;
  body: Tier | Team | Pool | PlainService | undefined;
}

/** Accepted tickets, and the highest ticket number that changed or removed each thing. */
export interface Tickets {
  accept(command: TicketAccept, revision: number): TicketOutcome;
  tryGet(number: number): AcceptedTicket | undefined;
  list(): AcceptedTicket[];
  save(): object;
  load(saved: SavedTickets): void;
}

export interface SavedTickets {
  accepted: AcceptedTicket[];
  newest: [string, number][];
  floor: number;
}

/** Returns the canonical JSON (RFC 8785) of a ticket and its SHA-256 digest in hexadecimal. */
export function canonicalizeTicket(ticket: Ticket): { body: string; digest: string } {
  const body = canonicalize(ticket);
  assert(body !== undefined, 'a ticket is an object');
  return { body, digest: createHash('sha256').update(body).digest('hex') };
}

/** Lists the changes that a ticket makes. */
export function listChanges(ticket: Ticket): TicketChange[] {
  const changes: TicketChange[] = [];
  for (const kind of ticketKinds) {
    for (const body of ticket[kind] ?? []) changes.push({ kind, name: body.name, body });
  }
  for (const path of ticket.remove ?? []) {
    const [kind, name] = path.split('/') as [TicketKind, string];
    changes.push({ kind, name, body: undefined });
  }
  return changes;
}

/** Creates an empty ticket history. */
export function createTickets(things: ThingReader & ThingWriter): Tickets {
  const accepted = new Map<number, AcceptedTicket>();
  const newest = new Map<string, number>();
  // Tickets up to this number may have been accepted and pruned from the history.
  let floor = 0;

  return { accept, tryGet: (number) => accepted.get(number), list, save, load };

  function accept(command: TicketAccept, revision: number): TicketOutcome {
    const { number, digest, body, acceptedAtMs } = command;
    const earlier = accepted.get(number);
    if (earlier?.digest === digest) return { kind: 'accepted', ticket: earlier, isRepeat: true };
    if (earlier !== undefined) {
      return {
        kind: 'refused',
        failure: { kind: 'ticketConflict', number, winnerDigest: earlier.digest },
      };
    }
    const ticket = JSON.parse(body) as Ticket;
    const changes = listChanges(ticket);
    const refusal = tryGetRefusal(number, changes);
    if (refusal !== undefined) return refusal;
    for (const change of changes) applyChange(change, number);
    const record = { number, digest, revision, acceptedAtMs, body };
    accepted.set(number, record);
    pruneHistory();
    return { kind: 'accepted', ticket: record, isRepeat: false };
  }

  function tryGetRefusal(number: number, changes: TicketChange[]): TicketOutcome | undefined {
    if (number <= floor) return refuseStale(number, floor, 'history');
    for (const change of changes) {
      const thing = toThingName(change);
      const newestNumber = newest.get(thing) ?? 0;
      if (newestNumber > number) return refuseStale(number, newestNumber, thing);
    }
    const problems = checkChanges(changes, things);
    if (problems.length === 0) return undefined;
    return { kind: 'refused', failure: { kind: 'invalidTicket', problems } };
  }

  function applyChange(change: TicketChange, number: number): void {
    newest.set(toThingName(change), number);
    if (change.body === undefined) things.remove(change.kind, change.name, number);
    else things.put(change.kind, change.name, change.body, number);
  }

  function pruneHistory(): void {
    const oldestFirst = [...accepted.values()];
    const bodyEnd = oldestFirst.length - MAX_STORED_BODIES;
    if (bodyEnd > 0) {
      const old = oldestFirst[bodyEnd - 1];
      if (old !== undefined) old.body = undefined;
    }
    if (oldestFirst.length <= MAX_STORED_TICKETS) return;
    const first = oldestFirst[0];
    assert(first !== undefined, 'the ticket history must not be empty');
    accepted.delete(first.number);
    floor = Math.max(floor, first.number);
  }

  function list(): AcceptedTicket[] {
    return [...accepted.values()];
  }

  function save(): SavedTickets {
    return { accepted: list(), newest: [...newest], floor };
  }

  function load(saved: SavedTickets): void {
    accepted.clear();
    newest.clear();
    floor = saved.floor;
    for (const ticket of saved.accepted) accepted.set(ticket.number, ticket);
    for (const [thing, number] of saved.newest) newest.set(thing, number);
  }
}

/** Validates the whole state that would result from the changes. */
export function checkChanges(changes: TicketChange[], things: ThingReader): FileProblem[] {
  const problems: FileProblem[] = [];
  const seen = new Set<string>();
  for (const change of changes) {
    const name = toThingName(change);
    if (seen.has(name)) problems.push(toProblem(name, 'touched twice'));
    seen.add(name);
    if (change.body === undefined && things.tryGet(change.kind, change.name) === undefined) {
      problems.push(toProblem(name, 'cannot be removed: there is no such thing'));
    }
  }
  const next = buildNextState(changes, things);
  checkTeams(next, problems);
  checkServices(next, problems);
  checkUnique(next, 'tier', (tier) => [`rank ${(tier as Tier).rank}`], problems);
  checkUnique(next, 'pool', (pool) => (pool as Pool).models ?? [], problems);
  checkUnique(next, 'team', (team) => (team as Team).keyDigests, problems);
  return problems;
}

type NextState = Map<TicketKind, Map<string, TicketChange['body']>>;

function buildNextState(changes: TicketChange[], things: ThingReader): NextState {
  const next: NextState = new Map();
  for (const kind of ticketKinds) {
    const bodies = new Map<string, TicketChange['body']>();
    for (const thing of things.list(kind)) {
      bodies.set(thing.name, JSON.parse(thing.body) as TicketChange['body']);
    }
    next.set(kind, bodies);
  }
  for (const change of changes) {
    if (change.body === undefined) next.get(change.kind)?.delete(change.name);
    else next.get(change.kind)?.set(change.name, change.body);
  }
  return next;
}

function checkTeams(next: NextState, problems: FileProblem[]): void {
  for (const [name, body] of next.get('team') ?? []) {
    const { tier } = body as Team;
    if (next.get('tier')?.has(tier)) continue;
    problems.push(toProblem(`team/${name}`, `there is no tier '${tier}'`));
  }
}

function checkServices(next: NextState, problems: FileProblem[]): void {
  for (const [name, body] of next.get('service') ?? []) {
    const { pool } = body as PlainService;
    const target = next.get('pool')?.get(pool) as Pool | undefined;
    if (target === undefined) {
      problems.push(toProblem(`service/${name}`, `there is no pool '${pool}'`));
      continue;
    }
    if (target.kind === 'service') continue;
    problems.push(toProblem(`service/${name}`, `pool '${pool}' holds engines`));
  }
}

function checkUnique(
  next: NextState,
  kind: TicketKind,
  getValues: (body: TicketChange['body']) => readonly string[],
  problems: FileProblem[],
): void {
  const owners = new Map<string, string>();
  for (const [name, body] of next.get(kind) ?? []) {
    for (const value of getValues(body)) {
      const owner = owners.get(value);
      if (owner !== undefined) {
        problems.push(toProblem(`${kind}/${name}`, `${value} is also that of ${kind}/${owner}`));
      }
      owners.set(value, name);
    }
  }
}

function refuseStale(number: number, newestNumber: number, thing: string): TicketOutcome {
  return { kind: 'refused', failure: { kind: 'staleTicket', number, newest: newestNumber, thing } };
}

function toThingName(change: TicketChange): string {
  return `${change.kind}/${change.name}`;
}

function toProblem(key: string, message: string): FileProblem {
  return { line: undefined, key, message };
}
