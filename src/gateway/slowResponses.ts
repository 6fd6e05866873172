/**
 * Tells which responses are several times slower than usual, while a rollout is watched.
 *
 * The usual speed of an endpoint is the lower quartile of its own responses, as a bad version may
 * delay only a part of them, which a mean would hide. It starts from what the endpoint has shown
 * before the rollout. Endpoints of a new version have shown nothing, so they are also compared with
 * the pool's fastest responses on the route; engines of one pool differ in speed by up to five times.
 */

import type { Endpoint } from './endpointTracker.js';

/** Ratio to the usual time above which a response is slow; work on the VM can delay it as much. */
const SLOW_RATIO = 2.5;
/** Ratio of the slowest engine's time to that of the fastest one in a pool (2.8 to 0.55). */
const ENDPOINT_SPREAD = 5.1;
/** Pauses of this process, which has a quarter of a core, can delay a response by as much. */
const TOLERANCE_MS = 20;
/** Slowdown of the VM up to which a response shows the endpoint's usual speed. */
const MAX_USUAL_SLOWDOWN = 1.2;
/** Prompt tokens that an engine processes in one step; each response waits for at least one step. */
const STEP_TOKENS = 250;

/** Times and sizes of a complete response. */
export interface ResponseTiming {
  /** From the sending of the request, in milliseconds. */
  firstMs: number;
  totalMs: number;
  /** Chunks of a stream; 0 for other responses. */
  chunks: number;
  /** Prompt tokens at the endpoint when the request was sent, its own included. */
  pendingTokens: number;
  /** How long work took on the endpoint's VM, relative to its usual time; 1 if not stated. */
  slowdown: number;
  /** Speed that the endpoint had shown when the request was sent. */
  before: ShownSpeed;
  /** Whether it came so long after the objective that callers may not have waited for it. */
  wasOverdue: boolean;
}

/** Mean times at an endpoint, in milliseconds; undefined before its first stream. */
export interface ShownSpeed {
  promptTokenMs: number | undefined;
  chunkIntervalMs: number | undefined;
}

/** The request that a response is for. */
export interface TimedRequest {
  pool: string;
  route: string;
  /** In output tokens; a constant for requests that state none. */
  work: number;
}

/** Usual times of the endpoints and pools seen so far. */
export interface SlowResponses {
  /** Returns whether the response was slow by what was usual before it. */
  record(endpoint: Endpoint, request: TimedRequest, timing: ResponseTiming): boolean;
}

/** Times per unit of size, in milliseconds. */
interface UnitTimes {
  /** To the first event, per prompt token. */
  first: Quantile;
  /** Between the chunks of a stream, or of the whole response per unit of work. */
  rest: Quantile;
}

/** A running estimate of a low quantile. */
interface Quantile {
  readonly value: number | undefined;
  record(sample: number): void;
}

export function createSlowResponses(): SlowResponses {
  const byEndpoint = new WeakMap<Endpoint, Map<string, UnitTimes>>();
  const fastest = new Map<string, UnitTimes>();

  return { record };

  function record(endpoint: Endpoint, request: TimedRequest, timing: ResponseTiming): boolean {
    const { chunks, pendingTokens, slowdown } = timing;
    const isStream = chunks > 0;
    // A plain response is timed as a whole.
    const firstSize = isStream ? pendingTokens + STEP_TOKENS : 0;
    const restSize = isStream ? chunks - 1 : request.work;
    const firstMs = isStream ? timing.firstMs : 0;
    const restMs = timing.totalMs - firstMs;
    const own = getOwn(endpoint, isStream ? '' : request.route, timing.before);
    const pool = getFastest(`${request.pool} ${request.route}`);
    const usualFirstMs = getUsualMs(firstSize, own.first, pool.first);
    const usualMs = usualFirstMs + getUsualMs(restSize, own.rest, pool.rest);
    const isSlow =
      timing.wasOverdue ||
      exceeds(timing.totalMs, usualMs, slowdown) ||
      (isStream && exceeds(firstMs, usualFirstMs, slowdown));
    if (slowdown > MAX_USUAL_SLOWDOWN) return isSlow;
    for (const times of [own, pool]) {
      if (firstSize > 0) times.first.record(firstMs / firstSize);
      if (restSize > 0) times.rest.record(restMs / restSize);
    }
    return isSlow;
  }

  /** Streams of all routes have the same times per token; other responses do not. */
  function getOwn(endpoint: Endpoint, route: string, before: ShownSpeed): UnitTimes {
    let byRoute = byEndpoint.get(endpoint);
    if (byRoute === undefined) {
      byRoute = new Map();
      byEndpoint.set(endpoint, byRoute);
    }
    let times = byRoute.get(route);
    if (times === undefined) {
      const shown = route === '' ? before : undefined;
      times = {
        first: createLowerQuartile(shown?.promptTokenMs),
        rest: createLowerQuartile(shown?.chunkIntervalMs),
      };
      byRoute.set(route, times);
    }
    return times;
  }

  function getFastest(key: string): UnitTimes {
    const known = fastest.get(key);
    if (known !== undefined) return known;
    const created = { first: createLowestTenth(), rest: createLowestTenth() };
    fastest.set(key, created);
    return created;
  }
}

/** Usual time for a size; infinite while nothing is known, so that nothing is slow. */
function getUsualMs(size: number, own: Quantile, fastest: Quantile): number {
  if (size === 0) return 0;
  const byPool = ENDPOINT_SPREAD * (fastest.value ?? Number.POSITIVE_INFINITY);
  return size * Math.min(own.value ?? byPool, byPool);
}

function exceeds(observedMs: number, usualMs: number, slowdown: number): boolean {
  return observedMs > SLOW_RATIO * slowdown * usualMs + TOLERANCE_MS;
}

// The factors hold each estimate where as much falls as rises: 0.25 * 0.225 = 0.75 * 0.075, and
// 0.1 * 0.225 = 0.9 * 0.025.
const FALL = Math.exp(-0.225);

function createLowerQuartile(start: number | undefined): Quantile {
  return createQuantile(start, Math.exp(0.075));
}

function createLowestTenth(): Quantile {
  return createQuantile(undefined, Math.exp(0.025));
}

/** Multiplies the estimate by `FALL` for a sample below it and by `rise` for one above it. */
function createQuantile(start: number | undefined, rise: number): Quantile {
  let value = start;

  return {
    get value() {
      return value;
    },
    record(sample) {
      if (value === undefined) value = sample;
      else if (sample < value) value = Math.max(sample, value * FALL);
      else value = Math.min(sample, value * rise);
    },
  };
}
