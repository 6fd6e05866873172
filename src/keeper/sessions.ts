/** Sessions of entries and agents with the leader: joins, updates, acknowledgements, leases. */

import type { ServerDuplexStream } from '@grpc/grpc-js';
import { delay } from '../common/delay.js';
import type { Clock } from '../common/clock.js';
import { assert } from '../common/debug.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import type { KeeperMessage, Member, MemberMessage, Thing } from '../generated/keeper.js';
import { listKeepers } from './clusterView.js';
import { createLeases, type Leases } from './leases.js';
import type { RunningReplica } from './replica.js';

/** Interval of the check for expired members and for pending tickets that are in force. */
const SWEEP_INTERVAL_MS = 250;
const IN_FORCE_POLL_INTERVAL_MS = 5;
const entryKinds: readonly string[] = ['tier', 'team', 'pool', 'service', 'member', 'suspect'];
const agentKinds: readonly string[] = ['pool', 'suspect'];

type Stream = ServerDuplexStream<MemberMessage, KeeperMessage>;

interface Session {
  stream: Stream;
  member: Member | undefined;
  isJoining: boolean;
  sentRevision: number | undefined;
  /** The list of keepers last sent, as text; it is sent again only when it changes. */
  sentKeepers: string;
}

interface PendingTicket {
  number: number;
  revision: number;
  startedAt: number;
}

/** All sessions with the leader. */
export interface Sessions {
  readonly leases: Leases;
  serve(stream: Stream): void;
  /** Sends each member the changes applied since its last update. */
  publish(): void;
  onRoleChange(isLeader: boolean): void;
  /** Tracks a ticket until it is in force, and then logs and records the delay. */
  watchTicket(number: number, revision: number): void;
  /** Resolves once every member with a lease has acknowledged `revision`, or after `timeoutMs`. */
  waitUntilInForce(revision: number, timeoutMs: number): Promise<void>;
  close(): void;
}

/** External dependencies of the sessions. */
export interface SessionsHost {
  clock: Clock;
  logger: Logger;
  measures: MetricsRecorder;
  /** Undefined until this keeper forms or joins a cluster; no session is served before. */
  tryGetReplica(): RunningReplica | undefined;
}

/** Creates the session manager. */
export function createSessions(host: SessionsHost): Sessions {
  const sessions = new Set<Session>();
  const leases = createLeases(host.clock);
  let pendingTickets: PendingTicket[] = [];
  const timer = setInterval(sweep, SWEEP_INTERVAL_MS);

  return { leases, serve, publish, onRoleChange, watchTicket, waitUntilInForce, close };

  function getReplica(): RunningReplica {
    const replica = host.tryGetReplica();
    assert(replica !== undefined, 'sessions must not be served before the replica runs');
    return replica;
  }

  function serve(stream: Stream): void {
    const session: Session = {
      stream,
      member: undefined,
      isJoining: false,
      sentRevision: undefined,
      sentKeepers: '',
    };
    sessions.add(session);
    const removeSession = () => {
      sessions.delete(session);
    };
    stream.on('data', (message: MemberMessage) => handleMessage(session, message));
    stream.on('error', removeSession);
    stream.on('close', removeSession);
    stream.on('end', () => {
      removeSession();
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
    checkPendingTickets();
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
    sendKeepers(session);
    // A member that was removed while it was unresponsive must join again.
    if (current === undefined) endSession(session, '');
  }

  /** Lets the member find the cluster again once all keepers of its settings are replaced. */
  function sendKeepers(session: Session): void {
    const { addresses, index } = listKeepers(host.tryGetReplica());
    const keepers = `${index} ${addresses.join(',')}`;
    if (session.sentKeepers === keepers) return;
    session.sentKeepers = keepers;
    const value = { addresses: [...addresses], index };
    session.stream.write({ body: { $case: 'keepers', value } });
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
    const { revision, configRevision } = things;
    const mustAcknowledge = configRevision > sentRevision;
    if (!isFirst && !mustAcknowledge && relevant.length === 0) return;
    const value = { revision, configRevision, full: isFull, things: relevant };
    session.stream.write({ body: { $case: 'stateUpdate', value } });
  }

  function endSession(session: Session, leaderAddress: string): void {
    sessions.delete(session);
    sendKeepers(session);
    const value = { address: leaderAddress };
    session.stream.write({ body: { $case: 'leaderHint', value } });
    session.stream.end();
  }

  function onRoleChange(isLeader: boolean): void {
    pendingTickets = [];
    if (isLeader) {
      leases.resetForNewTerm();
      return;
    }
    for (const session of sessions) endSession(session, getReplica().raft.leader?.address ?? '');
  }

  function watchTicket(number: number, revision: number): void {
    pendingTickets.push({ number, revision, startedAt: host.clock.now() });
    checkPendingTickets();
  }

  async function waitUntilInForce(revision: number, timeoutMs: number): Promise<void> {
    const deadline = host.clock.now() + timeoutMs;
    while (host.clock.now() < deadline) {
      if (leases.isInForce(revision, getReplica().state.members.list())) return;
      await delay(IN_FORCE_POLL_INTERVAL_MS);
    }
  }

  function checkPendingTickets(): void {
    if (pendingTickets.length === 0) return;
    const members = getReplica().state.members.list();
    const remaining: PendingTicket[] = [];
    for (const ticket of pendingTickets) {
      if (leases.isInForce(ticket.revision, members)) reportInForce(ticket);
      else remaining.push(ticket);
    }
    pendingTickets = remaining;
  }

  function reportInForce(ticket: PendingTicket): void {
    const milliseconds = Math.round(host.clock.now() - ticket.startedAt);
    host.measures.timing('keeperInForce', milliseconds);
    host.logger.event('ticketInForce', { number: ticket.number, milliseconds });
  }

  function sweep(): void {
    const replica = host.tryGetReplica();
    if (replica === undefined || !replica.isServing) return;
    checkPendingTickets();
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
  // Entries follow only those members that are agents. A removal has no body to tell the role from.
  return thing.kind !== 'member' || thing.removed || thing.body.includes('"role":"agent"');
}
