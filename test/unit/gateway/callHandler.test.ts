/** One request from its admission to its end: what it asks of the scheduler and what the caller gets. */

import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import {
  startCallHandler,
  type CallHandler,
  type CallSummary,
} from '../../../src/gateway/callHandler.js';
import type { Endpoint } from '../../../src/gateway/endpointTracker.js';
import type { ResponseHandler } from '../../../src/gateway/endpointClient.js';
import type { PlacementRequest } from '../../../src/gateway/scheduler.js';
import type { WatchedAttempt } from '../../../src/gateway/stallDetector.js';
import type { ResponseHead, Call } from '../../../src/gateway/types.js';
import type { Route, RouteKind } from '../../../src/routing/types.js';
import { createTestEndpoint } from '../../fixtures/gatewayEndpoint.js';

const ARRIVED_AT = 1_000;
const WAIT_MS = 10_000;

const answerHead: ResponseHead = {
  status: 200,
  callId: 'call-1',
  isSigned: true,
  isNotRun: false,
  load: undefined,
  headers: [],
};

function createRoute(kind: RouteKind, maxAttempts: number): Route {
  return {
    name: 'route',
    host: 'a.example',
    prefix: '/',
    kind,
    timeoutMs: WAIT_MS,
    objectiveMs: 500,
    pauseObjectiveMs: undefined,
    rank: 1,
    targets: [{ pool: 'pool', weight: 1 }],
    maxAttempts,
    isPublic: true,
    isResumable: kind === 'stream',
  };
}

function createCall(route: Route): Call {
  const head = {
    id: 'call-1',
    method: 'GET',
    target: '/',
    host: 'a.example',
    path: '/',
    key: undefined,
    waitMs: WAIT_MS,
    tokens: undefined,
    resumeAfter: undefined,
    headers: [],
  };
  return {
    head,
    route,
    pool: 'pool',
    team: undefined,
    revision: 1,
    body: undefined,
    relativeWork: 1,
    waitedMs: 0,
    arrivedAt: ARRIVED_AT,
    deadline: ARRIVED_AT + WAIT_MS,
  };
}

/** A run with everything around it under the test's control. */
function startRun(kind: RouteKind, maxAttempts: number, hasPlace = true) {
  const clock = new VirtualClock(ARRIVED_AT);
  const submitted: (Pick<PlacementRequest, 'arrivedAt' | 'maxQueueMs' | 'wasInterrupted'> & {
    at: number;
  })[] = [];
  const statuses: number[] = [];
  const summaries: CallSummary[] = [];
  const sends: ResponseHandler[] = [];
  let place: PlacementRequest | undefined;
  let watched: WatchedAttempt | undefined;
  const run: CallHandler = startCallHandler(
    {
      clock,
      logger: { event() {} },
      dialect: {
        tryParseRequest: () => undefined,
        toEndpointHeaders: () => [],
        parseResponse: () => answerHead,
        decodeTable: () => assert.fail('no table is read'),
      },
      scheduler: {
        submit(request) {
          place = request;
          const { arrivedAt, maxQueueMs: patienceMs, wasInterrupted } = request;
          submitted.push({ at: clock.now(), arrivedAt, maxQueueMs: patienceMs, wasInterrupted });
        },
        canPlace: () => hasPlace,
        withdraw() {},
        release() {},
        reevaluate() {},
        waitingCount: 0,
        close() {},
      },
      endpoints: {
        syncWithRegistry() {},
        listUsable: () => [],
        getOccupancy: () => 0,
        getUnreadTokens: () => 0,
        applyReport() {},
        recordLoad() {},
        listLoads: () => [],
        gatewayCount: 1,
        close() {},
      },
      retryBudget: { recordRequest() {}, tryConsume: () => true },
      stallDetector: {
        add(send) {
          watched = send;
        },
        remove() {},
        check() {},
        close() {},
      },
      crashSuspects: {
        size: 0,
        recordCrash() {},
        isSuspect: () => false,
        applyReport() {},
        listCounts: () => [],
      },
      onEnd: (summary) => summaries.push(summary),
    },
    createCall(createRoute(kind, maxAttempts)),
    {
      hasStarted: false,
      start() {},
      write: () => true,
      end() {},
      writeComplete: (head) => statuses.push(head.status),
      writeLocalReply: (answer) => statuses.push(answer.status),
      destroy() {},
    },
  );

  return {
    clock,
    submitted,
    statuses,
    summaries,
    sends,
    cancel: run.cancel,
    place() {
      place?.onPlaced(createEndpoint(sends));
    },
    stall: () => watched?.onStalled('no answer'),
  };
}

function createEndpoint(sends: ResponseHandler[]): Endpoint {
  const endpoint = createTestEndpoint({
    id: `endpoint-${sends.length}`,
    pool: 'pool',
    slots: 1,
    send(_request, events) {
      sends.push(events);
      return { resume() {}, abort() {} };
    },
  });
  endpoint.running = 1;
  return endpoint;
}

describe('the run of a request', () => {
  let started: ReturnType<typeof startRun> | undefined;

  afterEach(() => started?.cancel());

  it('waits again in the order of its arrival and for what is left of its time', () => {
    started = startRun('stream', 2);
    started.clock.advance(600);
    started.place();
    started.sends[0]?.onFailure(false, 'ECONNREFUSED');
    const [first, second] = started.submitted;
    assert.equal(second?.at, ARRIVED_AT + 600);
    assert.equal(second.arrivedAt, first?.arrivedAt);
    assert.equal(second.maxQueueMs, (first?.maxQueueMs ?? 0) - 600);
  });

  it('leaves a send that hangs for another endpoint', () => {
    started = startRun('idempotent', 2);
    started.place();
    started.stall();
    assert.equal(started.submitted.length, 2);
  });

  it('stays with a send that hangs while no endpoint has a place', () => {
    started = startRun('idempotent', 2, false);
    started.place();
    started.stall();
    assert.equal(started.submitted.length, 1);
  });

  it('waits for a place as long as its caller when its endpoint broke off', () => {
    started = startRun('stream', 2);
    started.place();
    started.clock.advance(3_000);
    started.sends[0]?.onFailure(true, 'ECONNRESET');
    const [, second] = started.submitted;
    assert.equal(second?.maxQueueMs, WAIT_MS - 3_000);
    assert.ok(second.wasInterrupted);
  });

  it('goes on waiting for its last send although that seems to hang', () => {
    started = startRun('idempotent', 1);
    started.place();
    started.stall();
    assert.deepEqual(started.statuses, []);
    started.sends[0]?.onHead(200, []);
    started.sends[0]?.onEnd();
    assert.deepEqual(started.statuses, [200]);
    assert.equal(started.summaries[0]?.outcome, 'answered');
  });
});
