/**
 * Takes requests from admission to their end: reservations, the first grant, one dispatch, the
 * answer. Each request is dispatched against one grant; only a firm "voided" or "not run" from the
 * agent returns it to waiting.
 */

import { toFinishProblem, toRunFailure, toRunStats } from './runResult.js';
import { createReserve, listCandidates } from './reservations.js';
import type { Clock } from '../common/clock.js';
import { assertNever } from '../common/debug.js';
import type { Logger } from '../common/logging.js';
import type { AgentFrame, Chunk, Finished, Granted, Reserve } from '../generated/dispatch.js';
import type { AgentLink, AgentLinks } from './agentLinks.js';
import type { Directory } from './directory.js';
import type { Floors } from './floors.js';
import type { PlacementPolicy } from './placement.js';
import { createRejection, type Problem } from './problem.js';
import type { RunStats, PendingRequest } from './types.js';

/** How long an entry looks for an agent that went away with a request; milliseconds. */
const LOST_LIMIT_MS = 8_000;
/** Bytes taken by the caller after which the agent gets credit for them. */
const CREDIT_BYTES = 64 * 1024;
/** How long an agent that refused a request is not asked again; milliseconds. */
const AVOID_MS = 250;

/** What the dispatcher needs from outside. */
export interface DispatcherHost {
  clock: Clock;
  logger: Logger;
  links: AgentLinks;
  policy: PlacementPolicy;
  floors: Floors;
  getDirectory(): Directory;
  hasLease(): boolean;
  getRevision(): number;
  /** An agent went away for good with requests in flight; resolves when that is known everywhere. */
  reportAgentLoss(agentId: string, digest: string): Promise<void>;
}

/** The requests of this entry. */
export interface Dispatcher {
  readonly waitingCount: number;
  readonly count: number;
  submit(request: PendingRequest): void;
  /** The caller is gone. */
  abandon(request: PendingRequest): void;
  /** Ends a waiting request without running it. */
  shed(request: PendingRequest, problem: Problem): void;
  listWaiting(): Iterable<PendingRequest>;
  handleConnected(link: AgentLink): void;
  handleDisconnected(link: AgentLink): void;
  handleFrame(link: AgentLink, frame: AgentFrame): void;
  /** Admits what waits anew, by the present configuration. */
  readmit(): void;
  /** Places what waits and gives up what is lost; to be called often. */
  review(): void;
}

/** Creates a dispatcher without requests. */
export function createDispatcher(host: DispatcherHost): Dispatcher {
  const { clock, links } = host;
  const requests = new Map<string, PendingRequest>();
  const waiting = new Set<PendingRequest>();

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
    handleConnected: handleOpen,
    handleDisconnected: handleLost,
    handleFrame,
    readmit,
    review,
  };

  function submit(request: PendingRequest): void {
    requests.set(request.id, request);
    waiting.add(request);
    place(request);
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
    links.send(link.id, request.id, { $case: 'reserve', value: describe(request) });
  }

  function describe(request: PendingRequest): Reserve {
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
      // The grant came after the request had ended here, so its room is given back.
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
        handleStart(request, link, body.value.status, body.value.headers);
        break;
      case 'chunk':
        handleChunk(request, link, body.value);
        break;
      case 'finished':
        handleFinish(request, link, body.value);
        break;
      case 'statusReport':
        handleStatus(request, link, body.value.outcome);
        break;
      default:
        assertNever(body);
    }
  }

  function handleGrant(request: PendingRequest, link: AgentLink, granted: Granted): void {
    forgetReservation(request, link.id);
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
    forgetReservation(request, link.id);
    request.avoidUntil.set(link.id, clock.now() + AVOID_MS);
    // A grant that lapsed before the dispatch arrived: nothing ran.
    if (request.grant?.agentId === link.id && request.state === 'dispatched') {
      askStatus(request, link);
      return;
    }
    if (request.state === 'waiting') place(request);
  }

  function askStatus(request: PendingRequest, link: AgentLink): void {
    const grantId = request.grant?.grantId ?? '';
    links.send(link.id, request.id, { $case: 'statusQuery', value: { grantId } });
  }

  function isFromGrant(request: PendingRequest, link: AgentLink): boolean {
    return request.grant?.agentId === link.id && request.state !== 'ended';
  }

  function handleStart(
    request: PendingRequest,
    link: AgentLink,
    status: number,
    headers: { name: string; value: string }[],
  ): void {
    if (!isFromGrant(request, link) || request.state === 'streaming') return;
    request.state = 'streaming';
    request.sink.start(status, headers, link.id);
  }

  function handleChunk(request: PendingRequest, link: AgentLink, chunk: Chunk): void {
    if (!isFromGrant(request, link)) return;
    const skipped = request.receivedBytes - chunk.offset;
    if (skipped < 0) {
      reattach(request, link);
      return;
    }
    if (skipped >= chunk.data.length) return;
    const data = chunk.data.subarray(skipped);
    request.receivedBytes += data.length;
    request.sink.write(data, () => giveCredit(request, link, data.length));
  }

  /** Credit is given in large pieces, so that it costs little for each event of a stream. */
  function giveCredit(request: PendingRequest, link: AgentLink, bytes: number): void {
    request.uncreditedBytes += bytes;
    if (request.state === 'ended' || request.uncreditedBytes < CREDIT_BYTES) return;
    const value = { bytes: request.uncreditedBytes };
    request.uncreditedBytes = 0;
    links.send(link.id, request.id, { $case: 'credit', value });
  }

  function reattach(request: PendingRequest, link: AgentLink): void {
    const value = { offset: request.receivedBytes, reserve: describe(request) };
    links.send(link.id, request.id, { $case: 'attach', value });
  }

  function handleFinish(request: PendingRequest, link: AgentLink, finished: Finished): void {
    if (!isFromGrant(request, link)) return;
    if (finished.outcome === 'not_run') {
      returnToWaiting(request, link);
      return;
    }
    const end = toRunStats(link.id, finished);
    if (finished.outcome !== 'complete') {
      fail(request, toFinishProblem(request, finished), end);
      return;
    }
    if (finished.length === request.receivedBytes) {
      finish(request);
      request.sink.end({ kind: 'complete', stats: end });
      return;
    }
    if (finished.length > request.receivedBytes) reattach(request, link);
    else fail(request, toRunFailure(request, 'cut', 'the answer had a wrong length'), end);
  }

  function returnToWaiting(request: PendingRequest, link: AgentLink): void {
    releaseGrant(request);
    request.state = 'waiting';
    request.avoidUntil.set(link.id, clock.now() + AVOID_MS);
    waiting.add(request);
    place(request);
  }

  function handleStatus(request: PendingRequest, link: AgentLink, outcome: string): void {
    if (!isFromGrant(request, link)) return;
    if (outcome === 'voided' && request.state === 'dispatched') returnToWaiting(request, link);
    else if (outcome === 'started') reattach(request, link);
  }

  function handleOpen(link: AgentLink): void {
    for (const request of requests.values()) {
      if (request.grant?.agentId === link.id) recover(request, link);
      else if (request.state === 'waiting') place(request);
    }
  }

  /** The agent with this request's grant can be reached again, perhaps as another incarnation. */
  function recover(request: PendingRequest, link: AgentLink): void {
    request.lostAt = undefined;
    const isSame = request.grant?.incarnation === link.incarnation;
    if (isSame && request.state === 'dispatched') askStatus(request, link);
    else if (request.state === 'streaming') reattach(request, link);
    else if (!isSame) void giveUp(request, 'the agent was restarted before the answer began');
  }

  function handleLost(link: AgentLink): void {
    const now = clock.now();
    link.reservedCount = 0;
    for (const request of requests.values()) {
      request.reservations.delete(link.id);
      if (request.grant?.agentId === link.id) request.lostAt ??= now;
      else if (request.state === 'waiting') place(request);
    }
  }

  function readmit(): void {
    for (const request of waiting) readmitOne(request);
  }

  function readmitOne(request: PendingRequest): void {
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
    const isSame =
      pool === request.pool &&
      found.team.name === request.team.name &&
      found.tier.rank === request.tier.rank;
    request.team = found.team;
    request.tier = found.tier;
    request.pool = pool;
    if (isSame) return;
    withdrawAll(request);
    place(request);
  }

  function review(): void {
    const now = clock.now();
    for (const request of waiting) place(request);
    for (const request of requests.values()) {
      if (request.lostAt === undefined || now - request.lostAt < LOST_LIMIT_MS) continue;
      request.lostAt = undefined;
      void giveUp(request, 'the agent went away');
    }
  }

  async function giveUp(request: PendingRequest, reason: string): Promise<void> {
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
    // A call that may not be repeated goes on, so that its outcome becomes known.
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
      forgetReservation(request, agentId);
      links.send(agentId, request.id, { $case: 'withdraw', value: {} });
    }
  }

  function forgetReservation(request: PendingRequest, agentId: string): void {
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

  function fail(request: PendingRequest, problem: Problem, end: RunStats | undefined): void {
    finish(request);
    request.sink.end({ kind: 'failed', problem, stats: end });
  }
}
