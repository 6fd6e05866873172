/**
 * Requests wait here, in order, until an endpoint has room; little waits inside endpoints, which
 * know no priorities. A request that would wait too long is refused at once, the least urgent first.
 */

import type { Endpoint, EndpointBook } from './endpointBook.js';
import { tryChooseEndpoint, type Candidate } from './placement.js';
import { createWaitingQueue, type Waiting, type WaitingQueue } from './waitingQueue.js';

const REVIEW_MS = 50;
/** Time over which the rate of placements is measured. */
const RATE_WINDOW_MS = 2_000;
/** Requests beyond its slots that a plain service may hold, since its work is short. */
const SERVICE_QUEUE = 6;
const MIN_RETRY_AFTER_MS = 250;

/** A request that asks for a place. */
export interface PlaceRequest extends Waiting {
  pool: string;
  /** Longest time that it may wait, in milliseconds; refused at once when it would be longer. */
  patienceMs: number;
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
    if (state.queue.countBefore(request.rank) === 0 && tryPlace(state, request)) return;
    const waitMs = estimateWaitMs(state, request);
    if (waitMs > request.patienceMs) {
      request.onRefused('overload', getRetryAfterMs(waitMs));
      return;
    }
    const giveUpAt = host.now() + request.patienceMs;
    const entry: Entry = { rank: request.rank, request, giveUpAt };
    entries.set(request, entry);
    state.queue.push(entry);
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
      for (const entry of state.queue) {
        if (entry.giveUpAt > now) continue;
        withdraw(entry.request);
        const waitMs = estimateWaitMs(state, entry.request);
        entry.request.onRefused('overload', getRetryAfterMs(waitMs));
      }
    }
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

  function tryPlace(state: PoolState, request: PlaceRequest): boolean {
    const candidates: Candidate[] = [];
    for (const endpoint of book.listUsable(request.pool)) {
      if (request.excluded.has(endpoint.announcement.endpointId)) continue;
      candidates.push({
        endpoint,
        occupancy: book.getOccupancy(endpoint),
        slots: getSlots(endpoint),
      });
    }
    const endpoint = tryChooseEndpoint(candidates, host.random);
    if (endpoint === undefined) return false;
    notePlaced(state);
    endpoint.running += 1;
    // The caller's next step may release the place, which must not happen within this loop.
    queueMicrotask(() => request.onPlaced(endpoint));
    return true;
  }

  function getSlots(endpoint: Endpoint): number {
    const { slots, pool } = endpoint.announcement;
    return host.isEngine(pool) ? slots : slots + SERVICE_QUEUE;
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
  function estimateWaitMs(state: PoolState, request: PlaceRequest): number {
    forgetOld(state, host.now());
    const before = state.queue.countBefore(request.rank) + 1;
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
