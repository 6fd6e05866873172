/**
 * Requests wait here, in order, until an endpoint has room; little waits inside endpoints, which
 * know no priorities. A request that can no longer meet its objective yields to those that can.
 * One that would wait too long even so is refused at once, the least urgent first.
 */

import type { Endpoint, EndpointBook } from './endpointBook.js';
import { tryChooseEndpoint, type Candidate } from './placement.js';
import { getRank } from './urgency.js';
import { createWaitingQueue, type Waiting, type WaitingQueue } from './waitingQueue.js';

const REVIEW_MS = 50;
/** Time over which the rate of placements is measured. */
const RATE_WINDOW_MS = 2_000;
/** Requests beyond its slots that a plain service may hold, since its work is short. */
const SERVICE_QUEUE = 6;
const MIN_RETRY_AFTER_MS = 250;
/** Requests that would wait longer are refused, so that the queue holds what can soon be served. */
const MAX_WAIT_MS = 1_200;
/** Work against the pool's mean below which a request counts as short. */
const SHORT_WORK = 0.4;

/** A request that asks for a place. */
export interface PlaceRequest {
  pool: string;
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
  onTimeMs: number;
  /** Longest time that it may wait, in milliseconds; refused at once when it would be longer. */
  patienceMs: number;
  /** Whether it may be sent again when an endpoint breaks off. */
  mayRepeat: boolean;
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
  book: EndpointBook;
  isEngine(pool: string): boolean;
}

/** Places requests at endpoints. */
export interface Scheduler {
  submit(request: PlaceRequest): void;
  /** Whether a request would get a place at once. */
  hasPlace(request: PlaceRequest): boolean;
  /** Gives up a request that may still wait. */
  withdraw(request: PlaceRequest): void;
  /** Tells that a place has become free. */
  release(pool: string): void;
  /** Looks at everything again after a change of the endpoints. */
  review(): void;
  readonly waitingCount: number;
  close(): void;
}

interface Entry extends Waiting {
  request: PlaceRequest;
  /** When it no longer meets its objective; undefined once that is so. */
  lateAt: number | undefined;
  giveUpAt: number;
}

interface PoolState {
  queue: WaitingQueue<Entry>;
  /** Times of the last placements. */
  placedAt: number[];
}

/** Creates a scheduler. */
export function createScheduler(host: SchedulerHost): Scheduler {
  const { book } = host;
  const pools = new Map<string, PoolState>();
  const entries = new Map<PlaceRequest, Entry>();
  const timer = setInterval(review, REVIEW_MS);

  return {
    submit,
    hasPlace: (request) => tryChoose(request) !== undefined,
    withdraw,
    release: (pool) => pump(pool),
    review,
    get waitingCount() {
      return entries.size;
    },
    close: () => clearInterval(timer),
  };

  function submit(request: PlaceRequest): void {
    const state = getPool(request.pool);
    const now = host.now();
    const isLate = request.onTimeMs <= 0;
    const waiting = { rank: rankOf(request, isLate), arrivedAt: request.arrivedAt };
    if (state.queue.countBefore(waiting) === 0 && tryPlace(state, request)) return;
    const waitMs = estimateWaitMs(state, waiting);
    const longestMs = Math.min(request.patienceMs, MAX_WAIT_MS);
    if (waitMs > longestMs && !request.wasInterrupted) {
      request.onRefused('overload', getRetryAfterMs(waitMs));
      return;
    }
    const lateAt = isLate ? undefined : now + request.onTimeMs;
    const entry: Entry = { ...waiting, request, lateAt, giveUpAt: now + request.patienceMs };
    entries.set(request, entry);
    state.queue.push(entry);
  }

  function rankOf(request: PlaceRequest, isLate: boolean): number {
    const { teamRank, routeRank, wasInterrupted } = request;
    const isShort = request.relativeWork < SHORT_WORK;
    return getRank({ teamRank, routeRank, isLate, isShort, wasInterrupted });
  }

  function withdraw(request: PlaceRequest): void {
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
      request.onRefused('overload', getRetryAfterMs(estimateWaitMs(state, entry)));
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
    for (const entry of state.queue) {
      if (tryPlace(state, entry.request)) {
        withdraw(entry.request);
        continue;
      }
      // Others may have room only for a request that excludes endpoints of its own.
      if (entry.request.excluded.size === 0) return;
    }
  }

  function tryChoose(request: PlaceRequest): Endpoint | undefined {
    const candidates: Candidate<Endpoint>[] = [];
    const isEngine = host.isEngine(request.pool);
    const { gatewayCount } = book;
    for (const endpoint of book.listUsable(request.pool, request.mayRepeat)) {
      if (request.excluded.has(endpoint.announcement.endpointId)) continue;
      const occupancy = book.getOccupancy(endpoint);
      const slots = endpoint.announcement.slots + (isEngine ? 0 : SERVICE_QUEUE);
      if (isEngine && !endpoint.claims.mayPlace(slots - occupancy, gatewayCount)) continue;
      candidates.push({
        endpoint,
        occupancy,
        slots,
        pauseMs: endpoint.pace.pauseMs,
        unreadTokens: book.getUnreadTokens(endpoint),
        promptTokenMs: endpoint.pace.promptTokenMs,
      });
    }
    return tryChooseEndpoint(candidates, request, host.random);
  }

  function tryPlace(state: PoolState, request: PlaceRequest): boolean {
    const endpoint = tryChoose(request);
    if (endpoint === undefined) return false;
    notePlaced(state);
    if (endpoint.running === 0) endpoint.heardAt = host.now();
    endpoint.running += 1;
    endpoint.claims.notePlaced();
    // The caller's next step may release the place, which must not happen within this loop.
    queueMicrotask(() => request.onPlaced(endpoint));
    return true;
  }

  function notePlaced(state: PoolState): void {
    const now = host.now();
    state.placedAt.push(now);
    forgetOld(state, now);
  }

  function forgetOld(state: PoolState, now: number): void {
    const first = state.placedAt.findIndex((at) => at >= now - RATE_WINDOW_MS);
    state.placedAt.splice(0, first < 0 ? state.placedAt.length : first);
  }

  /** Time until a request would get a place, from the rate at which places have become free. */
  function estimateWaitMs(state: PoolState, waiting: Waiting): number {
    forgetOld(state, host.now());
    const before = state.queue.countBefore(waiting) + 1;
    const rate = Math.max(state.placedAt.length, 1) / RATE_WINDOW_MS;
    return before / rate;
  }

  function getRetryAfterMs(waitMs: number): number {
    // Spread, so that those who were refused together do not return together.
    return Math.max(MIN_RETRY_AFTER_MS, waitMs) * (0.75 + host.random() / 2);
  }

  function getPool(pool: string): PoolState {
    const known = pools.get(pool);
    if (known !== undefined) return known;
    const created = { queue: createWaitingQueue<Entry>(), placedAt: [] };
    pools.set(pool, created);
    return created;
  }
}
