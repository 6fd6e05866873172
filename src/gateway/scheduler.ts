/**
 * Requests wait here, in order, until an endpoint has room; little waits inside endpoints, which
 * know no priorities. A request that can no longer meet its objective yields to those that can.
 * One that would wait too long even so is refused at once, the least urgent first.
 */

import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import { tryChooseEndpoint, type Candidate } from './placement.js';
import { createRouteFairness, type RouteFairness } from './routeFairness.js';
import { getQueueRank } from './queueRank.js';
import { createWaitingQueue, type QueueItem, type WaitingQueue } from './waitingQueue.js';

const REVIEW_MS = 50;
/** Time over which the rate of placements is measured. */
const RATE_WINDOW_MS = 2_000;
/** Requests beyond its slots that a plain service may hold, since its work is short. */
const SERVICE_QUEUE = 6;
const MIN_RETRY_AFTER_MS = 250;
/** Share of the placements that is left to callers that come back after a refusal. */
const RETURN_SHARE = 0.1;
/** Requests that would wait longer are refused, so that the queue holds what can soon be served. */
const MAX_WAIT_MS = 1_200;
/** Longest time after which a refused caller is told to come back. */
const RETURN_HORIZON_MS = 5_000;
/** Work against the pool's mean below which a request counts as short. */
const SHORT_WORK = 0.4;
/** One in so many places goes to the first short request whatever its route, so that none starves. */
const SHORT_TURN = 3;

/** A request that asks for a place. */
export interface PlacementRequest {
  pool: string;
  route: string;
  teamRank: number;
  routeRank: number;
  /** Work against the mean of the pool. */
  relativeWork: number;
  promptTokens: number;
  /** Time within which the answer should begin, in milliseconds. */
  objectiveMs: number;
  /** Monotonic time of the request's arrival, in milliseconds. */
  arrivedAt: number;
  /** Time within which a place still lets the answer meet its objective, in milliseconds. */
  slackMs: number;
  /** Longest time that it may wait, in milliseconds; refused at once when it would be longer. */
  maxQueueMs: number;
  /** Whether it may be sent again when an endpoint breaks off. */
  isRetryable: boolean;
  /** Whether it ran at an endpoint that broke off. */
  wasInterrupted: boolean;
  /** Endpoints that it must not go to. */
  excluded: ReadonlySet<string>;
  onPlaced(endpoint: Endpoint): void;
  onRefused(reason: RefusalReason, retryAfterMs: number): void;
}

export type RefusalReason = 'overload' | 'noEndpoint';

/** What the scheduler needs from outside. */
export interface SchedulerHost {
  now(): number;
  random(): number;
  endpoints: EndpointTracker;
  isEngine(pool: string): boolean;
}

/** Places requests at endpoints. */
export interface Scheduler {
  submit(request: PlacementRequest): void;
  /** Whether a request would get a place at once. */
  canPlace(request: PlacementRequest): boolean;
  /** Gives up a request that may still wait. */
  withdraw(request: PlacementRequest): void;
  /** Tells that a place has become free. */
  release(pool: string): void;
  /** Looks at everything again after a change of the endpoints. */
  reevaluate(): void;
  readonly waitingCount: number;
  close(): void;
}

interface Entry extends QueueItem {
  request: PlacementRequest;
  isShort: boolean;
  /** When it no longer meets its objective; undefined once that is so. */
  lateAt: number | undefined;
  giveUpAt: number;
}

interface PoolState {
  queue: WaitingQueue<Entry>;
  /** Times of the last placements. */
  placedAt: number[];
  placedCount: number;
  shares: RouteFairness;
  /** When the next caller that is refused may come back. */
  nextReturnAt: number;
}

/** Creates a scheduler. */
export function createScheduler(host: SchedulerHost): Scheduler {
  const { endpoints: book } = host;
  const pools = new Map<string, PoolState>();
  const entries = new Map<PlacementRequest, Entry>();
  const timer = setInterval(review, REVIEW_MS);

  return {
    submit,
    canPlace: (request) => tryChoose(request) !== undefined,
    withdraw,
    release: (pool) => pump(pool),
    reevaluate: review,
    get waitingCount() {
      return entries.size;
    },
    close: () => clearInterval(timer),
  };

  function submit(request: PlacementRequest): void {
    const state = getPool(request.pool);
    const now = host.now();
    if (!request.wasInterrupted) state.shares.recordRequest(request.route);
    const isLate = request.slackMs <= 0;
    const { arrivedAt } = request;
    const isShort = request.relativeWork < SHORT_WORK;
    const lateAt = isLate ? undefined : now + request.slackMs;
    const giveUpAt = now + request.maxQueueMs;
    const rank = rankOf(request, isLate);
    const entry: Entry = { rank, arrivedAt, request, isShort, lateAt, giveUpAt };
    if (state.queue.countAhead(entry) === 0 && tryPlace(state, request)) return;
    const waitMs = estimateWaitMs(state, entry);
    const longestMs = Math.min(request.maxQueueMs, MAX_WAIT_MS);
    if (waitMs > longestMs && !request.wasInterrupted) {
      request.onRefused('overload', getRetryAfterMs(state, waitMs));
      return;
    }
    entries.set(request, entry);
    state.queue.push(entry);
  }

  function rankOf(request: PlacementRequest, isLate: boolean): number {
    const { teamRank, routeRank, wasInterrupted, relativeWork } = request;
    const isShort = relativeWork < SHORT_WORK;
    return getQueueRank({ teamRank, routeRank, isLate, isShort, wasInterrupted });
  }

  function withdraw(request: PlacementRequest): void {
    const entry = entries.get(request);
    if (entry === undefined) return;
    entries.delete(request);
    getPool(request.pool).queue.remove(entry);
  }

  function review(): void {
    if (entries.size === 0) return;
    const now = host.now();
    for (const [pool, state] of pools) {
      pump(pool);
      for (const entry of state.queue) reviewEntry(state, entry, now);
    }
  }

  function reviewEntry(state: PoolState, entry: Entry, now: number): void {
    const { request } = entry;
    if (entry.giveUpAt <= now) {
      withdraw(request);
      request.onRefused('overload', getRetryAfterMs(state, estimateWaitMs(state, entry)));
      return;
    }
    if (entry.lateAt === undefined || entry.lateAt > now) return;
    state.queue.remove(entry);
    entry.lateAt = undefined;
    entry.rank = rankOf(request, true);
    state.queue.push(entry);
  }

  function pump(pool: string): void {
    const state = getPool(pool);
    for (const entry of listInTurn(state)) {
      if (!entries.has(entry.request)) continue;
      if (tryPlace(state, entry.request)) {
        withdraw(entry.request);
        continue;
      }
      // Others may have room only for a request that excludes endpoints of its own.
      if (entry.request.excluded.size === 0) return;
    }
  }

  /** Waiting requests as they are placed: those whose turn it is first, the others by the order. */
  function listInTurn(state: PoolState): Entry[] {
    const waiting = [...state.queue];
    const [first] = waiting;
    const inTurn = waiting.find((entry) => isAlike(entry, first) && isItsTurn(state, entry));
    return inTurn === undefined ? waiting : [inTurn, ...waiting];
  }

  function isItsTurn({ shares, placedCount }: PoolState, { isShort, request }: Entry): boolean {
    return (isShort && placedCount % SHORT_TURN === 0) || shares.isUnderserved(request.route);
  }

  /** Whether two requests differ in nothing but their routes' rank and their sizes. */
  function isAlike(entry: Entry, other: Entry | undefined): boolean {
    return entry.request.teamRank === other?.request.teamRank;
  }

  function tryChoose(request: PlacementRequest): Endpoint | undefined {
    const candidates: Candidate<Endpoint>[] = [];
    const isEngine = host.isEngine(request.pool);
    const { gatewayCount } = book;
    for (const endpoint of book.listUsable(request.pool, request.isRetryable)) {
      if (request.excluded.has(endpoint.announcement.endpointId)) continue;
      const occupancy = book.getOccupancy(endpoint);
      const slots = endpoint.announcement.slots + (isEngine ? 0 : SERVICE_QUEUE);
      if (isEngine && !endpoint.slotLimiter.canPlace(slots - occupancy, slots, gatewayCount))
        continue;
      candidates.push({
        endpoint,
        occupancy,
        slots,
        chunkIntervalMs: endpoint.speed.chunkIntervalMs,
        unreadTokens: book.getUnreadTokens(endpoint),
        promptTokenMs: endpoint.speed.promptTokenMs,
      });
    }
    return tryChooseEndpoint(candidates, request, host.random);
  }

  function tryPlace(state: PoolState, request: PlacementRequest): boolean {
    const endpoint = tryChoose(request);
    if (endpoint === undefined) return false;
    notePlaced(state, request);
    if (endpoint.running === 0) endpoint.lastActivityAt = host.now();
    endpoint.running += 1;
    endpoint.slotLimiter.recordPlacement();
    // The caller's next step may release the place, which must not happen within this loop.
    queueMicrotask(() => request.onPlaced(endpoint));
    return true;
  }

  function notePlaced(state: PoolState, request: PlacementRequest): void {
    const now = host.now();
    state.shares.recordPlacement(request.route);
    state.placedAt.push(now);
    state.placedCount += 1;
    forgetOld(state, now);
  }

  function forgetOld(state: PoolState, now: number): void {
    const first = state.placedAt.findIndex((at) => at >= now - RATE_WINDOW_MS);
    state.placedAt.splice(0, first < 0 ? state.placedAt.length : first);
  }

  /** Time until a request would get a place, from the rate at which places have become free. */
  function estimateWaitMs(state: PoolState, entry: Entry): number {
    forgetOld(state, host.now());
    const rate = getRate(state);
    let shorts = 1;
    let ofRoute = 1;
    for (const other of state.queue) {
      if (!isAlike(other, entry) || other.arrivedAt > entry.arrivedAt) continue;
      if (other.isShort) shorts += 1;
      if (other.request.route === entry.request.route) ofRoute += 1;
    }
    const byOrder = (state.queue.countAhead(entry) + 1) / rate;
    const byFloor = ofRoute / state.shares.getMinRate(entry.request.route);
    const byTurn = entry.isShort ? (shorts * SHORT_TURN) / rate : byOrder;
    return Math.min(byOrder, byFloor, byTurn);
  }

  /** Placements a millisecond. */
  function getRate({ placedAt }: PoolState): number {
    return Math.max(placedAt.length, 1) / RATE_WINDOW_MS;
  }

  /** Callers return one after the other, so that they find room among those that come new. */
  function getRetryAfterMs(state: PoolState, waitMs: number): number {
    const now = host.now();
    const earliest = Math.max(now + Math.max(MIN_RETRY_AFTER_MS, waitMs), state.nextReturnAt);
    const returnAt = Math.min(earliest, now + RETURN_HORIZON_MS);
    state.nextReturnAt = returnAt + 1 / (RETURN_SHARE * getRate(state));
    return (returnAt - now) * (0.9 + host.random() / 5);
  }

  function getPool(pool: string): PoolState {
    const known = pools.get(pool);
    if (known !== undefined) return known;
    const created: PoolState = {
      queue: createWaitingQueue<Entry>(),
      placedAt: [],
      placedCount: 0,
      shares: createRouteFairness(host.now),
      nextReturnAt: 0,
    };
    pools.set(pool, created);
    return created;
  }
}
