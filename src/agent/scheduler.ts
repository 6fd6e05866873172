/**
 * Decides which reservation gets the endpoint's capacity next. Reservations wait in a p-queue; a
 * task of the queue lasts from the grant until the request has ended.
 */

import { randomUUID } from 'node:crypto';
import PQueue from 'p-queue';
import { createFinished } from './finished.js';
import type { Scheduler, SchedulerHost } from './schedulerTypes.js';
import { delay } from '../common/delay.js';
import type { Dispatch, Reserve } from '../generated/dispatch.js';
import { createAnswerStream, type AnswerStream } from './answerStream.js';
import { createTierFloor } from './tierFloor.js';
import { createGrantHistory } from './grantHistory.js';
import { createJob } from './job.js';
import { chooseVictims, getWastedTokens, isUrgent } from './preemption.js';
import { shouldWaitForPrefix } from './prefixHold.js';
import { createReservationQueue, type JobOptions } from './reservationQueue.js';
import { runJob } from './runner.js';
import type { AgentFrameBody, Job, RunOutcome, RunStart, StopReason } from './types.js';

/** Time within which a grant must be used before it becomes void. */
const GRANT_VALID_MS = 1_500;
/** Time that an answer is retained after its end, for an entry that has lost its connection. */
const ANSWER_RETENTION_MS = 15_000;
const SWEEP_INTERVAL_MS = 50;
/** Limit of waiting reservations over all entries; above it, entries have to retry. */
const MAX_WAITING = 4_000;

interface Run {
  job: Job;
  stream: AnswerStream;
  abort: AbortController;
}

/** Creates a scheduler without any requests. */
export function createScheduler(host: SchedulerHost): Scheduler {
  const { clock, capacity, speedEstimator: estimator, frames } = host;
  const jobs = new Map<string, Job>();
  const runs = new Map<string, Run>();
  const taskResolvers = new Map<Job, () => void>();
  const floor = createTierFloor(clock);
  const grants = createGrantHistory();
  let isDraining = false;
  const { queueClass, waiting } = createReservationQueue({
    clock,
    capacity,
    fairness: host.fairness,
    speedEstimator: estimator,
    isPaused: () => isDraining || !host.hasLease() || !host.isEndpointReady(),
    shouldWaitForPrefix: (job) =>
      !host.disabledMechanisms.has('prefixHold') &&
      shouldWaitForPrefix(job, capacity, estimator, clock),
  });
  const queue = new PQueue<InstanceType<typeof queueClass>, JobOptions>({
    concurrency: host.slots,
    queueClass,
  });
  const timer = setInterval(sweep, SWEEP_INTERVAL_MS);

  return {
    get running() {
      return capacity.running;
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
    handleEntryDisconnect,
    handleEntryExpiry,
    stopSuspectRuns,
    abortRuns,
    reevaluateQueue,
    listRunning: () => capacity.list(),
    waitUntilDrained,
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
    capacity.acquire(job);
    job.state = 'granted';
    job.grantId = randomUUID();
    job.grantedAt = clock.now();
    job.span.grantedUs = host.wallTimeUs();
    const value = { grantId: job.grantId, incarnation: host.incarnation, validMs: GRANT_VALID_MS };
    frames.send(job.entryKey, job.requestId, { $case: 'granted', value });
    return new Promise((resolve) => {
      taskResolvers.set(job, resolve);
    });
  }

  function dispatch(entryKey: string, requestId: string, request: Dispatch): void {
    const job = jobs.get(requestId);
    const isOwnGrant = job?.grantId === request.grantId && request.incarnation === host.incarnation;
    if (job === undefined || job.state !== 'granted' || !isOwnGrant) {
      refuseDispatch(entryKey, requestId, request.grantId);
      return;
    }
    if (!canStart(job, request)) {
      const outcome: RunOutcome = { kind: 'notRun', reason: 'the agent takes no new work now' };
      sendFinished(job, outcome, (body) => frames.send(job.entryKey, requestId, body), 0);
      endJob(job);
      return;
    }
    start(job, { kind: 'dispatch', dispatch: request });
  }

  function canStart(job: Job, request: Dispatch): boolean {
    // An entry that decided under an older configuration has to decide again.
    if (!host.hasLease() || request.revision < host.getConfigRevision()) return false;
    return host.isEndpointReady() && !floor.isBelow(job.tierRank);
  }

  /**
   * Answers a dispatch whose grant is void. Any other is a duplicate of a dispatch that has
   * started, and is ignored.
   */
  function refuseDispatch(entryKey: string, requestId: string, grantId: string): void {
    if (grants.tryGet(grantId) !== 'voided') return;
    const job = createJob(entryKey, requestId, undefined, clock.now());
    const outcome: RunOutcome = { kind: 'notRun', reason: 'the grant is void' };
    sendFinished(job, outcome, (body) => frames.send(entryKey, requestId, body), 0);
  }

  function start(job: Job, runStart: RunStart): void {
    grants.record(job.grantId, 'started');
    job.state = 'running';
    job.dispatchedAt = clock.now();
    job.span.dispatchedUs = host.wallTimeUs();
    job.cachedTokens = host.prefixCache.estimateCachedTokens(job);
    host.prefixCache.recordPrompt(job);
    const offset = runStart.kind === 'resume' ? runStart.offset : 0;
    const send = (body: AgentFrameBody) => frames.send(job.entryKey, job.requestId, body);
    const stream = createAnswerStream(send, offset);
    const run: Run = { job, stream, abort: new AbortController() };
    runs.set(job.requestId, run);
    runJob({ ...host, onFirstByte: reevaluateQueue }, job, runStart, stream, run.abort.signal)
      .then((outcome) => finish(run, outcome))
      .catch((caught: Error) => finish(run, { kind: 'cut', reason: caught.message }));
  }

  async function finish(run: Run, outcome: RunOutcome): Promise<void> {
    const { job, stream } = run;
    job.span.endedUs = host.wallTimeUs();
    if (outcome.kind === 'complete') estimator.recordCompletion(job, clock.now());
    // A crash is reported before the caller learns of the failure, as it may then send the request
    // again.
    if (outcome.kind === 'cut') await host.onRunFailed(job, true);
    if (outcome.kind === 'notRun') await host.onRunFailed(job, false);
    sendFinished(job, outcome, (body) => stream.finish(body), stream.length);
    endJob(job);
    setTimeout(() => removeRun(run), ANSWER_RETENTION_MS).unref();
  }

  /** Removes a run, unless a request that did not run was granted again here in the meantime. */
  function removeRun(run: Run): void {
    const { requestId } = run.job;
    if (runs.get(requestId) === run) runs.delete(requestId);
  }

  function sendFinished(
    job: Job,
    outcome: RunOutcome,
    send: (body: AgentFrameBody) => void,
    length: number,
  ): void {
    const wastedTokens = getWastedTokens(job, host.speeds, clock.now());
    send({ $case: 'finished', value: createFinished(job, outcome, length, wastedTokens) });
  }

  function endJob(job: Job): void {
    if (job.state === 'granted') grants.record(job.grantId, 'voided');
    job.state = 'ended';
    jobs.delete(job.requestId);
    capacity.release(job);
    taskResolvers.get(job)?.();
    taskResolvers.delete(job);
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
      grants.record(grantId, 'voided');
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
    // A non-idempotent call runs to its end, so that its outcome is known.
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
      if (!run.stream.attach(offset)) sendNotRetained(entryKey, requestId);
      return;
    }
    if (!host.isEngine) {
      sendNotRetained(entryKey, requestId);
      return;
    }
    // The request was dispatched by an earlier incarnation, and the engine still has its stream.
    const job = createJob(entryKey, requestId, reservation, clock.now());
    jobs.set(requestId, job);
    capacity.acquire(job);
    start(job, { kind: 'resume', offset });
  }

  function sendNotRetained(entryKey: string, requestId: string): void {
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
    for (const job of capacity.list()) {
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

  function preemptFor(job: Job | undefined): void {
    if (host.disabledMechanisms.has('preemption')) return;
    if (job === undefined || capacity.fits(job) || !isUrgent(job, estimator, clock.now())) return;
    for (const victim of chooseVictims(job, capacity, host.speeds, clock.now())) preempt(victim);
  }

  function preempt(job: Job): void {
    if (!job.idempotent || job.stopReason !== undefined) return;
    const wastedTokens = Math.round(getWastedTokens(job, host.speeds, clock.now()));
    host.logger.event('requestPreempted', {
      request: job.requestId,
      tier: job.tierRank,
      wastedTokens,
    });
    host.measures.count('agentPreemptions', 1, { tier: String(job.tierRank) });
    stopRun(job.requestId, 'preempted');
  }

  function handleEntryDisconnect(entryKey: string): void {
    for (const job of waiting.list()) {
      if (job.entryKey === entryKey) withdraw(job.requestId);
    }
  }

  function handleEntryExpiry(entryKey: string): void {
    for (const { job, stream } of runs.values()) {
      if (job.entryKey !== entryKey) continue;
      stopRun(job.requestId, 'callerLeft');
      stream.abandon();
    }
  }

  function stopSuspectRuns(): void {
    for (const job of capacity.list()) {
      if (!job.isExclusive && job.state === 'running' && host.isSuspect(job.digest)) {
        stopRun(job.requestId, 'suspect');
      }
    }
  }

  function abortRuns(): void {
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
      reevaluateQueue();
      return;
    }
    host.logger.event('drainBegan', { running: capacity.running });
    for (const job of waiting.list()) refuse(job, 'draining');
  }

  function sweep(): void {
    const now = clock.now();
    for (const job of jobs.values()) {
      if (job.state === 'granted' && now - job.grantedAt > GRANT_VALID_MS) refuse(job, 'unused');
    }
    estimator.recordOverdueRuns(capacity.list(), now);
    preemptFor(waiting.tryGetHead());
    reevaluateQueue();
  }

  /** Setting the concurrency makes p-queue check which tasks can start. */
  function reevaluateQueue(): void {
    if (waiting.list().length > 0) queue.concurrency = host.slots;
  }

  async function waitUntilDrained(): Promise<void> {
    while (capacity.running > 0) {
      await delay(SWEEP_INTERVAL_MS);
    }
    host.logger.event('drainDone', {});
  }
}
