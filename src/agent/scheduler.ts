/**
 * Decides which reservation gets the endpoint's room next. Reservations wait in a p-queue; a task
 * of the queue spans the time from the grant until the request has ended.
 */

import { randomUUID } from 'node:crypto';
import PQueue from 'p-queue';
import { createFinished } from './finished.js';
import type { Scheduler, SchedulerHost } from './schedulerTypes.js';
import { delay } from '../common/delay.js';
import type { Dispatch, Reserve } from '../generated/dispatch.js';
import { createAnswerStream, type AnswerStream } from './answerStream.js';
import { createFloor } from './floor.js';
import { createGrantLedger } from './grantLedger.js';
import { createJob } from './job.js';
import { chooseVictims, getWaste, isUrgent } from './preemption.js';
import { awaitsPrefix } from './prefixHold.js';
import { createReservationQueue, type JobOptions } from './reservationQueue.js';
import { runJob } from './runner.js';
import type { AgentFrameBody, Job, RunOutcome, RunStart, StopReason } from './types.js';

/** A grant that was not used by then is void; milliseconds. */
const GRANT_VALID_MS = 1_500;
/** How long an answer is kept for an entry that lost its connection; milliseconds. */
const ATTACH_MS = 15_000;
const SWEEP_MS = 50;
/** Waiting reservations of all entries; beyond it entries have to try again. */
const MAX_WAITING = 4_000;

interface Run {
  job: Job;
  stream: AnswerStream;
  abort: AbortController;
}

/** Creates a scheduler in which nothing waits. */
export function createScheduler(host: SchedulerHost): Scheduler {
  const { clock, capacity: room, speedEstimator: gauge, frames } = host;
  const jobs = new Map<string, Job>();
  const runs = new Map<string, Run>();
  const endings = new Map<Job, () => void>();
  const floor = createFloor(clock);
  const grants = createGrantLedger();
  let isDraining = false;
  const { queueClass, waiting } = createReservationQueue({
    clock,
    room,
    fairness: host.fairness,
    gauge,
    isHeld: () => isDraining || !host.hasLease() || !host.isEndpointReady(),
    awaitsPrefix: (job) =>
      !host.disabledMechanisms.has('prefixHold') && awaitsPrefix(job, room, gauge, clock),
  });
  const queue = new PQueue<InstanceType<typeof queueClass>, JobOptions>({
    concurrency: host.slots,
    queueClass,
  });
  const timer = setInterval(sweep, SWEEP_MS);

  return {
    get running() {
      return room.running;
    },
    get waiting() {
      return waiting.list().length;
    },
    reserve,
    withdraw,
    dispatch,
    reportStatus,
    cancel: (requestId) => stopRun(requestId, 'callerLeft'),
    credit: (requestId, bytes) => runs.get(requestId)?.stream.credit(bytes),
    attach,
    raiseFloor,
    setDraining,
    detachEntry,
    releaseEntry,
    stopSuspectRuns: stopSuspects,
    abortRuns: giveUpRuns,
    reevaluateQueue: kick,
    listRunning: () => room.list(),
    waitUntilDrained: drained,
    stop: () => clearInterval(timer),
  };

  function reserve(entryKey: string, requestId: string, request: Reserve): void {
    const refusal = findRefusal(requestId, request);
    if (refusal !== undefined) {
      frames.send(entryKey, requestId, { $case: 'refused', value: { reason: refusal } });
      return;
    }
    const job = createJob(entryKey, requestId, request, clock.now());
    jobs.set(requestId, job);
    void queue.add(() => grant(job), { job });
    preemptFor(waiting.tryGetHead());
  }

  function findRefusal(requestId: string, request: Reserve): string | undefined {
    if (isDraining) return 'draining';
    if (jobs.has(requestId)) return 'known';
    if (floor.isBelow(request.tierRank)) return 'below_floor';
    if (waiting.list().length >= MAX_WAITING) return 'queue_full';
    return undefined;
  }

  /** Issues a grant; resolves when the request has ended or the grant was not used. */
  function grant(job: Job): Promise<void> {
    room.take(job);
    job.state = 'granted';
    job.grantId = randomUUID();
    job.grantedAt = clock.now();
    job.span.grantedUs = host.wallTimeUs();
    const value = { grantId: job.grantId, incarnation: host.incarnation, validMs: GRANT_VALID_MS };
    frames.send(job.entryKey, job.requestId, { $case: 'granted', value });
    return new Promise((resolve) => {
      endings.set(job, resolve);
    });
  }

  function dispatch(entryKey: string, requestId: string, request: Dispatch): void {
    const job = jobs.get(requestId);
    const isOwnGrant = job?.grantId === request.grantId && request.incarnation === host.incarnation;
    if (job === undefined || job.state !== 'granted' || !isOwnGrant) {
      refuseDispatch(entryKey, requestId, request.grantId);
      return;
    }
    if (!mayStart(job, request)) {
      const outcome: RunOutcome = { kind: 'notRun', reason: 'the agent takes no new work now' };
      sendFinished(job, outcome, (body) => frames.send(job.entryKey, requestId, body), 0);
      endJob(job);
      return;
    }
    start(job, { kind: 'dispatch', dispatch: request });
  }

  function mayStart(job: Job, request: Dispatch): boolean {
    // An entry that decided by an older configuration decides again.
    if (!host.hasLease() || request.revision < host.getConfigRevision()) return false;
    return host.isEndpointReady() && !floor.isBelow(job.tierRank);
  }

  /** A void grant is answered; anything else is a duplicate of what has started and is ignored. */
  function refuseDispatch(entryKey: string, requestId: string, grantId: string): void {
    if (grants.tryGet(grantId) !== 'voided') return;
    const job = createJob(entryKey, requestId, undefined, clock.now());
    const outcome: RunOutcome = { kind: 'notRun', reason: 'the grant is void' };
    sendFinished(job, outcome, (body) => frames.send(entryKey, requestId, body), 0);
  }

  function start(job: Job, runStart: RunStart): void {
    grants.note(job.grantId, 'started');
    job.state = 'running';
    job.dispatchedAt = clock.now();
    job.span.dispatchedUs = host.wallTimeUs();
    job.cachedTokens = host.prefixCache.guessCached(job);
    host.prefixCache.note(job);
    const offset = runStart.kind === 'resume' ? runStart.offset : 0;
    const send = (body: AgentFrameBody) => frames.send(job.entryKey, job.requestId, body);
    const stream = createAnswerStream(send, offset);
    const run: Run = { job, stream, abort: new AbortController() };
    runs.set(job.requestId, run);
    runJob({ ...host, onFirstByte: kick }, job, runStart, stream, run.abort.signal)
      .then((outcome) => finish(run, outcome))
      .catch((caught: Error) => finish(run, { kind: 'cut', reason: caught.message }));
  }

  async function finish(run: Run, outcome: RunOutcome): Promise<void> {
    const { job, stream } = run;
    job.span.endedUs = host.wallTimeUs();
    if (outcome.kind === 'complete') gauge.noteEnd(job, clock.now());
    // The caller may send the request again, so a crash is made known before it is told.
    if (outcome.kind === 'cut') await host.onRunFailed(job, true);
    if (outcome.kind === 'notRun') await host.onRunFailed(job, false);
    sendFinished(job, outcome, (body) => stream.finish(body), stream.length);
    endJob(job);
    setTimeout(() => forgetRun(run), ATTACH_MS).unref();
  }

  /** A request that did not run may have been granted again here in the meantime. */
  function forgetRun(run: Run): void {
    const { requestId } = run.job;
    if (runs.get(requestId) === run) runs.delete(requestId);
  }

  function sendFinished(
    job: Job,
    outcome: RunOutcome,
    send: (body: AgentFrameBody) => void,
    length: number,
  ): void {
    const wasted = getWaste(job, host.speeds, clock.now());
    send({ $case: 'finished', value: createFinished(job, outcome, length, wasted) });
  }

  function endJob(job: Job): void {
    if (job.state === 'granted') grants.note(job.grantId, 'voided');
    job.state = 'ended';
    jobs.delete(job.requestId);
    room.free(job);
    endings.get(job)?.();
    endings.delete(job);
  }

  function withdraw(requestId: string): void {
    const job = jobs.get(requestId);
    if (job === undefined || job.state === 'running') return;
    waiting.remove(job);
    endJob(job);
  }

  function reportStatus(entryKey: string, requestId: string, grantId: string): void {
    const isStarted = grants.tryGet(grantId) === 'started';
    const outcome = isStarted ? 'started' : 'voided';
    if (!isStarted) {
      withdraw(requestId);
      grants.note(grantId, 'voided');
    }
    frames.send(entryKey, requestId, { $case: 'statusReport', value: { outcome } });
  }

  function stopRun(requestId: string, reason: StopReason): void {
    const run = runs.get(requestId);
    if (run === undefined) {
      withdraw(requestId);
      return;
    }
    if (run.job.state !== 'running' || run.job.stopReason !== undefined) return;
    // A call that may not be repeated runs to its end, so that its outcome is known.
    if (!run.job.idempotent) return;
    run.job.stopReason = reason;
    run.stream.abandon();
    run.abort.abort();
  }

  function attach(
    entryKey: string,
    requestId: string,
    offset: number,
    reservation: Reserve | undefined,
  ): void {
    const run = runs.get(requestId);
    if (run !== undefined) {
      if (!run.stream.attach(offset)) sendLost(entryKey, requestId);
      return;
    }
    if (!host.isEngine) {
      sendLost(entryKey, requestId);
      return;
    }
    // Dispatched by an earlier incarnation: the engine still has the stream.
    const job = createJob(entryKey, requestId, reservation, clock.now());
    jobs.set(requestId, job);
    room.take(job);
    start(job, { kind: 'resume', offset });
  }

  function sendLost(entryKey: string, requestId: string): void {
    const job = createJob(entryKey, requestId, undefined, clock.now());
    const outcome: RunOutcome = { kind: 'cut', reason: 'the answer is no longer kept' };
    sendFinished(job, outcome, (body) => frames.send(entryKey, requestId, body), 0);
  }

  function raiseFloor(tierRank: number, validMs: number): number {
    floor.raise(tierRank, validMs);
    for (const job of waiting.list()) {
      if (job.tierRank > tierRank) refuse(job, 'below_floor');
    }
    let below = 0;
    for (const job of room.list()) {
      if (job.tierRank <= tierRank) continue;
      if (job.state === 'granted') {
        refuse(job, 'below_floor');
        continue;
      }
      below += 1;
      preempt(job);
    }
    return below;
  }

  function refuse(job: Job, reason: string): void {
    waiting.remove(job);
    frames.send(job.entryKey, job.requestId, { $case: 'refused', value: { reason } });
    endJob(job);
  }

  function preemptFor(head: Job | undefined): void {
    if (host.disabledMechanisms.has('preemption')) return;
    if (head === undefined || room.fits(head) || !isUrgent(head, gauge, clock.now())) return;
    for (const victim of chooseVictims(head, room, host.speeds, clock.now())) preempt(victim);
  }

  function preempt(job: Job): void {
    if (!job.idempotent || job.stopReason !== undefined) return;
    const wastedTokens = Math.round(getWaste(job, host.speeds, clock.now()));
    host.logger.event('requestPreempted', {
      request: job.requestId,
      tier: job.tierRank,
      wastedTokens,
    });
    host.measures.count('agentPreemptions', 1, { tier: String(job.tierRank) });
    stopRun(job.requestId, 'preempted');
  }

  function detachEntry(entryKey: string): void {
    for (const job of waiting.list()) {
      if (job.entryKey === entryKey) withdraw(job.requestId);
    }
  }

  function releaseEntry(entryKey: string): void {
    for (const { job, stream } of runs.values()) {
      if (job.entryKey !== entryKey) continue;
      stopRun(job.requestId, 'callerLeft');
      stream.abandon();
    }
  }

  function stopSuspects(): void {
    for (const job of room.list()) {
      if (!job.alone && job.state === 'running' && host.isSuspect(job.digest)) {
        stopRun(job.requestId, 'suspect');
      }
    }
  }

  function giveUpRuns(): void {
    for (const { job, stream, abort } of runs.values()) {
      if (job.state !== 'running') continue;
      job.stopReason = 'endpointGone';
      stream.abandon();
      abort.abort();
    }
  }

  function setDraining(draining: boolean): void {
    if (draining === isDraining) return;
    isDraining = draining;
    if (!draining) {
      kick();
      return;
    }
    host.logger.event('drainBegan', { running: room.running });
    for (const job of waiting.list()) refuse(job, 'draining');
  }

  function sweep(): void {
    const now = clock.now();
    for (const job of jobs.values()) {
      if (job.state === 'granted' && now - job.grantedAt > GRANT_VALID_MS) refuse(job, 'unused');
    }
    gauge.noteRunning(room.list(), now);
    preemptFor(waiting.tryGetHead());
    kick();
  }

  /** Setting the concurrency makes p-queue look for tasks that may start. */
  function kick(): void {
    if (waiting.list().length > 0) queue.concurrency = host.slots;
  }

  async function drained(): Promise<void> {
    while (room.running > 0) {
      await delay(SWEEP_MS);
    }
    host.logger.event('drainDone', {});
  }
}
