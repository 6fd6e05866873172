/**
 * Handles requests from admission to their end: reserves with agents and dispatches to the first
 * that grants the request. A request is dispatched under one grant at a time. It returns to waiting
 * only if the agent states that it did not run ("voided" or "not_run").
 */

import { createResponseRelay, isDispatchedTo } from './responseRelay.js';
import { toRunFailure } from './runResult.js';
import { createReserve, listCandidates } from './reservations.js';
import type { Clock } from '../common/clock.js';
import { assertNever } from '../common/debug.js';
import type { Logger } from '../common/logging.js';
import type { AgentFrame, Granted, Reserve } from '../generated/dispatch.js';
import type { AgentLink, AgentLinks } from './agentLinks.js';
import type { Directory } from './directory.js';
import type { Floors } from './floors.js';
import type { PlacementPolicy } from './placement.js';
import { createRejection, type Problem } from './problem.js';
import type { RunStats, PendingRequest } from './types.js';

/** Time after which a request whose agent has been disconnected is given up as lost. */
const AGENT_LOSS_TIMEOUT_MS = 8_000;
/** Time for which an agent that refused a request, or did not run it, is not asked again. */
const REFUSAL_BACKOFF_MS = 250;

/** Dependencies of the dispatcher. */
export interface DispatcherHost {
  clock: Clock;
  logger: Logger;
  links: AgentLinks;
  policy: PlacementPolicy;
  floors: Floors;
  getDirectory(): Directory;
  hasLease(): boolean;
  getRevision(): number;
  /** Reports an agent lost with a request in flight; resolves when that is known everywhere. */
  reportAgentLoss(agentId: string, digest: string): Promise<void>;
}

/** Schedules and tracks the requests of this entry. */
export interface Dispatcher {
  readonly waitingCount: number;
  readonly count: number;
  submit(request: PendingRequest): void;
  /** Handles the loss of the caller: ends the request if it waits or may be cancelled. */
  abandon(request: PendingRequest): void;
  /** Ends a waiting request without running it. */
  shed(request: PendingRequest, problem: Problem): void;
  listWaiting(): Iterable<PendingRequest>;
  handleConnected(link: AgentLink): void;
  handleDisconnected(link: AgentLink): void;
  handleFrame(link: AgentLink, frame: AgentFrame): void;
  /** Checks all waiting requests against the current configuration again. */
  readmit(): void;
  /** Places waiting requests and fails those whose agent is lost. To be called frequently. */
  review(): void;
}

export function createDispatcher(host: DispatcherHost): Dispatcher {
  const { clock, links } = host;
  const requests = new Map<string, PendingRequest>();
  const waiting = new Set<PendingRequest>();
  const responses = createResponseRelay({ links, toReserve, returnToWaiting, finish, fail });

  return {
    get waitingCount() {
      return waiting.size;
    },
    get count() {
      return requests.size;
    },
    submit,
    abandon,
    shed,
    listWaiting: () => waiting,
    handleConnected,
    handleDisconnected,
    handleFrame,
    readmit,
    review,
  };

  function submit(request: PendingRequest): void {
    requests.set(request.id, request);
    enqueue(request);
  }

  /**
   * Adds a request to those that wait. The configuration may have changed since it was admitted:
   * while its body was read, a claim was opened, or a dispatch that an agent refused was on its way.
   */
  function enqueue(request: PendingRequest): void {
    waiting.add(request);
    readmitRequest(request);
    if (request.state === 'waiting') place(request);
  }

  function place(request: PendingRequest): void {
    if (!host.hasLease()) return;
    const now = clock.now();
    const candidates = listCandidates(request, host.getDirectory(), links, now);
    const chosen = host.policy.choose(request, candidates, now);
    if (chosen.length === 0) return;
    request.lastReservedAt = now;
    for (const link of chosen) reserve(request, link);
  }

  function reserve(request: PendingRequest, link: AgentLink): void {
    request.reservations.add(link.id);
    link.reservedCount += 1;
    links.send(link.id, request.id, { $case: 'reserve', value: toReserve(request) });
  }

  function toReserve(request: PendingRequest): Reserve {
    return createReserve(request, host.policy.usesTiers, host.getRevision(), clock.now());
  }

  function handleFrame(link: AgentLink, frame: AgentFrame): void {
    const { body, requestId } = frame;
    if (body === undefined) return;
    if (body.$case === 'floorReport') {
      const { tierRank, sequence, below } = body.value;
      host.floors.handleReport(link.id, tierRank, sequence, below);
      return;
    }
    if (body.$case === 'welcome' || body.$case === 'loadReport') return;
    const request = requests.get(requestId);
    if (request === undefined) {
      // The request ended before the grant arrived, so the granted capacity is returned.
      if (body.$case === 'granted') {
        links.send(link.id, requestId, { $case: 'withdraw', value: {} });
      }
      return;
    }
    switch (body.$case) {
      case 'granted':
        handleGrant(request, link, body.value);
        break;
      case 'refused':
        handleRefusal(request, link);
        break;
      case 'started':
        responses.handleStart(request, link, body.value.status, body.value.headers);
        break;
      case 'chunk':
        responses.handleChunk(request, link, body.value);
        break;
      case 'finished':
        responses.handleFinish(request, link, body.value);
        break;
      case 'statusReport':
        handleStatus(request, link, body.value.outcome);
        break;
      default:
        assertNever(body);
    }
  }

  function handleGrant(request: PendingRequest, link: AgentLink, granted: Granted): void {
    removeReservation(request, link.id);
    const isCurrent = granted.incarnation === link.incarnation;
    if (request.state !== 'waiting' || !isCurrent || !host.hasLease()) {
      links.send(link.id, request.id, { $case: 'withdraw', value: {} });
      return;
    }
    withdrawAll(request);
    const { grantId, incarnation } = granted;
    request.state = 'dispatched';
    request.grant = { agentId: link.id, grantId, incarnation };
    request.lostAt = undefined;
    waiting.delete(request);
    link.dispatchedCount += 1;
    const value = {
      grantId,
      incarnation,
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body,
      traceparent: request.traceparent,
      revision: host.getRevision(),
    };
    links.send(link.id, request.id, { $case: 'dispatch', value });
  }

  function handleRefusal(request: PendingRequest, link: AgentLink): void {
    removeReservation(request, link.id);
    request.avoidUntil.set(link.id, clock.now() + REFUSAL_BACKOFF_MS);
    // The grant expired before the dispatch arrived, so nothing ran.
    if (request.grant?.agentId === link.id && request.state === 'dispatched') {
      queryStatus(request, link);
      return;
    }
    if (request.state === 'waiting') place(request);
  }

  function queryStatus(request: PendingRequest, link: AgentLink): void {
    const grantId = request.grant?.grantId ?? '';
    links.send(link.id, request.id, { $case: 'statusQuery', value: { grantId } });
  }

  function returnToWaiting(request: PendingRequest, link: AgentLink): void {
    releaseGrant(request);
    request.state = 'waiting';
    request.avoidUntil.set(link.id, clock.now() + REFUSAL_BACKOFF_MS);
    enqueue(request);
  }

  function handleStatus(request: PendingRequest, link: AgentLink, outcome: string): void {
    if (!isDispatchedTo(request, link)) return;
    if (outcome === 'voided' && request.state === 'dispatched') returnToWaiting(request, link);
    else if (outcome === 'started') responses.reattach(request, link);
  }

  function handleConnected(link: AgentLink): void {
    for (const request of requests.values()) {
      if (request.grant?.agentId === link.id) resumeAfterReconnect(request, link);
      else if (request.state === 'waiting') place(request);
    }
  }

  /** Handles the reconnection of the request's agent, which may be another incarnation by now. */
  function resumeAfterReconnect(request: PendingRequest, link: AgentLink): void {
    request.lostAt = undefined;
    const isSame = request.grant?.incarnation === link.incarnation;
    if (isSame && request.state === 'dispatched') queryStatus(request, link);
    else if (request.state === 'streaming') responses.reattach(request, link);
    else if (!isSame) void failAsLost(request, 'the agent was restarted before the answer began');
  }

  function handleDisconnected(link: AgentLink): void {
    const now = clock.now();
    link.reservedCount = 0;
    for (const request of requests.values()) {
      request.reservations.delete(link.id);
      if (request.grant?.agentId === link.id) request.lostAt ??= now;
      else if (request.state === 'waiting') place(request);
    }
  }

  function readmit(): void {
    for (const request of waiting) {
      readmitRequest(request);
      if (request.state === 'waiting' && request.reservations.size === 0) place(request);
    }
  }

  /** Admits a waiting request anew under the current configuration, or ends it. */
  function readmitRequest(request: PendingRequest): void {
    const directory = host.getDirectory();
    const found = directory.tryGetTeam(request.keyDigest);
    const pool = directory.tryGetPool(request.target);
    if (found === undefined || pool === undefined) {
      withdrawAll(request);
      const unknown = request.target.kind === 'model' ? 'unknown_model' : 'unknown_service';
      const kind = found === undefined ? 'unauthorized' : unknown;
      fail(request, createRejection(kind, 'a change of the configuration removed it'), undefined);
      return;
    }
    const isUnchanged =
      pool === request.pool &&
      found.team.name === request.team.name &&
      found.tier.rank === request.tier.rank;
    request.team = found.team;
    request.tier = found.tier;
    request.pool = pool;
    if (isUnchanged) return;
    withdrawAll(request);
  }

  function review(): void {
    const now = clock.now();
    for (const request of waiting) place(request);
    for (const request of requests.values()) {
      if (request.lostAt === undefined || now - request.lostAt < AGENT_LOSS_TIMEOUT_MS) continue;
      request.lostAt = undefined;
      void failAsLost(request, 'the agent went away');
    }
  }

  async function failAsLost(request: PendingRequest, reason: string): Promise<void> {
    const agentId = request.grant?.agentId ?? '';
    host.logger.event('outcomeUnknown', { request: request.id, reason });
    await host.reportAgentLoss(agentId, request.digest);
    if (request.state !== 'ended') fail(request, toRunFailure(request, 'lost', reason), undefined);
  }

  function abandon(request: PendingRequest): void {
    if (request.state === 'waiting') {
      withdrawAll(request);
      finish(request);
      return;
    }
    // A non-idempotent call continues so that its outcome becomes known.
    if (request.state === 'ended' || !request.idempotent) return;
    const agentId = request.grant?.agentId ?? '';
    links.send(agentId, request.id, { $case: 'cancel', value: { reason: 'caller_left' } });
    finish(request);
  }

  function shed(request: PendingRequest, problem: Problem): void {
    if (request.state !== 'waiting') return;
    withdrawAll(request);
    const { id, tier, team } = request;
    host.logger.event('requestShed', {
      request: id,
      tier: tier.name,
      team: team.name,
      reason: problem.kind,
    });
    fail(request, problem, undefined);
  }

  function withdrawAll(request: PendingRequest): void {
    for (const agentId of request.reservations) {
      removeReservation(request, agentId);
      links.send(agentId, request.id, { $case: 'withdraw', value: {} });
    }
  }

  function removeReservation(request: PendingRequest, agentId: string): void {
    const link = links.tryGet(agentId);
    if (request.reservations.delete(agentId) && link !== undefined) link.reservedCount -= 1;
  }

  function releaseGrant(request: PendingRequest): void {
    const link = links.tryGet(request.grant?.agentId ?? '');
    if (link !== undefined) link.dispatchedCount -= 1;
    request.grant = undefined;
  }

  function finish(request: PendingRequest): void {
    releaseGrant(request);
    request.state = 'ended';
    waiting.delete(request);
    requests.delete(request.id);
  }

  function fail(request: PendingRequest, problem: Problem, stats: RunStats | undefined): void {
    finish(request);
    request.sink.end({ kind: 'failed', problem, stats });
  }
}
