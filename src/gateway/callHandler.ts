/** Runs one admitted request: waits for a place, sends, passes the answer on, and repeats where that is allowed. */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import { createActiveSend, type ActiveSend } from './activeSend.js';
import type { AnswerWriter, OwnAnswer } from './answerWriter.js';
import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import { createEventSplitter } from './eventSplitter.js';
import { getDigest, type CrashSuspects } from './crashSuspects.js';
import type { RetryBudget } from './retryBudget.js';
import {
  decideNextStep,
  describeSendFailure,
  giveUp,
  mayRunAgain,
  type NextStep,
} from './retryPolicy.js';
import type { PlaceRequest, RefusalReason, Scheduler } from './scheduler.js';
import type { StallDetector } from './stallDetector.js';
import type { ResponseHead, Call, Dialect, SendFailure } from './types.js';

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
export interface CallRun {
  /** The caller has left. */
  cancel(): void;
  /** The caller's connection takes data again. */
  resume(): void;
}

/** Starts a run. */
export function startCallRun(host: CallHandlerHost, call: Call, writer: AnswerWriter): CallRun {
  const { clock, logger, scheduler, endpoints: book, retryBudget: budget, dialect } = host;
  const { route, head: callHead } = call;
  const isStream = route.kind === 'stream';
  const splitter = isStream && route.isResumable ? createEventSplitter() : undefined;
  const excluded = new Set<string>();
  let isOver = false;
  let current: ActiveSend | undefined;
  let lastEndpoint = '';
  let sendCount = 0;
  let runCount = 0;
  let placedMs = 0;
  let firstMs = 0;
  let pauseMs = 0;
  /** When the caller last heard anything, or began to wait. */
  let callerHeardAt = call.arrivedAt;
  const place: PlaceRequest = {
    pool: call.pool,
    route: route.name,
    teamRank: call.team?.rank ?? 0,
    routeRank: route.rank,
    relativeWork: call.relativeWork,
    promptTokens: callHead.tokens?.prompt ?? 0,
    objectiveMs: route.objectiveMs,
    arrivedAt: call.arrivedAt,
    onTimeMs: route.objectiveMs * ON_TIME_SHARE - call.waitedMs,
    patienceMs: getPatienceMs(call.arrivedAt),
    mayRepeat: mayRunAgain(route),
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
    resume: () => current?.sending?.resume(),
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
    if (host.crashSuspects.size > 0 && host.crashSuspects.isSuspect(getDigest(call))) {
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
    const started = createActiveSend(endpoint, place.promptTokens, book, () => clock.now());
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
    started.sending = endpoint.client.send(
      { method, target, headers, body: call.body },
      {
        onHead: (status, rawHeaders) => isCurrent() && handleHead(started, status, rawHeaders),
        onData: (chunk) => !isCurrent() || handleData(started, chunk),
        onEnd: () => isCurrent() && handleEnd(started),
        onFailure: (wasSent, reason) => isCurrent() && handleBroken(started, wasSent, reason),
      },
    );
  }

  function watch(active: ActiveSend): void {
    active.watched = {
      route,
      sentAt: active.sentAt,
      getPieceAt: () => active.heardAt,
      getEndpointHeardAt: () => active.endpoint.lastActivityAt,
      onStalled: (reason) => leaveStalled(active, reason),
    };
    host.stallDetector.add(active.watched);
  }

  /** Gives up a send that hangs for another one; where there is none it may still go on. */
  function leaveStalled(active: ActiveSend, reason: string): void {
    if (!scheduler.hasPlace(place)) {
      watch(active);
      return;
    }
    const failure: SendFailure = { kind: 'unknown', reason };
    const step = decide(failure, runCount + 1);
    if (step.kind === 'sendAgain') failSend(active, failure, step);
  }

  function handleHead(active: ActiveSend, status: number, rawHeaders: readonly Buffer[]): void {
    const head = dialect.parseResponse(status, rawHeaders);
    const { endpoint } = active;
    endpoint.lastActivityAt = clock.now();
    if (head.load !== undefined) book.noteLoad(endpoint, head.load);
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

  function handleData(active: ActiveSend, chunk: Buffer): boolean {
    const { head } = active;
    pauseMs = Math.max(pauseMs, active.noteBytes());
    if (head === undefined) return true;
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isStream && isSuccess) return passOn(active, head, chunk);
    active.keep(chunk);
    if (active.keptBytes <= MAX_WHOLE_ANSWER_BYTES) return true;
    if (!writer.hasBegun) beginAnswer(head);
    return writer.write(active.takeKept());
  }

  function passOn(active: ActiveSend, head: ResponseHead, chunk: Buffer): boolean {
    active.notePiece();
    const bytes = splitter === undefined ? chunk : splitter.push(chunk);
    if (bytes === undefined) return true;
    if (!writer.hasBegun) beginAnswer(head);
    callerHeardAt = clock.now();
    return writer.write(bytes);
  }

  function beginAnswer(head: ResponseHead): void {
    firstMs = clock.now() - call.arrivedAt;
    writer.begin(head);
  }

  function handleEnd(active: ActiveSend): void {
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
    if (isFailure) active.endpoint.health.noteFailedAnswer(clock.now());
    else active.endpoint.health.noteSuccess();
    active.noteWhole();
    if (writer.hasBegun && head.status >= 300) {
      // A continuation was answered with a failure: what the caller has is not whole.
      abandon(active, 'failed', 0, `continuation answered ${head.status}`);
      return;
    }
    runCount += 1;
    endSend(active);
    const rest = active.takeKept();
    if (writer.hasBegun) {
      if (rest.length > 0) writer.write(rest);
      writer.end();
    } else {
      firstMs = clock.now() - call.arrivedAt;
      writer.writeWhole(head, rest);
    }
    finish('answered', head.status, '');
  }

  /** Whether an endpoint's own failure is answered by sending again. */
  function shouldRepeat(active: ActiveSend, head: ResponseHead): boolean {
    const failure: SendFailure = { kind: 'failed', status: head.status };
    const step = decide(failure, runCount + 1);
    if (step.kind !== 'sendAgain') return false;
    failSend(active, failure, step);
    return true;
  }

  function handleBroken(active: ActiveSend, wasSent: boolean, reason: string): void {
    if (!wasSent) {
      failSend(active, { kind: 'notSent', reason });
      return;
    }
    const { crashSuspects: suspects } = host;
    const digest = getDigest(call);
    void active.endpoint.client.isReachable().then((isReachable) => {
      if (!isReachable) suspects.note(digest);
    });
    failSend(active, { kind: 'unknown', reason });
  }

  function failSend(active: ActiveSend, failure: SendFailure, decided?: NextStep): void {
    noteFailure(active.endpoint, failure);
    active.sending?.abort();
    endSend(active);
    splitter?.dropPartialEvent();
    if (failure.kind === 'unknown' || failure.kind === 'failed') runCount += 1;
    const step = decided ?? decide(failure, runCount);
    const { endpointId } = active.endpoint.announcement;
    logger.event('sendFailed', {
      request: callHead.id,
      endpoint: endpointId,
      failure: describeSendFailure(failure),
      next: step.kind,
      sends: sendCount,
    });
    if (step.kind === 'sendAgain') sendAgain();
    else if (step.kind === 'refuse') refuse('noEndpoint', 0);
    else endInFailure(describeSendFailure(failure));
  }

  /** The step after a failure, with what the shared budget allows. */
  function decide(failure: SendFailure, runs: number): NextStep {
    const remainingMs = call.deadline - clock.now();
    const { hasBegun } = writer;
    const facts = { failure, route, runCount: runs, sendCount, remainingMs, hasBegun };
    const step = decideNextStep(facts);
    if (step.kind !== 'sendAgain' || !step.needsBudget) return step;
    if (budget.tryTake(call.pool)) return step;
    return giveUp(facts);
  }

  function sendAgain(): void {
    const now = clock.now();
    place.wasInterrupted = runCount > 0;
    place.patienceMs = getPatienceMs(now);
    place.onTimeMs = route.objectiveMs * ON_TIME_SHARE - call.waitedMs - (now - call.arrivedAt);
    scheduler.submit(place);
  }

  function noteFailure({ health }: Endpoint, failure: SendFailure): void {
    const now = clock.now();
    if (failure.kind === 'notSent') health.noteUnreachable(now);
    else if (failure.kind === 'unknown') health.noteBroken(now);
    else if (failure.kind === 'failed') health.noteFailedAnswer(now);
  }

  function refuse(reason: RefusalReason, retryAfterMs: number): void {
    if (runCount > 0) {
      endInFailure(reason);
      return;
    }
    const remainingMs = call.deadline - clock.now();
    const answer: OwnAnswer = {
      status: 503,
      reason,
      retryAfterMs: Math.min(retryAfterMs, remainingMs / 3),
    };
    writer.writeOwn(answer);
    finish('refused', answer.status, reason);
  }

  function endInFailure(reason: string): void {
    if (writer.hasBegun) writer.breakOff();
    else writer.writeOwn({ status: 502, reason: 'the outcome of the request is not known' });
    finish('failed', 502, reason);
  }

  function abandon(
    active: ActiveSend,
    outcome: CallSummary['outcome'],
    status: number,
    reason: string,
  ): void {
    endSend(active);
    writer.breakOff();
    finish(outcome, status, reason);
  }

  function timeOut(): void {
    if (isOver) return;
    if (writer.hasBegun) writer.breakOff();
    else writer.writeOwn({ status: 504, reason: 'no answer in time' });
    finish('timedOut', 504, current === undefined ? 'no place' : 'no answer');
  }

  function endSend(active: ActiveSend): void {
    if (current !== active) return;
    current = undefined;
    active.close();
    if (active.watched !== undefined) host.stallDetector.remove(active.watched);
    releasePlace(active.endpoint);
  }

  function releasePlace(endpoint: Endpoint): void {
    endpoint.running -= 1;
    endpoint.slotLimiter.noteReleased();
    scheduler.release(call.pool);
  }

  function finish(outcome: CallSummary['outcome'], status: number, reason: string): void {
    isOver = true;
    clearTimeout(timer);
    scheduler.withdraw(place);
    if (current !== undefined) {
      current.sending?.abort();
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
