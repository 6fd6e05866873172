/**
 * Starts requests that have been read, for a short time in each turn of the event loop. It answers one
 * load: more requests than the processor can pass on. A process accepts one connection in a turn, and a
 * request takes several turns, so turns in which all waiting requests are started would keep callers
 * unheard and every response late. What is not started soon is refused while its caller still waits.
 */

import { getQueueRank } from './queueRank.js';
import type { LocalReply } from './responseWriter.js';
import { createWaitingQueue, type QueueItem } from './waitingQueue.js';

/** Time after which no more requests are started in a turn. */
const MAX_TURN_MS = 5;
/** Longest time for which a request waits. */
const MAX_WAIT_MS = 400;
/** Number of starts of which one goes to any request, urgent or not. */
const FAIR_PERIOD = 4;
/** Bounds of the time after which refused callers return, to this gateway or another one. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 1_000;

/** What decides in which order requests are started. */
export interface StartFactors {
  teamRank: number;
  routeRank: number;
  /** Whether it takes up a stream that broke off. */
  isContinued: boolean;
}

/** Dependencies of the starts. */
export interface CallStartsHost {
  now(): number;
  random(): number;
}

/** Requests that wait for their start. */
export interface CallStarts {
  readonly waitingCount: number;
  /** Resolves when the request is to be started, or to the reply with which it is refused. */
  wait(factors: StartFactors): Promise<LocalReply | undefined>;
  /** Starts all requests at once from now on, as the gateway is about to stop and refuses them itself. */
  stop(): void;
}

interface WaitingCall extends QueueItem {
  resolve(refusal?: LocalReply): void;
}

export function createCallStarts({ now, random }: CallStartsHost): CallStarts {
  const queue = createWaitingQueue<WaitingCall>();
  let startCount = 0;
  /** Whether a turn is due, or requests are being started in one. */
  let isTurnPending = false;
  let isStopped = false;

  return {
    get waitingCount() {
      return queue.size;
    },
    wait,
    stop() {
      isStopped = true;
      for (const call of queue) {
        queue.remove(call);
        call.resolve();
      }
    },
  };

  function wait({ isContinued, ...ranks }: StartFactors): Promise<LocalReply | undefined> {
    if (isStopped) return Promise.resolve(undefined);
    const kind = { isLate: false, isShort: true, wasInterrupted: isContinued };
    const rank = getQueueRank({ ...ranks, ...kind });
    return new Promise((resolve) => {
      if (!isTurnPending) setImmediate(runTurn);
      isTurnPending = true;
      queue.push({ rank, arrivedAt: now(), resolve });
    });
  }

  function runTurn(): void {
    startNext(now() + MAX_TURN_MS);
  }

  function startNext(turnEndsAt: number): void {
    const next = tryGetNext();
    if (next === undefined) {
      isTurnPending = false;
      return;
    }
    queue.remove(next);
    next.resolve();
    callAfterMicrotasks(() => {
      if (queue.size > 0 && now() < turnEndsAt) startNext(turnEndsAt);
      else endTurn();
    });
  }

  function endTurn(): void {
    refuseExpired(now() - MAX_WAIT_MS);
    isTurnPending = queue.size > 0;
    if (isTurnPending) setImmediate(runTurn);
  }

  function refuseExpired(latestArrival: number): void {
    for (const call of queue) {
      if (call.arrivedAt >= latestArrival) continue;
      queue.remove(call);
      call.resolve(createRefusal());
    }
  }

  function createRefusal(): LocalReply {
    const retryAfterMs = MIN_RETRY_AFTER_MS + (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS) * random();
    return { status: 503, reason: 'processor busy', retryAfterMs };
  }

  /**
   * Draws among the most urgent requests. In the order of arrival, callers that send the next request
   * as soon as one is answered would take each other's place, and new ones would always be refused.
   */
  function tryGetNext(): WaitingCall | undefined {
    const waiting = [...queue];
    startCount += 1;
    const isForAll = startCount % FAIR_PERIOD === 0;
    const candidates = isForAll ? waiting : waiting.filter(({ rank }) => rank === waiting[0]?.rank);
    return candidates[Math.floor(random() * candidates.length)];
  }
}

/** Calls `task` once what was resolved has run as far as it does without waiting for events. */
function callAfterMicrotasks(task: () => void): void {
  queueMicrotask(() => process.nextTick(task));
}
