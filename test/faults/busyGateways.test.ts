/** A gateway that gets more requests than its processor can pass on. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request, type Dispatcher } from 'undici';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
  type TableBody,
} from '../fixtures/gatewayDeployment.js';

/** Options of Node for a gateway that sends 125 requests per second at most. */
const costlySendsArgs = ['--import', './dist/run/test/fixtures/costlySendsPreload.mjs'];
/** Objective of both routes. */
const OBJECTIVE_MS = 600;
const DEADLINE_MS = 5_000;
const TICK_MS = 20;
/** Twice the number of requests that the gateway can send. */
const BATCH_PER_TICK = 5;
/** One urgent request in so many ticks. */
const URGENT_PERIOD = 3;
/** Time before the measurement, in which the gateway gets busy. */
const SETTLE_MS = 2_500;
const MEASURED_MS = 5_000;
/** Callers on kept connections, each of which sends the next request after an answer. */
const KEPT_CALLERS = 60;
const PROBE_INTERVAL_MS = 200;
const PROBE_COUNT = 25;
/** Time after which a caller on a new connection gives up. */
const PROBE_TIMEOUT_MS = 1_000;

interface Answer {
  /** 0 if there was no response. */
  status: number;
  retryAfter: string | undefined;
}

interface Outcome extends Answer {
  elapsedMs: number;
}

interface Outcomes {
  urgent: Outcome[];
  batch: Outcome[];
}

/** Routes `urgent` and `batch`, which differ in their rank only. */
function createRankedTable(): TableBody {
  const shared = { sloMs: OBJECTIVE_MS, timeoutMs: DEADLINE_MS };
  const table = addRoutes(createTableBody(1), [
    { name: 'urgent', service: 'desk-2', fields: { ...shared, priority: 0 } },
    { name: 'batch', service: 'desk-2', fields: { ...shared, priority: 2 } },
  ]);
  const services = (table.services as object[]).map((service) => ({ ...service, maxConns: 4_000 }));
  return { ...table, services };
}

function toAnswer({ statusCode, headers }: Dispatcher.ResponseData): Answer {
  const retryAfter = headers['retry-after'];
  return {
    status: statusCode,
    retryAfter: typeof retryAfter === 'string' ? retryAfter : undefined,
  };
}

async function send(
  deployment: GatewayDeployment,
  dispatcher: Agent,
  path: string,
  signal?: AbortSignal,
): Promise<Answer> {
  const response = await request(`http://${deployment.getGatewayAddress(0)}${path}`, {
    dispatcher,
    headers: {
      host: 'a.example',
      'turmericrack-attempt-id': crypto.randomUUID(),
      'turmericrack-deadline-ms': String(DEADLINE_MS),
    },
    signal,
  });
  await response.body.dump();
  return toAnswer(response);
}

function getServedShare(answers: readonly Answer[]): number {
  return answers.filter(({ status }) => status === 200).length / answers.length;
}

describe('a gateway without processor time for all requests', () => {
  let deployment: GatewayDeployment;
  let outcomes: Outcomes;
  const agent = new Agent({ connections: 4_000 });

  before(async () => {
    const plans = [
      { id: 'e1', pool: 'desk', slots: 1_000, workMs: 5 },
      { id: 'e2', pool: 'desk-2', slots: 4_000, workMs: 5 },
    ];
    deployment = await createGatewayDeployment(plans, { gatewayArgs: costlySendsArgs });
    assert.equal(await deployment.declare(createRankedTable()), 200);
    await deployment.waitServing();
    outcomes = await measure();
  });

  after(async () => {
    await agent.close();
    await deployment.stop();
  });

  async function measure(): Promise<Outcomes> {
    const running: { urgent: Promise<Outcome>[]; batch: Promise<Outcome>[] } = {
      urgent: [],
      batch: [],
    };
    const ticks = (SETTLE_MS + MEASURED_MS) / TICK_MS;
    for (let tick = 0; tick < ticks; tick += 1) {
      if (tick * TICK_MS === SETTLE_MS) Object.assign(running, { urgent: [], batch: [] });
      for (let count = 0; count < BATCH_PER_TICK; count += 1) running.batch.push(call('batch'));
      if (tick % URGENT_PERIOD === 0) running.urgent.push(call('urgent'));
      await delay(TICK_MS);
    }
    const [urgent, batch] = await Promise.all([
      Promise.all(running.urgent),
      Promise.all(running.batch),
    ]);
    return { urgent, batch };
  }

  async function call(route: string): Promise<Outcome> {
    const startedAt = performance.now();
    try {
      const { status, retryAfter } = await send(deployment, agent, `/${route}/`);
      return { status, retryAfter, elapsedMs: performance.now() - startedAt };
    } catch {
      return { status: 0, retryAfter: undefined, elapsedMs: performance.now() - startedAt };
    }
  }

  it('answers urgent requests in time while less urgent ones come in excess', () => {
    const inTime = outcomes.urgent.filter(
      ({ status, elapsedMs }) => status === 200 && elapsedMs <= OBJECTIVE_MS,
    );
    assert.ok(
      inTime.length >= 0.9 * outcomes.urgent.length,
      `${inTime.length} of ${outcomes.urgent.length} in time`,
    );
  });

  it('refuses the excess at once, says when to return, and serves the rest', () => {
    const refused = outcomes.batch.filter(({ status }) => status === 503);
    const served = getServedShare(outcomes.batch);
    const servedOfAll = getServedShare([...outcomes.batch, ...outcomes.urgent]);
    assert.ok(served >= servedOfAll / 4, `${served} served, ${servedOfAll} of all`);
    assert.ok(refused.length > 0, 'some were refused');
    for (const { retryAfter, elapsedMs } of refused) {
      assert.ok(Number(retryAfter) > 0, `Retry-After: ${retryAfter}`);
      assert.ok(elapsedMs < OBJECTIVE_MS, `refused after ${elapsedMs} ms`);
    }
  });
});

describe('a gateway that callers on kept connections keep busy', () => {
  let deployment: GatewayDeployment;
  let isOver = false;
  let keptAnswers: Answer[] = [];
  const agent = new Agent({ connections: KEPT_CALLERS });

  before(async () => {
    const plans = [{ id: 'e1', pool: 'desk', slots: 1_000, workMs: 5 }];
    deployment = await createGatewayDeployment(plans, { gatewayArgs: costlySendsArgs });
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitServing();
  });

  after(async () => {
    isOver = true;
    await agent.close();
    await deployment.stop();
  });

  /** Returns after a refusal when it is told to. */
  async function callAgainAndAgain(): Promise<void> {
    while (!isOver) {
      const answer = await trySend(agent, '/work/');
      keptAnswers.push(answer);
      if (answer.status !== 200) await delay(1_000 * Number(answer.retryAfter ?? 0.1));
    }
  }

  async function trySend(dispatcher: Agent, path: string): Promise<Answer> {
    try {
      return await send(deployment, dispatcher, path, AbortSignal.timeout(PROBE_TIMEOUT_MS));
    } catch {
      return { status: 0, retryAfter: undefined };
    }
  }

  async function probe(): Promise<Answer> {
    const newConnection = new Agent();
    const answer = await trySend(newConnection, '/new-2/');
    void newConnection.destroy();
    return answer;
  }

  it('serves a route that was added to callers on new connections', async () => {
    for (let count = 0; count < KEPT_CALLERS; count += 1) void callAgainAndAgain();
    await delay(SETTLE_MS);
    assert.equal(await deployment.declare(createTableBody(2)), 200);
    await delay(SETTLE_MS);
    keptAnswers = [];
    const probes: Promise<Answer>[] = [];
    for (let count = 0; count < PROBE_COUNT; count += 1) {
      probes.push(probe());
      await delay(PROBE_INTERVAL_MS);
    }
    const answers = await Promise.all(probes);
    const unanswered = answers.filter(({ status }) => status === 0);
    assert.equal(unanswered.length, 0, 'without an answer');
    const [served, keptServed] = [getServedShare(answers), getServedShare(keptAnswers)];
    assert.ok(served >= keptServed / 2, `${served} served, ${keptServed} on kept connections`);
  });
});
