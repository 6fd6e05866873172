/** Runs checked calls: team limits, suspects, claims, then the dispatcher; counts how they end. */

import type { Clock } from '../common/clock.js';
import type { KeeperSession } from '../common/keeperSession.js';
import type { Measures } from '../common/measures.js';
import type { RequestTrace, Tracing } from '../common/traceContext.js';
import {
  createStreamingSink,
  createBufferingSink,
  sendProblem,
  sendBufferedResponse,
  type BufferedResponse,
} from './responseSinks.js';
import type { Call } from './callerApi.js';
import { runClaimed } from './claimedCalls.js';
import type { Directory } from './directory.js';
import type { Dispatcher } from './dispatcher.js';
import { createRejection, type Problem } from './problem.js';
import { closeSolo, openSolo } from './soloRuns.js';
import type { ResponseSink, CallerRequest, PendingRequest, RequestResult } from './types.js';

/** What calls need from outside. */
export interface CallsHost {
  clock: Clock;
  measures: Measures;
  tracing: Tracing;
  session: KeeperSession;
  dispatcher: Dispatcher;
  entryId: string;
  incarnation: string;
  getDirectory(): Directory;
}

/** The entry's calls. */
export interface Calls {
  readonly activeCount: number;
  run(call: Call): void;
}

/** Creates a runner of calls. */
export function createCallRunner(host: CallsHost): Calls {
  const inFlight = new Map<string, number>();
  let count = 0;

  return {
    get activeCount() {
      return count;
    },
    run,
  };

  function run(call: Call): void {
    const { request, response } = call;
    const { team } = request;
    const used = inFlight.get(team.name) ?? 0;
    if (team.maxInFlight !== undefined && used >= team.maxInFlight) {
      const detail = `team '${team.name}' has ${used} requests in flight`;
      sendProblem(response, createRejection('team_limit', detail), request.id);
      return;
    }
    inFlight.set(team.name, used + 1);
    count += 1;
    const trace = host.tracing.begin(request.path, call.traceparent);
    runChecked(call, trace)
      .catch((caught: Error) => {
        const problem: Problem = { kind: 'lost', outcome: 'unknown', detail: caught.message };
        sendProblem(response, problem, request.id);
      })
      .finally(() => {
        count -= 1;
        inFlight.set(team.name, (inFlight.get(team.name) ?? 1) - 1);
      });
  }

  async function runChecked(call: Call, trace: RequestTrace): Promise<void> {
    const { request } = call;
    const suspicion = host.getDirectory().tryGetSuspect(request.digest);
    if (suspicion === undefined) {
      await runCall(call, trace, false);
      return;
    }
    const { digest, id, deadline } = request;
    const permission = await openSolo(host, digest, id, deadline);
    if (permission === 'convicted' || permission === 'timeout') {
      const kind = permission === 'convicted' ? 'convicted' : 'timeout';
      const problem = createRejection(kind, 'this request was in flight when endpoints crashed');
      noteEnd(request, trace, { kind: 'failed', problem, stats: undefined });
      sendProblem(call.response, problem, id);
      return;
    }
    const isAlone = permission === 'granted';
    const end = await runCall(call, trace, isAlone);
    if (isAlone) await closeSolo(host, digest, id, end);
  }

  function runCall(call: Call, trace: RequestTrace, alone: boolean): Promise<RequestResult> {
    return call.claim === undefined
      ? runPlain(call, trace, alone)
      : runWithClaim(call, trace, alone, call.claim);
  }

  function runPlain(call: Call, trace: RequestTrace, alone: boolean): Promise<RequestResult> {
    const { request, response } = call;
    return new Promise((resolve) => {
      const sink = createStreamingSink(response, request.id, (end) => {
        noteEnd(request, trace, end);
        resolve(end);
      });
      const pending = createPending(request, sink, trace, alone);
      response.on('close', () => {
        if (response.writableFinished) return;
        host.dispatcher.abandon(pending);
        // An abandoned request ends without a word to its sink.
        if (pending.state === 'ended') resolve(createAbandoned());
      });
      host.dispatcher.submit(pending);
    });
  }

  async function runWithClaim(
    call: Call,
    trace: RequestTrace,
    alone: boolean,
    claim: { service: string; key: string },
  ): Promise<RequestResult> {
    const { request, response } = call;
    let lastEnd: RequestResult = createAbandoned();
    const runHeld = (held: CallerRequest) =>
      new Promise<{ response: BufferedResponse; result: RequestResult }>((resolve) => {
        const sink = createBufferingSink((answer, end) => {
          lastEnd = end;
          noteEnd(request, trace, end);
          resolve({ response: answer, result: end });
        });
        host.dispatcher.submit(createPending(held, sink, trace, alone));
      });
    const result = await runClaimed({ ...host, run: runHeld }, request, claim.service, claim.key);
    if (result.kind === 'problem') {
      sendProblem(response, result.problem, request.id);
      return lastEnd;
    }
    if (result.isReplay) response.setHeader('idempotent-replay', 'true');
    sendBufferedResponse(response, result.response, request.id);
    return lastEnd;
  }

  function createPending(
    request: CallerRequest,
    sink: ResponseSink,
    trace: RequestTrace,
    alone: boolean,
  ): PendingRequest {
    return {
      ...request,
      state: 'waiting',
      reservations: new Set(),
      avoidUntil: new Map(),
      lastReservedAt: Number.NEGATIVE_INFINITY,
      grant: undefined,
      receivedBytes: 0,
      uncreditedBytes: 0,
      lostAt: undefined,
      exclusive: alone,
      traceparent: trace.agentTraceparent,
      sink,
    };
  }

  function noteEnd(request: CallerRequest, trace: RequestTrace, end: RequestResult): void {
    const { measures, clock } = host;
    const tier = request.tier.name;
    const outcome = end.kind === 'complete' ? 'complete' : end.problem.kind;
    measures.count('entryRequests', 1, { tier, outcome });
    const isUseful = end.kind === 'complete' && clock.now() <= request.deadline;
    if (isUseful) measures.count('entryGoodput', 1, { tier });
    trace.end(outcome, end.stats);
    if (end.stats === undefined) return;
    measures.count('entryPromptTokens', end.stats.promptTokens);
    measures.count('entryCachedTokens', end.stats.cachedTokens);
    measures.count('entryWastedTokens', end.stats.wastedTokens);
  }
}

function createAbandoned(): RequestResult {
  const problem: Problem = { kind: 'lost', outcome: 'unknown', detail: 'the caller left' };
  return { kind: 'failed', problem, stats: undefined };
}
