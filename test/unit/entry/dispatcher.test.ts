/**
 * What happens to a request of an entry when the configuration changes around its dispatch, or when
 * the connection to its agent is lost after it.
 */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { AgentLink, AgentLinks } from '../../../src/entry/agentLinks.js';
import type { Directory } from '../../../src/entry/directory.js';
import { createDispatcher, type Dispatcher } from '../../../src/entry/dispatcher.js';
import type { Floors } from '../../../src/entry/floors.js';
import { createPolicy } from '../../../src/entry/placement.js';
import type {
  EntryFrameBody,
  PendingRequest,
  RequestResult,
  ResponseSink,
} from '../../../src/entry/types.js';
import type { AgentFrame, Finished } from '../../../src/generated/dispatch.js';
import type { Member } from '../../../src/generated/keeper.js';
import type { Team, Tier } from '../../../src/generated/schemas.js';

const AGENT_ID = 'agent-1';
const INCARNATION = 'first';
const DEADLINE_MS = 1_000_000;
/** Time that passes between two readings of the clock. */
const STEP_MS = 1_000;
const team: Team = { name: 'weighers', tier: 'now', keyDigests: ['sha256:key'] };
const tier: Tier = { name: 'now', rank: 0 };

interface Fixture {
  dispatcher: Dispatcher;
  link: AgentLink;
  /** Frames sent to the agent. */
  sent: EntryFrameBody[];
  /** Results of the requests, in the order of their ends. */
  results: RequestResult[];
  /** What the caller's response was given, in order: a status, data, or the kind of its end. */
  response: string[];
  removeTeam(): void;
  submit(): void;
  receive(body: AgentFrame['body']): void;
}

function createFixture(): Fixture {
  const link = {
    id: AGENT_ID,
    address: '',
    incarnation: INCARNATION,
    isConnected: true,
    load: {
      running: 0,
      waiting: 0,
      slots: 4,
      freeTokens: 9_000,
      speedPermille: 1_000,
      draining: false,
    },
    prefillSpeed: 1_000,
    decodeSpeed: 100,
    reservedCount: 0,
    dispatchedCount: 0,
  };
  const sent: EntryFrameBody[] = [];
  const results: RequestResult[] = [];
  const response: string[] = [];
  let hasTeam = true;
  const member = { id: AGENT_ID, incarnation: INCARNATION, draining: false } as Member;
  const directory = {
    tryGetTeam: () => (hasTeam ? { team, tier } : undefined),
    tryGetPool: () => 'pool',
    listAgents: () => [member],
    listAllAgents: () => [member],
    tryGetSuspect: () => undefined,
  } as unknown as Directory;
  const links = {
    tryGet: () => link,
    send: (_agentId: string, _requestId: string, body: EntryFrameBody) => void sent.push(body),
  } as unknown as AgentLinks;
  let time = 0;
  const now = (): number => {
    time += STEP_MS;
    return time;
  };
  const dispatcher = createDispatcher({
    clock: { now, wallTime: now },
    logger: { event() {} },
    links,
    policy: createPolicy('grants'),
    floors: {} as Floors,
    getDirectory: () => directory,
    hasLease: () => true,
    getRevision: () => 1,
    reportAgentLoss: () => Promise.resolve(),
  });
  return {
    dispatcher,
    link,
    sent,
    results,
    response,
    removeTeam() {
      hasTeam = false;
      dispatcher.readmit();
    },
    submit: () => dispatcher.submit(createRequest(createSink(results, response))),
    receive: (body) => dispatcher.handleFrame(link, { requestId: 'request-1', body }),
  };
}

function createSink(results: RequestResult[], response: string[]): ResponseSink {
  return {
    start: (status) => void response.push(`status ${status}`),
    write(data, onConsumed) {
      response.push(data.toString());
      onConsumed();
    },
    end(result) {
      results.push(result);
      response.push(result.kind);
    },
  };
}

function createRequest(sink: ResponseSink): PendingRequest {
  return {
    id: 'request-1',
    keyDigest: 'sha256:key',
    team,
    tier,
    pool: 'pool',
    target: { kind: 'model', name: 'model' },
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    promptTokens: 10,
    outputTokens: 10,
    prefixHash: '',
    digest: 'digest',
    idempotent: true,
    arrivedAt: 0,
    deadline: DEADLINE_MS,
    state: 'waiting',
    reservations: new Set(),
    avoidUntil: new Map(),
    lastReservedAt: Number.NEGATIVE_INFINITY,
    grant: undefined,
    receivedBytes: 0,
    uncreditedBytes: 0,
    lostAt: undefined,
    exclusive: false,
    traceparent: '',
    sink,
  };
}

function createFinished(outcome: string, length: number): Finished {
  return {
    outcome,
    length,
    promptTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    span: undefined,
    detail: '',
    wastedTokens: 0,
  };
}

function checkRejected({ results, sent }: Fixture, reservations: number): void {
  const [result] = results;
  assert.ok(result?.kind === 'failed');
  assert.equal(result.problem.kind, 'unauthorized');
  assert.equal(result.problem.outcome, 'not_run');
  assert.equal(sent.filter(({ $case }) => $case === 'reserve').length, reservations);
}

function dispatch({ submit, receive, sent }: Fixture): void {
  submit();
  const value = { grantId: 'grant-1', incarnation: INCARNATION, validMs: 1_000 };
  receive({ $case: 'granted', value });
  assert.equal(sent.at(-1)?.$case, 'dispatch');
}

function reconnect({ dispatcher, link, sent }: Fixture): void {
  dispatcher.handleDisconnected(link);
  dispatcher.handleConnected(link);
  assert.equal(sent.at(-1)?.$case, 'statusQuery');
}

describe('a request whose team a ticket removes', () => {
  it('is rejected when an agent refuses the dispatch that was on its way', () => {
    const fixture = createFixture();
    dispatch(fixture);
    fixture.removeTeam();
    fixture.receive({ $case: 'finished', value: createFinished('not_run', 0) });
    checkRejected(fixture, 1);
  });

  it('is rejected when it is submitted after the ticket', () => {
    const fixture = createFixture();
    fixture.removeTeam();
    fixture.submit();
    checkRejected(fixture, 0);
  });
});

// An entry ended by an uncaught exception when a connection was lost with the head of a response on
// it: the agent sent the next chunk on the new connection before the head was asked for again, and
// the chunk went to the caller under a head of the entry's own.
describe('a response whose head was lost with the connection', () => {
  it('is sent from its head on when a chunk arrives before the head', () => {
    const fixture = createFixture();
    const { receive, response, sent } = fixture;
    const chunk = { $case: 'chunk' as const, value: { offset: 0, data: Buffer.from('no') } };
    dispatch(fixture);
    reconnect(fixture);
    receive(chunk);
    assert.deepEqual(response, []);
    receive({ $case: 'statusReport', value: { outcome: 'started' } });
    const attach = sent.at(-1);
    assert.ok(attach?.$case === 'attach');
    assert.equal(attach.value.offset, 0);
    receive({ $case: 'started', value: { status: 500, headers: [] } });
    receive(chunk);
    receive({ $case: 'finished', value: createFinished('complete', 2) });
    assert.deepEqual(response, ['status 500', 'no', 'complete']);
  });

  it('is not taken for complete before the head has arrived', () => {
    const fixture = createFixture();
    const { receive, response, sent } = fixture;
    const finished = { $case: 'finished' as const, value: createFinished('complete', 0) };
    dispatch(fixture);
    reconnect(fixture);
    receive(finished);
    assert.deepEqual(response, []);
    assert.equal(sent.at(-1)?.$case, 'attach');
    receive({ $case: 'started', value: { status: 404, headers: [] } });
    receive(finished);
    assert.deepEqual(response, ['status 404', 'complete']);
  });
});
