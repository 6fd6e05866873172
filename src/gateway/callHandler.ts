/** Runs one admitted request: waits for a place, sends, passes the answer on, and repeats where that is allowed. */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import { createAttempt, type Attempt } from './attempt.js';
import type { ResponseWriter, LocalReply } from './responseWriter.js';
import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import { createEventSplitter } from './eventSplitter.js';
import { getCallDigest, type CrashSuspects } from './crashSuspects.js';
import type { RetryBudget } from './retryBudget.js';
import {
  decideNextStep,
  describeAttemptFailure,
  getFinalStep,
  isRetryable,
  type NextStep,
} from './retryPolicy.js';
import type { PlacementRequest, RefusalReason, Scheduler } from './scheduler.js';
import type { StallDetector } from './stallDetector.js';
import type { ResponseHead, Call, Dialect, AttemptFailure } from './types.js';

/** Larger answers are passed on as they arrive, and are not repeated once they have begun. */
const MAX_WHOLE_ANSWER_BYTES = 256 * 1024;
/** Part of the time a caller waits that a request may spend waiting for a place. */
const PATIENCE_SHARE = 0.35;
/** Callers of streams leave when nothing comes for some seconds. */
const STREAM_PATIENCE_MS = 2_000;
/** Part of an objective that may pass before a request has a place. */
const ON_TIME_SHARE = 0.6;

/** What a run needs from outside. */
export interface CallHandlerHost {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  scheduler: Scheduler;
  endpoints: EndpointTracker;
  retryBudget: RetryBudget;
  stallDetector: StallDetector;
  crashSuspects: CrashSuspects;
  /** Takes note of how the call ended. */
  onEnd(summary: CallSummary): void;
}

/** How a call ended. */
export interface CallSummary {
  call: Call;
  outcome: 'answered' | 'refused' | 'failed' | 'timedOut' | 'cancelled';
  status: number;
  reason: string;
  endpoint: string;
  attemptCount: number;
  /** Time until the first place, the first byte of an answer and the end, in milliseconds. */
  placedMs: number;
  firstMs: number;
  totalMs: number;
  /** Longest time between two pieces of a stream, in milliseconds. */
  pauseMs: number;
}

/** A running request. */
export interface CallHandler {
  /** The caller has left. */
  cancel(): void;
  /** The caller's connection takes data again. */
  resume(): void;
}

/** Starts a run. */
export function startCallHandler(
  host: CallHandlerHost,
  call: Call,
  writer: ResponseWriter,
): CallHandler {
  const { clock, logger, scheduler, endpoints: book, retryBudget: budget, dialect } = host;
  const { route, head: callHead } = call;
  const isStream = route.kind === 'stream';
  const splitter = isStream && route.isResumable ? createEventSplitter() : undefined;
  const excluded = new Set<string>();
  let isOver = false;
  let current: Attempt | undefined;
  let lastEndpoint = '';
  let sendCount = 0;
  let runCount = 0;
  let placedMs = 0;
  let firstMs = 0;
  let pauseMs = 0;
  /** When the caller last heard anything, or began to wait. */
  let callerHeardAt = call.arrivedAt;
  const place: PlacementRequest = {
    pool: call.pool,
    route: route.name,
    teamRank: call.team?.rank ?? 0,
    routeRank: route.rank,
    relativeWork: call.relativeWork,
    promptTokens: callHead.tokens?.prompt ?? 0,
    objectiveMs: route.objectiveMs,
    arrivedAt: call.arrivedAt,
    slackMs: route.objectiveMs * ON_TIME_SHARE - call.waitedMs,
    maxQueueMs: getPatienceMs(call.arrivedAt),
    isRetryable: isRetryable(route),
    wasInterrupted: false,
    excluded,
    onPlaced: send,
    onRefused: refuse,
  };
  const timer = setTimeout(timeOut, call.deadline - clock.now());
  scheduler.submit(place);

  return {
    cancel() {
      if (!isOver) finish('cancelled', 0, 'the caller has left');
    },
    resume: () => current?.exchange?.resume(),
  };

  /** What is left of the time for which the request may wait, however often it was sent. */
  function getPatienceMs(now: number): number {
    if (runCount > 0) return call.deadline - now;
    const patienceMs = (call.deadline - callerHeardAt) * PATIENCE_SHARE;
    const limitMs = isStream ? Math.min(patienceMs, STREAM_PATIENCE_MS) : patienceMs;
    return limitMs - (now - callerHeardAt);
  }

  function send(endpoint: Endpoint): void {
    if (isOver) {
      releasePlace(endpoint);
      return;
    }
    if (host.crashSuspects.size > 0 && host.crashSuspects.isSuspect(getCallDigest(call))) {
      releasePlace(endpoint);
      endInFailure('has crashed several endpoints');
      return;
    }
    const now = clock.now();
    if (sendCount === 0) placedMs = now - call.arrivedAt;
    sendCount += 1;
    lastEndpoint = endpoint.announcement.endpointId;
    excluded.add(lastEndpoint);
    const resumeAfter = splitter?.lastEventId;
    const started = createAttempt(endpoint, place.promptTokens, book, () => clock.now());
    current = started;
    watch(started);
    const headers = dialect.toEndpointHeaders(callHead, {
      endpointId: lastEndpoint,
      team: call.team?.name,
      remainingMs: Math.max(1, Math.floor(call.deadline - now)),
      resumeAfter: resumeAfter ?? callHead.resumeAfter,
    });
    const { method, target } = callHead;
    const isCurrent = (): boolean => current === started;
    started.exchange = endpoint.client.send(
      { method, target, headers, body: call.body },
      {
        onHead: (status, rawHeaders) => isCurrent() && handleHead(started, status, rawHeaders),
        onData: (chunk) => !isCurrent() || handleData(started, chunk),
        onEnd: () => isCurrent() && handleEnd(started),
        onFailure: (wasSent, reason) => isCurrent() && handleBroken(started, wasSent, reason),
      },
    );
  }

  function watch(active: Attempt): void {
    active.watched = {
      route,
      sentAt: active.sentAt,
      getLastChunkAt: () => active.lastByteAt,
      getEndpointActivityAt: () => active.endpoint.lastActivityAt,
      onStalled: (reason) => leaveStalled(active, reason),
    };
    host.stallDetector.add(active.watched);
  }

  /** Gives up a send that hangs for another one; where there is none it may still go on. */
  function leaveStalled(active: Attempt, reason: string): void {
    if (!scheduler.canPlace(place)) {
      watch(active);
      return;
    }
    const failure: AttemptFailure = { kind: 'unknown', reason };
    const step = decide(failure, runCount + 1);
    if (step.kind === 'sendAgain') failSend(active, failure, step);
  }

  function handleHead(active: Attempt, status: number, rawHeaders: readonly Buffer[]): void {
    const head = dialect.parseResponse(status, rawHeaders);
    const { endpoint } = active;
    endpoint.lastActivityAt = clock.now();
    if (head.load !== undefined) book.recordLoad(endpoint, head.load);
    active.head = head;
    if (head.isNotRun) {
      failSend(active, { kind: 'notRun', status });
      return;
    }
    if (head.callId !== callHead.id) {
      failSend(active, { kind: 'unknown', reason: 'the answer belongs to another request' });
      return;
    }
    if (!head.isSigned) {
      failSend(active, { kind: 'unknown', reason: `answer ${status} without a signature` });
    }
  }

  function handleData(active: Attempt, chunk: Buffer): boolean {
    const { head } = active;
    pauseMs = Math.max(pauseMs, active.recordBytes());
    if (head === undefined) return true;
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isStream && isSuccess) return passOn(active, head, chunk);
    active.buffer(chunk);
    if (active.bufferedBytes <= MAX_WHOLE_ANSWER_BYTES) return true;
    if (!writer.hasStarted) beginAnswer(head);
    return writer.write(active.takeBuffered());
  }

  function passOn(active: Attempt, head: ResponseHead, chunk: Buffer): boolean {
    active.recordChunk();
    const bytes = splitter === undefined ? chunk : splitter.push(chunk);
    if (bytes === undefined) return true;
    if (!writer.hasStarted) beginAnswer(head);
    callerHeardAt = clock.now();
    return writer.write(bytes);
  }

  function beginAnswer(head: ResponseHead): void {
    firstMs = clock.now() - call.arrivedAt;
    writer.start(head);
  }

  function handleEnd(active: Attempt): void {
    const { head } = active;
    if (head === undefined) {
      failSend(active, { kind: 'unknown', reason: 'ended without an answer' });
      return;
    }
    if (splitter?.hasPartialEvent) {
      failSend(active, { kind: 'unknown', reason: 'ended within an event' });
      return;
    }
    const isFailure = head.status >= 500;
    if (isFailure && shouldRepeat(active, head)) return;
    if (isFailure) active.endpoint.health.recordErrorResponse(clock.now());
    else active.endpoint.health.recordSuccess();
    active.recordEnd();
    if (writer.hasStarted && head.status >= 300) {
      // A continuation was answered with a failure: what the caller has is not whole.
      abandon(active, 'failed', 0, `continuation answered ${head.status}`);
      return;
    }
    runCount += 1;
    endSend(active);
    const rest = active.takeBuffered();
    if (writer.hasStarted) {
      if (rest.length > 0) writer.write(rest);
      writer.end();
    } else {
      firstMs = clock.now() - call.arrivedAt;
      writer.writeComplete(head, rest);
    }
    finish('answered', head.status, '');
  }

  /** Whether an endpoint's own failure is answered by sending again. */
  function shouldRepeat(active: Attempt, head: ResponseHead): boolean {
    const failure: AttemptFailure = { kind: 'failed', status: head.status };
    const step = decide(failure, runCount + 1);
    if (step.kind !== 'sendAgain') return false;
    failSend(active, failure, step);
    return true;
  }

  function handleBroken(active: Attempt, wasSent: boolean, reason: string): void {
    if (!wasSent) {
      failSend(active, { kind: 'notSent', reason });
      return;
    }
    const { crashSuspects: suspects } = host;
    const digest = getCallDigest(call);
    void active.endpoint.client.isReachable().then((isReachable) => {
      if (!isReachable) suspects.recordCrash(digest);
    });
    failSend(active, { kind: 'unknown', reason });
  }

  function failSend(active: Attempt, failure: AttemptFailure, decided?: NextStep): void {
    noteFailure(active.endpoint, failure);
    active.exchange?.abort();
    endSend(active);
    splitter?.dropPartialEvent();
    if (failure.kind === 'unknown' || failure.kind === 'failed') runCount += 1;
    const step = decided ?? decide(failure, runCount);
    const { endpointId } = active.endpoint.announcement;
    logger.event('sendFailed', {
      request: callHead.id,
      endpoint: endpointId,
      failure: describeAttemptFailure(failure),
      next: step.kind,
      sends: sendCount,
    });
    if (step.kind === 'sendAgain') sendAgain();
    else if (step.kind === 'refuse') refuse('noEndpoint', 0);
    else endInFailure(describeAttemptFailure(failure));
  }

  /** The step after a failure, with what the shared budget allows. */
  function decide(failure: AttemptFailure, runs: number): NextStep {
    const remainingMs = call.deadline - clock.now();
    const { hasStarted: hasBegun } = writer;
    const facts = {
      failure,
      route,
      runCount: runs,
      attemptCount: sendCount,
      remainingMs,
      hasStarted: hasBegun,
    };
    const step = decideNextStep(facts);
    if (step.kind !== 'sendAgain' || !step.needsBudget) return step;
    if (budget.tryConsume(call.pool)) return step;
    return getFinalStep(facts);
  }

  function sendAgain(): void {
    const now = clock.now();
    place.wasInterrupted = runCount > 0;
    place.maxQueueMs = getPatienceMs(now);
    place.slackMs = route.objectiveMs * ON_TIME_SHARE - call.waitedMs - (now - call.arrivedAt);
    scheduler.submit(place);
  }

  function noteFailure({ health }: Endpoint, failure: AttemptFailure): void {
    const now = clock.now();
    if (failure.kind === 'notSent') health.recordUnreachable(now);
    else if (failure.kind === 'unknown') health.recordBrokenResponse(now);
    else if (failure.kind === 'failed') health.recordErrorResponse(now);
  }

  function refuse(reason: RefusalReason, retryAfterMs: number): void {
    if (runCount > 0) {
      endInFailure(reason);
      return;
    }
    const remainingMs = call.deadline - clock.now();
    const answer: LocalReply = {
      status: 503,
      reason,
      retryAfterMs: Math.min(retryAfterMs, remainingMs / 3),
    };
    writer.writeLocalReply(answer);
    finish('refused', answer.status, reason);
  }

  function endInFailure(reason: string): void {
    if (writer.hasStarted) writer.destroy();
    else writer.writeLocalReply({ status: 502, reason: 'the outcome of the request is not known' });
    finish('failed', 502, reason);
  }

  function abandon(
    active: Attempt,
    outcome: CallSummary['outcome'],
    status: number,
    reason: string,
  ): void {
    endSend(active);
    writer.destroy();
    finish(outcome, status, reason);
  }

  function timeOut(): void {
    if (isOver) return;
    if (writer.hasStarted) writer.destroy();
    else writer.writeLocalReply({ status: 504, reason: 'no answer in time' });
    finish('timedOut', 504, current === undefined ? 'no place' : 'no answer');
  }

  function endSend(active: Attempt): void {
    if (current !== active) return;
    current = undefined;
    active.close();
    if (active.watched !== undefined) host.stallDetector.remove(active.watched);
    releasePlace(active.endpoint);
  }

  function releasePlace(endpoint: Endpoint): void {
    endpoint.running -= 1;
    endpoint.slotLimiter.recordRelease();
    scheduler.release(call.pool);
  }

  function finish(outcome: CallSummary['outcome'], status: number, reason: string): void {
    isOver = true;
    clearTimeout(timer);
    scheduler.withdraw(place);
    if (current !== undefined) {
      current.exchange?.abort();
      endSend(current);
    }
    const totalMs = clock.now() - call.arrivedAt;
    host.onEnd({
      call,
      outcome,
      status,
      reason,
      endpoint: lastEndpoint,
      attemptCount: sendCount,
      placedMs,
      firstMs,
      totalMs,
      pauseMs,
    });
  }
}
