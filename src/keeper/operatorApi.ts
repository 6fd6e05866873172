/** The keeper's HTTP API for operators. Only the leader serves requests; others redirect to it. */

import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import type { BodyAdmission } from '../common/bodyAdmission.js';
import type { ClientLimits } from '../common/clientConnections.js';
import type { Clock } from '../common/clock.js';
import { delay } from '../common/delay.js';
import { describeFailure, raise, toFailure, type Failure } from '../common/failure.js';
import { readBody, startServer } from '../common/httpServer.js';
import type { Logger } from '../common/logging.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import { checkToml } from '../common/tomlFile.js';
import type { Member } from '../generated/keeper.js';
import type { Ticket } from '../generated/schemas.js';
import { isTicket } from '../generated/validators.js';
import { describeKeepers } from './keeperStatus.js';
import type { RunningReplica } from './replica.js';
import type { Sessions } from './sessions.js';
import { canonicalizeTicket, checkChanges, listChanges, type TicketChange } from './tickets.js';
import type { AcceptedTicket } from './types.js';

const MAX_TICKET_BYTES = 4 * 1024 * 1024;
/** Time for which a request waits for a leader: an election, and the first heartbeat after it. */
const LEADER_WAIT_MS = 1_500;
const LEADER_POLL_MS = 20;

/** External dependencies of the API. */
export interface OperatorApiHost {
  settings: KeeperProcessSettings;
  clock: Clock;
  logger: Logger;
  sessions: Sessions;
  bodies: BodyAdmission;
  clients: ClientLimits;
  tryGetReplica(): RunningReplica | undefined;
}

/** A running API server. */
export interface OperatorApi {
  close(): Promise<void>;
}

type Redirect = Extract<Failure, { kind: 'notLeader' }> & { leader: string };
type Handler = (request: IncomingMessage, parameters: Record<string, string>) => Promise<object>;

/** Starts the API server on the address from the settings. */
export function startOperatorApi(host: OperatorApiHost): Promise<OperatorApi> {
  const app = polka();
  app.get('/healthz', (_request, response) => sendJson(response, 200, { status: 'ok' }));
  route('get', '/v1/status', async () => describeStatus(getReplica()));
  route('get', '/v1/things/:kind', async (_request, { kind }) => listThings(kind ?? ''));
  route('get', '/v1/tickets', async () => ({ tickets: listTickets() }));
  route('get', '/v1/tickets/:number', async (_request, { number }) => showTicket(Number(number)));
  route('post', '/v1/tickets', (request) => host.bodies.run(request, () => submitTicket(request)));
  route('post', '/v1/tickets/check', (request) =>
    host.bodies.run(request, () => checkTicket(request)),
  );
  route('post', '/v1/drain/:id', (_request, { id }) => drain(id ?? '', true));
  route('post', '/v1/undrain/:id', (_request, { id }) => drain(id ?? '', false));
  route('post', '/v1/snapshot', async () => ({ index: await getReplica().snapshot() }));

  const { logger, clients } = host;
  return startServer(app, { logger, address: host.settings.keeper.operatorListen, clients });

  function route(method: 'get' | 'post', path: string, handle: Handler): void {
    app[method](path, async (request, response) => {
      const startedAt = host.clock.now();
      try {
        authenticate(request);
        await waitForLeader();
        requireLeader();
        sendJson(response, 200, await handle(request, request.params as Record<string, string>));
      } catch (caught) {
        const failure = toFailure(caught);
        logFailure(request, failure, startedAt);
        sendFailure(response, failure, request.url);
      }
    });
  }

  function logFailure(request: IncomingMessage, failure: Failure, startedAt: number): void {
    if (toStatus(failure) < 500 || isRedirect(failure)) return;
    host.logger.event('operatorCallFailed', {
      path: request.url ?? '',
      reason: describeFailure(failure),
      milliseconds: Math.round(host.clock.now() - startedAt),
      callerLeft: String(request.socket.destroyed),
    });
  }

  function authenticate(request: IncomingMessage): void {
    const digest = host.settings.keeper.operatorKeyDigest;
    if (digest === undefined) return;
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1] ?? '';
    const actual = createHash('sha256').update(key).digest();
    const expected = Buffer.from(digest.slice('sha256:'.length), 'hex');
    if (!timingSafeEqual(actual, expected)) raise({ kind: 'unauthorized' });
  }

  function getReplica(): RunningReplica {
    return host.tryGetReplica() ?? raise({ kind: 'unavailable', reason: 'no cluster yet' });
  }

  /** Waits until this keeper may answer or knows who may, for as long as an election may take. */
  async function waitForLeader(): Promise<void> {
    const endAt = host.clock.now() + LEADER_WAIT_MS;
    while (!mayAnswer() && getOtherLeader() === undefined && host.clock.now() < endAt) {
      await delay(LEADER_POLL_MS);
    }
  }

  /** Requires a leader lease, so that a partitioned keeper does not answer from stale state. */
  function requireLeader(): void {
    if (!mayAnswer()) raise({ kind: 'notLeader', leader: getOtherLeader() });
  }

  function mayAnswer(): boolean {
    const { raft, isServing } = getReplica();
    return isServing && raft.hasLeaderLease(host.clock.now());
  }

  function getOtherLeader(): string | undefined {
    const { raft } = getReplica();
    return raft.role === 'leader' ? undefined : raft.leader?.operatorAddress;
  }

  async function readTicket(request: IncomingMessage): Promise<Ticket> {
    const text = (await readBody(request, MAX_TICKET_BYTES)).toString('utf8');
    const checked = checkToml<Ticket>(text, isTicket);
    if (checked.kind === 'valid') return checked.value;
    return raise({ kind: 'invalidToml', path: 'ticket', problems: checked.problems });
  }

  async function submitTicket(request: IncomingMessage): Promise<object> {
    const ticket = await readTicket(request);
    const { body, digest } = canonicalizeTicket(ticket);
    const value = { number: ticket.number, digest, body, acceptedAtMs: host.clock.wallTime() };
    const result = await getReplica().propose({ change: { $case: 'ticketAccept', value } });
    if (result.kind !== 'ticket') return raise({ kind: 'unexpected', reason: result.kind });
    const { outcome } = result;
    if (outcome.kind === 'refused') {
      const { number } = ticket;
      host.logger.event('ticketRefused', { number, reason: outcome.failure.kind });
      return raise(outcome.failure);
    }
    const { number, revision } = outcome.ticket;
    if (!outcome.isRepeat) {
      host.logger.event('ticketAccepted', { number, revision });
      host.sessions.watchTicket(number, revision);
    }
    return { ...describeTicket(outcome.ticket), repeated: outcome.isRepeat };
  }

  async function checkTicket(request: IncomingMessage): Promise<object> {
    const ticket = await readTicket(request);
    const { things } = getReplica().state;
    const changes = listChanges(ticket);
    const problems = checkChanges(changes, things);
    if (problems.length > 0) raise({ kind: 'invalidTicket', problems });
    const { digest } = canonicalizeTicket(ticket);
    return { number: ticket.number, digest, changes: changes.map(describeChange) };
  }

  function describeChange(change: TicketChange): object {
    const thing = getReplica().state.things.tryGet(change.kind, change.name);
    const before = thing === undefined ? undefined : (JSON.parse(thing.body) as object);
    return { kind: change.kind, name: change.name, before, after: change.body };
  }

  function listTickets(): object[] {
    return getReplica().state.tickets.list().map(describeTicket);
  }

  function showTicket(number: number): object {
    const ticket = getReplica().state.tickets.tryGet(number);
    if (ticket === undefined) return raise({ kind: 'unknownTicket', number });
    const body = ticket.body === undefined ? undefined : (JSON.parse(ticket.body) as object);
    return { ...describeTicket(ticket), ticket: body };
  }

  function describeTicket(ticket: AcceptedTicket): object {
    const members = getReplica().state.members.list();
    const { number, digest, revision, acceptedAtMs } = ticket;
    const lagging = host.sessions.leases.listLagging(revision, members);
    const inForce = lagging.length === 0;
    return {
      number,
      digest,
      revision,
      acceptedAtMs,
      inForce,
      lagging: lagging.map(({ id }) => id),
    };
  }

  function listThings(kind: string): object {
    const listed = getReplica().state.things.list(kind);
    return {
      things: listed.map(({ name, body, revision, ticket }) => ({
        name,
        revision,
        ticket,
        body: JSON.parse(body) as object,
      })),
    };
  }

  function describeStatus(replica: RunningReplica): object {
    const { raft, state, appliedIndex } = replica;
    const { things, tickets, members } = state;
    const newestTicket = tickets.list().at(-1);
    return {
      leader: raft.leader?.id,
      term: raft.term,
      commitIndex: raft.commitIndex,
      appliedIndex,
      keepers: describeKeepers(raft),
      configRevision: things.configRevision,
      newestTicket: newestTicket === undefined ? undefined : describeTicket(newestTicket),
      claims: state.claims.size,
      members: members.list().map(describeMember),
    };
  }

  function describeMember(member: Member): object {
    const { leases } = host.sessions;
    return {
      ...member,
      acknowledgedRevision: leases.getAcknowledged(member),
      hasLease: leases.hasLease(member),
    };
  }

  async function drain(id: string, draining: boolean): Promise<object> {
    const change = { $case: 'drainRequest' as const, value: { id, draining } };
    const result = await getReplica().propose({ change });
    if (result.kind === 'member' && result.member !== undefined) return { id, draining };
    return raise({ kind: 'unknownMember', id });
  }
}

/** Whether the failure names the keeper to ask. */
function isRedirect(failure: Failure): failure is Redirect {
  return failure.kind === 'notLeader' && failure.leader !== undefined;
}

function sendFailure(response: ServerResponse, failure: Failure, path = '/'): void {
  if (isRedirect(failure)) {
    response.setHeader('Location', `http://${failure.leader}${path}`);
    sendProblem(response, 307, failure);
    return;
  }
  if (failure.kind === 'overloaded') {
    response.setHeader('Retry-After', (failure.retryAfterMs / 1_000).toFixed(2));
  }
  sendProblem(response, toStatus(failure), failure);
}

function toStatus(failure: Failure): number {
  switch (failure.kind) {
    case 'invalidToml':
    case 'invalidTicket':
      return 422;
    case 'staleTicket':
    case 'ticketConflict':
      return 409;
    case 'unauthorized':
      return 401;
    case 'unknownTicket':
    case 'unknownMember':
      return 404;
    case 'usage':
      return 413;
    case 'unexpected':
      return 500;
    default:
      return 503;
  }
}

function sendProblem(response: ServerResponse, code: number, failure: Failure): void {
  response.setHeader('Content-Type', 'application/problem+json');
  response.statusCode = code;
  const type = `urn:turmericrack:${failure.kind}`;
  response.end(JSON.stringify({ type, title: describeFailure(failure), status: code, failure }));
}

function sendJson(response: ServerResponse, code: number, body: object): void {
  response.setHeader('Content-Type', 'application/json');
  response.statusCode = code;
  response.end(JSON.stringify(body));
}
