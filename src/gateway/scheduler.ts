/**
 * Queues requests in priority order until an endpoint has a free slot. Requests wait here and hardly
 * at all inside the endpoints, which know no priorities. A request that can no longer meet its
 * objective yields to those that can. A request that would wait too long even so is refused at
 * once, which affects the least urgent requests first.
 */

import { createEndpointChooser } from './endpointChooser.js';
import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import type { RolloutRouting, VersionDraw } from './rolloutRouting.js';
import { createRouteFairness, type RouteFairness } from './routeFairness.js';
import { getQueueRank } from './queueRank.js';
import { createWaitingQueue, type QueueItem, type WaitingQueue } from './waitingQueue.js';

const REEVALUATION_INTERVAL_MS = 50;
/** Time window of the placement rate. */
const RATE_WINDOW_MS = 2_000;
const MIN_RETRY_AFTER_MS = 250;
/** Share of the placement rate that is reserved for callers that retry after a refusal. */
const RETURNING_SHARE = 0.1;
/** Estimated wait above which a request is refused, so that the queue holds only what is served soon. */
const MAX_WAIT_MS = 1_200;
/** Upper bound of the time after which a refused caller is told to retry. */
const MAX_RETRY_AFTER_MS = 5_000;
/** Work relative to the pool's mean below which a request counts as short. */
const SHORT_WORK = 0.4;
/**
 * Number of placements of which one goes to the first short request regardless of its route, so
 * that short requests do not starve.
 */
const SHORT_PERIOD = 3;

/** A request to be placed at an endpoint. */
export interface PlacementRequest {
  pool: string;
  route: string;
  teamRank: number;
  routeRank: number;
  /** Work relative to the mean of the pool. */
  relativeWork: number;
  promptTokens: number;
  /** Largest length of the response, in tokens. */
  outputTokens: number;
  /** Time within which the response should start, in milliseconds. */
  objectiveMs: number;
  /** Longest pause between two events of a stream that is in time, in milliseconds; 0 without one. */
  pauseObjectiveMs: number;
  /** Monotonic time at which the caller leaves, in milliseconds. */
  deadline: number;
  /** Monotonic time of the request's arrival, in milliseconds. */
  arrivedAt: number;
  /** Time for which it may wait and still meet its objective, in milliseconds. */
  slackMs: number;
  /** Time for which it may wait at all, in milliseconds; refused at once if the estimate is longer. */
  maxQueueMs: number;
  /** Whether it may be retried after it may have run at an endpoint. */
  isRetryable: boolean;
  /** Whether an endpoint failed while running it, in this request or the one that it takes up. */
  wasInterrupted: boolean;
  /** Ids of endpoints where it must not be placed. */
  excluded: ReadonlySet<string>;
  /** The only software version that may continue the stream; undefined if it has not begun. */
  softwareVersion: string | undefined;
  /** What the scheduler has drawn for it in a rollout of the pool; undefined without one. */
  versionDraw?: VersionDraw | undefined;
  onPlaced(endpoint: Endpoint): void;
  onRefused(reason: RefusalReason, retryAfterMs: number): void;
}

export type RefusalReason = 'overload' | 'noEndpoint' | 'versionGone';

/** Dependencies of the scheduler. */
export interface SchedulerHost {
  now(): number;
  random(): number;
  endpoints: EndpointTracker;
  isEngine(pool: string): boolean;
  /** All software versions are served alike without it. */
  rollouts?: Pick<RolloutRouting, 'draw' | 'mayUse' | 'recordPlacement'>;
}

/** Places requests at endpoints. */
export interface Scheduler {
  submit(request: PlacementRequest): void;
  /** Whether a request could be placed at once. */
  canPlace(request: PlacementRequest): boolean;
  /** Removes a request from the queue if it is still waiting. */
  withdraw(request: PlacementRequest): void;
  /** Signals that a slot has become free. */
  release(pool: string): void;
  /** Tries to place all waiting requests again after a change of the endpoints. */
  reevaluate(): void;
  readonly waitingCount: number;
  close(): void;
}

interface QueuedRequest extends QueueItem {
  request: PlacementRequest;
  isShort: boolean;
  /** When it can no longer meet its objective; undefined once that time has passed. */
  lateAt: number | undefined;
  expiresAt: number;
}

interface PoolState {
  queue: WaitingQueue<QueuedRequest>;
  /** Times of recent placements. */
  placedAt: number[];
  placedCount: number;
  fairness: RouteFairness;
  /** Earliest time for the retry of the next refused caller. */
  nextRetryAt: number;
}

export function createScheduler(host: SchedulerHost): Scheduler {
  const { endpoints } = host;
  const chooser = createEndpointChooser(host);
  const pools = new Map<string, PoolState>();
  const queued = new Map<PlacementRequest, QueuedRequest>();
  const timer = setInterval(reevaluate, REEVALUATION_INTERVAL_MS);

  return {
    submit,
    canPlace: (request) => chooser.tryChoose(request) !== undefined,
    withdraw,
    release: (pool) => placeWaiting(pool),
    reevaluate,
    get waitingCount() {
      return queued.size;
    },
    close: () => clearInterval(timer),
  };

  function submit(request: PlacementRequest): void {
    const state = getPool(request.pool);
    const now = host.now();
    if (!hasMatchingVersion(request)) {
      request.onRefused('versionGone', MAX_RETRY_AFTER_MS);
      return;
    }
    request.versionDraw = drawVersion(request);
    if (!request.wasInterrupted) state.fairness.recordRequest(request.route);
    const isLate = request.slackMs <= 0;
    const { arrivedAt } = request;
    const isShort = request.relativeWork < SHORT_WORK;
    const lateAt = isLate ? undefined : now + request.slackMs;
    const expiresAt = now + request.maxQueueMs;
    const rank = rankOf(request, isLate);
    const entry: QueuedRequest = { rank, arrivedAt, request, isShort, lateAt, expiresAt };
    if (isFirst(state, entry) && tryPlace(state, request)) return;
    const waitMs = estimateWaitMs(state, entry);
    const longestMs = Math.min(request.maxQueueMs, MAX_WAIT_MS);
    if (waitMs > longestMs && !request.wasInterrupted) {
      request.onRefused('overload', getRetryAfterMs(state, waitMs));
      return;
    }
    queued.set(request, entry);
    state.queue.push(entry);
  }

  function drawVersion({ pool, softwareVersion, versionDraw }: PlacementRequest) {
    return softwareVersion === undefined ? host.rollouts?.draw(pool, versionDraw) : undefined;
  }

  /** Whether no request ahead waits for the same endpoints. */
  function isFirst({ queue }: PoolState, entry: QueuedRequest): boolean {
    const ahead = queue.countAhead(entry);
    const { versionDraw } = entry.request;
    if (ahead === 0 || versionDraw === undefined) return ahead === 0;
    const others = [...queue].slice(0, ahead).map(({ request }) => request.versionDraw);
    return others.every((other) => other !== undefined && other !== versionDraw);
  }

  /** Whether any endpoint could still serve the request, now or later. */
  function hasMatchingVersion({ pool, softwareVersion }: PlacementRequest): boolean {
    return softwareVersion === undefined || endpoints.hasReady(pool, softwareVersion);
  }

  function rankOf(request: PlacementRequest, isLate: boolean): number {
    const { teamRank, routeRank, wasInterrupted, relativeWork } = request;
    const isShort = relativeWork < SHORT_WORK;
    return getQueueRank({ teamRank, routeRank, isLate, isShort, wasInterrupted });
  }

  function withdraw(request: PlacementRequest): void {
    const entry = queued.get(request);
    if (entry === undefined) return;
    queued.delete(request);
    getPool(request.pool).queue.remove(entry);
  }

  function reevaluate(): void {
    if (queued.size === 0) return;
    const now = host.now();
    for (const [pool, state] of pools) {
      placeWaiting(pool);
      for (const entry of state.queue) updateEntry(state, entry, now);
    }
  }

  /** Refuses a request whose wait time has expired, and lowers the rank of one that became late. */
  function updateEntry(state: PoolState, entry: QueuedRequest, now: number): void {
    const { request } = entry;
    if (!hasMatchingVersion(request)) {
      withdraw(request);
      request.onRefused('versionGone', MAX_RETRY_AFTER_MS);
      return;
    }
    if (entry.expiresAt <= now) {
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

  function placeWaiting(pool: string): void {
    const state = getPool(pool);
    /** Software versions without a free slot. */
    const full = new Set<string>();
    /** Draws of requests that found no free slot. */
    const fullDraws = new Set<VersionDraw>();
    for (const { request } of listInPlacementOrder(state)) {
      if (!queued.has(request)) continue;
      const { softwareVersion } = request;
      if (softwareVersion !== undefined && full.has(softwareVersion)) continue;
      // One that has waited since before the rollout is drawn now.
      request.versionDraw ??= drawVersion(request);
      const { versionDraw } = request;
      if (versionDraw !== undefined && fullDraws.has(versionDraw)) continue;
      if (tryPlace(state, request)) {
        withdraw(request);
        continue;
      }
      // Endpoints that a restricted request may not use may still have free slots for others.
      if (request.excluded.size > 0) continue;
      if (softwareVersion !== undefined) full.add(softwareVersion);
      else if (versionDraw !== undefined) fullDraws.add(versionDraw);
      else return;
    }
  }

  /** Lists the waiting requests by rank, preceded by one that the fairness rules prefer, if any. */
  function listInPlacementOrder(state: PoolState): QueuedRequest[] {
    const waiting = [...state.queue];
    const [first] = waiting;
    const preferred = waiting.find(
      (entry) => hasSameTeamRank(entry, first) && isPreferred(state, entry),
    );
    return preferred === undefined ? waiting : [preferred, ...waiting];
  }

  function isPreferred(
    { fairness, placedCount }: PoolState,
    { isShort, request }: QueuedRequest,
  ): boolean {
    return (isShort && placedCount % SHORT_PERIOD === 0) || fairness.isUnderserved(request.route);
  }

  /** Fairness applies only among requests of one team rank. */
  function hasSameTeamRank(entry: QueuedRequest, other: QueuedRequest | undefined): boolean {
    return entry.request.teamRank === other?.request.teamRank;
  }

  function tryPlace(state: PoolState, request: PlacementRequest): boolean {
    const endpoint = chooser.tryChoose(request);
    if (endpoint === undefined) return false;
    host.rollouts?.recordPlacement(request.pool, endpoint.announcement.softwareVersion);
    recordPlacement(state, request);
    if (endpoint.running === 0) endpoint.lastActivityAt = host.now();
    endpoint.running += 1;
    endpoint.slotLimiter.recordPlacement();
    endpoint.pace.recordPlacement();
    endpoint.rateLimit.recordPlacement();
    // Deferred because the callback may release the slot, which would re-enter the placement loop.
    queueMicrotask(() => request.onPlaced(endpoint));
    return true;
  }

  function recordPlacement(state: PoolState, request: PlacementRequest): void {
    const now = host.now();
    state.fairness.recordPlacement(request.route);
    state.placedAt.push(now);
    state.placedCount += 1;
    dropOldPlacements(state, now);
  }

  function dropOldPlacements(state: PoolState, now: number): void {
    const first = state.placedAt.findIndex((at) => at >= now - RATE_WINDOW_MS);
    state.placedAt.splice(0, first < 0 ? state.placedAt.length : first);
  }

  /**
   * Estimates the time until a request is placed from the recent placement rate: the shortest of
   * the waits by rank, by its route's guaranteed rate, and by the turns of short requests.
   */
  function estimateWaitMs(state: PoolState, entry: QueuedRequest): number {
    dropOldPlacements(state, host.now());
    const rate = getRate(state);
    let shortCount = 1;
    let routeCount = 1;
    for (const other of state.queue) {
      if (!hasSameTeamRank(other, entry) || other.arrivedAt > entry.arrivedAt) continue;
      if (other.isShort) shortCount += 1;
      if (other.request.route === entry.request.route) routeCount += 1;
    }
    const byRank = (state.queue.countAhead(entry) + 1) / rate;
    const byMinRate = routeCount / state.fairness.getMinRate(entry.request.route);
    const byShortTurn = entry.isShort ? (shortCount * SHORT_PERIOD) / rate : byRank;
    return Math.min(byRank, byMinRate, byShortTurn);
  }

  /** Placements per millisecond. */
  function getRate({ placedAt }: PoolState): number {
    return Math.max(placedAt.length, 1) / RATE_WINDOW_MS;
  }

  /**
   * Returns when a refused caller should retry. Retries are spaced so that they fit into the share
   * of the placement rate reserved for them beside new requests.
   */
  function getRetryAfterMs(state: PoolState, waitMs: number): number {
    const now = host.now();
    const earliest = Math.max(now + Math.max(MIN_RETRY_AFTER_MS, waitMs), state.nextRetryAt);
    const retryAt = Math.min(earliest, now + MAX_RETRY_AFTER_MS);
    state.nextRetryAt = retryAt + 1 / (RETURNING_SHARE * getRate(state));
    return (retryAt - now) * (0.9 + host.random() / 5);
  }

  function getPool(pool: string): PoolState {
    const known = pools.get(pool);
    if (known !== undefined) return known;
    const created: PoolState = {
      queue: createWaitingQueue<QueuedRequest>(),
      placedAt: [],
      placedCount: 0,
      fairness: createRouteFairness(host.now),
      nextRetryAt: 0,
    };
    pools.set(pool, created);
    return created;
  }
}
