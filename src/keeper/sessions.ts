/** Sessions of entries and agents with the leader: joins, pushed changes, acknowledgements, leases. */

import type { ServerDuplexStream } from '@grpc/grpc-js';
import { delay } from '../common/delay.js';
import type { Clock } from '../common/clock.js';
import { assert } from '../common/debug.js';
import type { Logger } from '../common/logging.js';
import type { Measures } from '../common/measures.js';
import type { KeeperMessage, Member, MemberMessage, Thing } from '../generated/keeper.js';
import { createLeases, type Leases } from './leases.js';
import type { RunningReplica } from './replica.js';

/** How often expired members and tickets in force are looked for; milliseconds. */
const SWEEP_MS = 250;
const IN_FORCE_POLL_MS = 5;
const entryKinds: readonly string[] = ['tier', 'team', 'pool', 'service', 'member', 'suspect'];
const agentKinds: readonly string[] = ['pool', 'suspect'];

type Stream = ServerDuplexStream<MemberMessage, KeeperMessage>;

interface Session {
  stream: Stream;
  member: Member | undefined;
  isJoining: boolean;
  sentRevision: number | undefined;
}

interface OpenTicket {
  number: number;
  revision: number;
  startedAt: number;
}

/** The leader's sessions. */
export interface Sessions {
  readonly leases: Leases;
  serve(stream: Stream): void;
  /** Pushes what was applied since the last call. */
  publish(): void;
  onRoleChange(isLeader: boolean): void;
  /** Watches a ticket until it is in force. */
  watchTicket(number: number, revision: number): void;
  /** Resolves when each member with a lease acts on `revision`, or when `timeoutMs` have passed. */
  waitInForce(revision: number, timeoutMs: number): Promise<void>;
  close(): void;
}

/** What sessions need from outside. */
export interface SessionsHost {
  clock: Clock;
  logger: Logger;
  measures: Measures;
  /** Undefined until the keeper's place in a cluster is known; no session is served before. */
  tryGetReplica(): RunningReplica | undefined;
}

/** Creates the sessions' owner. */
export function createSessions(host: SessionsHost): Sessions {
  const sessions = new Set<Session>();
  const leases = createLeases(host.clock);
  let openTickets: OpenTicket[] = [];
  const timer = setInterval(sweep, SWEEP_MS);

  return { leases, serve, publish, onRoleChange, watchTicket, waitInForce, close };

  function getReplica(): RunningReplica {
    const replica = host.tryGetReplica();
    assert(replica !== undefined, 'sessions are served once the replica runs');
    return replica;
  }

  function serve(stream: Stream): void {
    const session: Session = {
      stream,
      member: undefined,
      isJoining: false,
      sentRevision: undefined,
    };
    sessions.add(session);
    const forget = () => {
      sessions.delete(session);
    };
    stream.on('data', (message: MemberMessage) => handleMessage(session, message));
    stream.on('error', forget);
    stream.on('close', forget);
    stream.on('end', () => {
      forget();
      stream.end();
    });
  }

  function handleMessage(session: Session, message: MemberMessage): void {
    const replica = getReplica();
    if (!replica.isServing) {
      endSession(session, replica.raft.leader?.address ?? '');
      return;
    }
    const { member } = message;
    if (member === undefined || session.isJoining) return;
    if (session.member === undefined) {
      join(session, member, message);
      return;
    }
    if (message.leaving) {
      leave(session.member);
      return;
    }
    leases.acknowledge(session.member, message.acknowledgedRevision);
    renewLease(session, session.member, message);
    checkOpenTickets();
  }

  function join(session: Session, member: Member, message: MemberMessage): void {
    session.isJoining = true;
    const { id, incarnation } = member;
    const known = getReplica().state.members.tryGet(id, incarnation);
    if (known !== undefined) {
      openSession(session, known, message);
      return;
    }
    const change = { $case: 'memberJoin' as const, value: { member } };
    getReplica()
      .propose({ change })
      .then((result) => {
        const joined = result.kind === 'member' ? result.member : undefined;
        if (joined === undefined) return;
        host.logger.event('memberJoined', { member: id, incarnation });
        openSession(session, joined, message);
      })
      .catch(() => endSession(session, ''));
  }

  function openSession(session: Session, member: Member, message: MemberMessage): void {
    session.member = member;
    session.isJoining = false;
    session.sentRevision = message.acknowledgedRevision;
    leases.acknowledge(member, message.acknowledgedRevision);
    push(session, true);
    renewLease(session, member, message);
  }

  function renewLease(session: Session, member: Member, message: MemberMessage): void {
    const { raft, state } = getReplica();
    const { configRevision } = state.things;
    const members = state.members.list();
    const current = state.members.tryGet(member.id, member.incarnation);
    const mayGrant = current !== undefined && raft.hasLeaderLease(host.clock.now());
    const leaseMs = mayGrant ? leases.renew(current, members, configRevision) : 0;
    const value = {
      sentAtMs: message.sentAtMs,
      leaseMs,
      fencingToken: member.fencingToken,
      revision: configRevision,
      draining: current?.draining ?? false,
    };
    session.stream.write({ body: { $case: 'leaseRenewal', value } });
    // A member that was removed while it was silent joins anew.
    if (current === undefined) endSession(session, '');
  }

  function publish(): void {
    for (const session of sessions) push(session, false);
  }

  function push(session: Session, isFirst: boolean): void {
    const { member, sentRevision } = session;
    if (member === undefined || sentRevision === undefined) return;
    const { things } = getReplica().state;
    if (!isFirst && things.revision <= sentRevision) return;
    const changes = things.tryGetChanges(sentRevision);
    const kinds = member.role === 'entry' ? entryKinds : agentKinds;
    const isFull = changes === undefined;
    const relevant = (changes ?? things.listAll()).filter((thing) => isRelevant(thing, kinds));
    session.sentRevision = things.revision;
    const mustAcknowledge = things.configRevision > sentRevision;
    if (!isFirst && !mustAcknowledge && relevant.length === 0) return;
    const value = { revision: things.revision, full: isFull, things: relevant };
    session.stream.write({ body: { $case: 'stateUpdate', value } });
  }

  function endSession(session: Session, leaderAddress: string): void {
    sessions.delete(session);
    const value = { address: leaderAddress };
    session.stream.write({ body: { $case: 'leaderHint', value } });
    session.stream.end();
  }

  function onRoleChange(isLeader: boolean): void {
    openTickets = [];
    if (isLeader) {
      leases.restart();
      return;
    }
    for (const session of sessions) endSession(session, getReplica().raft.leader?.address ?? '');
  }

  function watchTicket(number: number, revision: number): void {
    openTickets.push({ number, revision, startedAt: host.clock.now() });
    checkOpenTickets();
  }

  async function waitInForce(revision: number, timeoutMs: number): Promise<void> {
    const deadline = host.clock.now() + timeoutMs;
    while (host.clock.now() < deadline) {
      if (leases.isInForce(revision, getReplica().state.members.list())) return;
      await delay(IN_FORCE_POLL_MS);
    }
  }

  function checkOpenTickets(): void {
    if (openTickets.length === 0) return;
    const members = getReplica().state.members.list();
    const remaining: OpenTicket[] = [];
    for (const ticket of openTickets) {
      if (leases.isInForce(ticket.revision, members)) noteInForce(ticket);
      else remaining.push(ticket);
    }
    openTickets = remaining;
  }

  function noteInForce(ticket: OpenTicket): void {
    const milliseconds = Math.round(host.clock.now() - ticket.startedAt);
    host.measures.timing('keeperInForce', milliseconds);
    host.logger.event('ticketInForce', { number: ticket.number, milliseconds });
  }

  function sweep(): void {
    const replica = host.tryGetReplica();
    if (replica === undefined || !replica.isServing) return;
    checkOpenTickets();
    for (const member of leases.listExpired(replica.state.members.list())) {
      if (!hasSession(member)) leave(member);
    }
  }

  function hasSession(member: Member): boolean {
    for (const session of sessions) {
      const { id, incarnation } = session.member ?? {};
      if (id === member.id && incarnation === member.incarnation) return true;
    }
    return false;
  }

  function leave(member: Member): void {
    const { id, incarnation } = member;
    leases.release(member);
    const change = { $case: 'memberLeave' as const, value: { id, incarnation } };
    getReplica()
      .propose({ change })
      .then(() => host.logger.event('memberLeft', { member: id, incarnation }))
      .catch(() => {});
  }

  function close(): void {
    clearInterval(timer);
    for (const session of sessions) endSession(session, '');
  }
}

function isRelevant(thing: Thing, kinds: readonly string[]): boolean {
  if (!kinds.includes(thing.kind)) return false;
  // Entries follow agents only; a removal carries no body to tell the role by.
  return thing.kind !== 'member' || thing.removed || thing.body.includes('"role":"agent"');
}
