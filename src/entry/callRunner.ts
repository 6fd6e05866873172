/**
 * Runs validated calls: enforces the limits of teams, runs crash suspects alone, claims idempotency
 * keys, hands requests to the dispatcher and records their results.
 */

import type { Clock } from '../common/clock.js';
import type { KeeperSession } from '../common/keeperSession.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
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
import type { CallerRequest, PendingRequest, RequestResult, ResponseSink } from './types.js';

/** Dependencies of the call runner. */
export interface CallRunnerHost {
  clock: Clock;
  measures: MetricsRecorder;
  tracing: Tracing;
  session: KeeperSession;
  dispatcher: Dispatcher;
  entryId: string;
  incarnation: string;
  getDirectory(): Directory;
}

/** Runs calls and counts those that have not ended. */
export interface CallRunner {
  readonly activeCount: number;
  run(call: Call): void;
}

export function createCallRunner(host: CallRunnerHost): CallRunner {
  const inFlight = new Map<string, number>();
  let activeCount = 0;

  return {
    get activeCount() {
      return activeCount;
    },
    run,
  };

  function run(call: Call): void {
    const { request, response } = call;
    const { team } = request;
    const inFlightCount = inFlight.get(team.name) ?? 0;
    if (team.maxInFlight !== undefined && inFlightCount >= team.maxInFlight) {
      const detail = `team '${team.name}' has ${inFlightCount} requests in flight`;
      sendProblem(response, createRejection('team_limit', detail), request.id);
      return;
    }
    inFlight.set(team.name, inFlightCount + 1);
    activeCount += 1;
    const trace = host.tracing.begin(request.path, call.traceparent);
    runAdmitted(call, trace)
      .catch((caught: Error) => {
        const problem: Problem = { kind: 'lost', outcome: 'unknown', detail: caught.message };
        sendProblem(response, problem, request.id);
      })
      .finally(() => {
        activeCount -= 1;
        inFlight.set(team.name, (inFlight.get(team.name) ?? 1) - 1);
      });
  }

  async function runAdmitted(call: Call, trace: RequestTrace): Promise<void> {
    const { request } = call;
    const suspectState = host.getDirectory().tryGetSuspect(request.digest);
    if (suspectState === undefined) {
      await runCall(call, trace, false);
      return;
    }
    const { digest, id, deadline } = request;
    const permission = await openSolo(host, digest, id, deadline);
    if (permission === 'convicted' || permission === 'timeout') {
      const kind = permission === 'convicted' ? 'convicted' : 'timeout';
      const problem = createRejection(kind, 'this request was in flight when endpoints crashed');
      recordResult(request, trace, { kind: 'failed', problem, stats: undefined });
      sendProblem(call.response, problem, id);
      return;
    }
    const exclusive = permission === 'granted';
    const result = await runCall(call, trace, exclusive);
    if (exclusive) await closeSolo(host, digest, id, result);
  }

  function runCall(call: Call, trace: RequestTrace, exclusive: boolean): Promise<RequestResult> {
    return call.claim === undefined
      ? runWithoutClaim(call, trace, exclusive)
      : runWithClaim(call, trace, exclusive, call.claim);
  }

  function runWithoutClaim(
    call: Call,
    trace: RequestTrace,
    exclusive: boolean,
  ): Promise<RequestResult> {
    const { request, response } = call;
    return new Promise((resolve) => {
      const sink = createStreamingSink(response, request.id, (result) => {
        recordResult(request, trace, result);
        resolve(result);
      });
      const pending = createPending(request, sink, trace, exclusive);
      response.on('close', () => {
        if (response.writableFinished) return;
        host.dispatcher.abandon(pending);
        // The dispatcher does not call the sink of a request that it abandons.
        if (pending.state === 'ended') resolve(createAbandonedResult());
      });
      host.dispatcher.submit(pending);
    });
  }

  async function runWithClaim(
    call: Call,
    trace: RequestTrace,
    exclusive: boolean,
    claim: { service: string; key: string },
  ): Promise<RequestResult> {
    const { request, response } = call;
    let lastResult: RequestResult = createAbandonedResult();
    const runBuffered = (claimed: CallerRequest) =>
      new Promise<{ response: BufferedResponse; result: RequestResult }>((resolve) => {
        const sink = createBufferingSink((buffered, result) => {
          lastResult = result;
          recordResult(request, trace, result);
          resolve({ response: buffered, result });
        });
        host.dispatcher.submit(createPending(claimed, sink, trace, exclusive));
      });
    const result = await runClaimed(
      { ...host, run: runBuffered },
      request,
      claim.service,
      claim.key,
    );
    if (result.kind === 'problem') {
      sendProblem(response, result.problem, request.id);
      return lastResult;
    }
    if (result.isReplay) response.setHeader('idempotent-replay', 'true');
    sendBufferedResponse(response, result.response, request.id);
    return lastResult;
  }

  function createPending(
    request: CallerRequest,
    sink: ResponseSink,
    trace: RequestTrace,
    exclusive: boolean,
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
      exclusive,
      traceparent: trace.agentTraceparent,
      sink,
    };
  }

  function recordResult(request: CallerRequest, trace: RequestTrace, result: RequestResult): void {
    const { measures, clock } = host;
    const tier = request.tier.name;
    const outcome = result.kind === 'complete' ? 'complete' : result.problem.kind;
    measures.count('entryRequests', 1, { tier, outcome });
    const isUseful = result.kind === 'complete' && clock.now() <= request.deadline;
    if (isUseful) measures.count('entryGoodput', 1, { tier });
    trace.end(outcome, result.stats);
    if (result.stats === undefined) return;
    measures.count('entryPromptTokens', result.stats.promptTokens);
    measures.count('entryCachedTokens', result.stats.cachedTokens);
    measures.count('entryWastedTokens', result.stats.wastedTokens);
  }
}

function createAbandonedResult(): RequestResult {
  const problem: Problem = {
    kind: 'lost',
    outcome: 'unknown',
    detail: 'the caller closed the connection',
  };
  return { kind: 'failed', problem, stats: undefined };
}
