/**
 * Shedding and preemption by tier: no request is dropped while a request of a lower tier runs, and
 * urgent requests preempt requests of lower tiers.
 */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { askModel, type CallerAnswer } from '../fixtures/caller.js';
import { createDeployment, delay, type Deployment } from '../fixtures/deployment.js';
import { createBaseTicketToml, createEnginePlan } from '../fixtures/workloads.js';

/** Time that the answer to a dropped request may take to arrive after the decision to drop it. */
const DELIVERY_TOLERANCE_MS = 50;
const BURST_DURATION_MS = 6_000;
/** Output tokens of a request that runs for 4 s. */
const LONG_TOKENS = 400;
const MAX_WAITING = 40;
const tierRanks: Record<string, number> = { sorters: 0, weighers: 1, buyers: 2 };

interface Outcome {
  team: string;
  answer: CallerAnswer;
  /** Wall-clock time at which the answer was complete. */
  receivedAt: number;
}

interface Run {
  id: string;
  startedAt: number;
  endedAt: number;
}

describe('tiers', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 1,
      entries: 2,
      endpoints: ['engine-a', 'engine-b', 'engine-c'].map((id) =>
        createEnginePlan(id, 'kernel-lm', { slots: 2, decodeRate: 100 }),
      ),
      entry: { maxWaiting: MAX_WAITING },
      proxied: true,
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  function createBody(team: string, tokens = 30): object {
    const content = `${team} ${Math.random()}`;
    const messages = [{ role: 'user', content }];
    return { model: 'kernel-lm', max_tokens: tokens, stream: true, messages };
  }

  async function send(
    team: string,
    usefulMs: number,
    entry: number,
    tokens?: number,
  ): Promise<Outcome> {
    const headers = { 'x-useful-ms': String(usefulMs) };
    const body = createBody(team, tokens);
    const answer = await askModel(deployment.entryUrl(entry), body, { team, headers });
    return { team, answer, receivedAt: Date.now() };
  }

  /** Occupies every slot with a long request of the lowest tier. */
  async function fillSlots(): Promise<Promise<Outcome>[]> {
    const longRequests = Array.from({ length: 6 }, (_unused, index) =>
      send('buyers', 30_000, index % 2, LONG_TOKENS),
    );
    await delay(500);
    return longRequests;
  }

  /** Sends calls of a team at a constant rate until the returned function is called. */
  function startCalls(team: string, perSecond: number, usefulMs: number) {
    const outcomes: Promise<Outcome | undefined>[] = [];
    let sent = 0;
    const trySend = async (): Promise<Outcome | undefined> => {
      sent += 1;
      try {
        return await send(team, usefulMs, sent % 2);
      } catch {
        return undefined;
      }
    };
    const timer = setInterval(() => outcomes.push(trySend()), 1_000 / perSecond);
    return async (): Promise<Outcome[]> => {
      clearInterval(timer);
      const ended = await Promise.all(outcomes);
      return ended.flatMap((outcome) => outcome ?? []);
    };
  }

  function listRuns(): Run[] {
    const runs: Run[] = [];
    for (const endpointId of deployment.agentIds) {
      const records = deployment.readRecords(endpointId);
      for (const { id, kind, at } of records) {
        if (kind !== 'arrived') continue;
        const end = records.find(
          (record) =>
            record.id === id && (record.kind === 'finished' || record.kind === 'cancelled'),
        );
        runs.push({ id, startedAt: at, endedAt: end?.at ?? at });
      }
    }
    return runs;
  }

  function checkDrops(outcomes: readonly Outcome[]): number {
    const runs = listRuns();
    const ranks = new Map(
      outcomes.map(({ answer, team }) => [answer.requestId, tierRanks[team] ?? 0]),
    );
    const dropped = outcomes.filter(({ answer }) => answer.outcome === 'not_run');
    for (const { team, answer, receivedAt } of dropped) {
      const rank = tierRanks[team] ?? 0;
      const served = runs.find(
        (run) =>
          (ranks.get(run.id) ?? 0) > rank &&
          run.startedAt < receivedAt - DELIVERY_TOLERANCE_MS &&
          run.endedAt > receivedAt,
      );
      assert.equal(
        served,
        undefined,
        `${team} ${answer.requestId} was dropped (${answer.problem}) while ${served?.id} ran`,
      );
    }
    return dropped.length;
  }

  function count(outcomes: readonly Outcome[], team: string, isComplete: boolean): number {
    return outcomes.filter(
      (outcome) =>
        outcome.team === team &&
        (outcome.answer.status === 200 && outcome.answer.isComplete) === isComplete,
    ).length;
  }

  it('preempt long requests of lower tiers in time', async () => {
    const longRequests = await fillSlots();
    const urgent = await Promise.all(
      Array.from({ length: 6 }, (_unused, index) => send('sorters', 1_500, index % 2)),
    );
    for (const { answer } of urgent) {
      assert.ok(answer.isComplete, `${answer.problem}`);
      assert.ok(answer.totalMs <= 1_500, `took ${answer.totalMs} ms`);
    }
    const preempted = (await Promise.all(longRequests)).filter(
      ({ answer }) => answer.problem === 'preempted',
    );
    assert.ok(preempted.length > 0);
    assert.ok(preempted.every(({ answer }) => answer.outcome === 'ran'));
  });

  it('are not shed because the queue is full while a lower tier runs', async () => {
    const longRequests = await fillSlots();
    const burst = await Promise.all(
      Array.from({ length: 4 * MAX_WAITING }, (_unused, index) =>
        send('sorters', 30_000, index % 2),
      ),
    );
    const outcomes = [...burst, ...(await Promise.all(longRequests))];
    const dropped = checkDrops(outcomes);
    assert.ok(dropped > 0, 'more requests arrived than the queues hold');
  });

  it('are shed lowest first in a burst, across two entries', async () => {
    // Six slots of 0.3 s serve about 20 requests a second; 50 arrive.
    const stops = [
      startCalls('sorters', 10, 3_000),
      startCalls('weighers', 15, 3_000),
      startCalls('buyers', 25, 3_000),
    ];
    await delay(BURST_DURATION_MS);
    const outcomes = (await Promise.all(stops.map((stop) => stop()))).flat();
    const dropped = checkDrops(outcomes);
    assert.ok(dropped > 0, 'the load exceeds the capacity');
    assert.equal(
      count(outcomes, 'sorters', false),
      0,
      'no request of the highest tier fails, because its load fits the capacity',
    );
    assert.ok(count(outcomes, 'buyers', false) > count(outcomes, 'weighers', false));
  });

  it('are shed lowest first when the highest tier alone exceeds the capacity', async () => {
    const stops = [startCalls('sorters', 45, 1_500), startCalls('buyers', 10, 1_500)];
    await delay(BURST_DURATION_MS);
    const outcomes = (await Promise.all(stops.map((stop) => stop()))).flat();
    checkDrops(outcomes);
    assert.ok(count(outcomes, 'sorters', false) > 0, 'some requests of the highest tier are shed');
  });

  it('are shed lowest first when an endpoint is lost under load', async () => {
    const stops = [startCalls('sorters', 8, 3_000), startCalls('buyers', 15, 3_000)];
    await delay(1_500);
    await deployment.getProcess('engine-a').kill();
    await deployment.getProcess('engine-a/endpoint').kill();
    await delay(BURST_DURATION_MS);
    const outcomes = (await Promise.all(stops.map((stop) => stop()))).flat();
    const fromLost = outcomes.filter(({ answer }) => answer.endpoint === 'engine-a');
    const others = outcomes.filter((outcome) => !fromLost.includes(outcome));
    checkDrops(others);
    const failed = others.filter(
      ({ team, answer }) => team === 'sorters' && answer.outcome === 'not_run',
    );
    assert.deepEqual(failed, [], 'the remaining endpoints have capacity for the highest tier');
  });
});
