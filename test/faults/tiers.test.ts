/** Tiers: no higher one is dropped while a lower one is served; whom preemption chooses. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { askModel, type CallerAnswer } from '../fixtures/caller.js';
import { createDeployment, delay, type Deployment } from '../fixtures/deployment.js';
import { createBaseTicketToml, createEnginePlan } from '../fixtures/workloads.js';

/** An answer may be this much on its way after the decision to drop; milliseconds. */
const DELIVERY_MS = 50;
const BURST_MS = 6_000;
const tierRanks: Record<string, number> = { sorters: 0, weighers: 1, buyers: 2 };

interface Outcome {
  team: string;
  answer: CallerAnswer;
  /** Wall clock when the answer had arrived. */
  at: number;
}

interface Run {
  id: string;
  from: number;
  to: number;
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
      entry: { maxWaiting: 40 },
      proxied: true,
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  function createBody(team: string): object {
    const content = `${team} ${Math.random()}`;
    const messages = [{ role: 'user', content }];
    return { model: 'kernel-lm', max_tokens: 30, stream: true, messages };
  }

  /** Calls of one team at a rate, until stopped. */
  function startCalls(team: string, perSecond: number, usefulMs: number) {
    const outcomes: Promise<Outcome | undefined>[] = [];
    let sent = 0;
    const send = async (): Promise<Outcome | undefined> => {
      sent += 1;
      const headers = { 'x-useful-ms': String(usefulMs) };
      const url = deployment.entryUrl(sent % 2);
      try {
        const answer = await askModel(url, createBody(team), { team, headers });
        return { team, answer, at: Date.now() };
      } catch {
        return undefined;
      }
    };
    const timer = setInterval(() => outcomes.push(send()), 1_000 / perSecond);
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
        runs.push({ id, from: at, to: end?.at ?? at });
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
    for (const { team, answer, at } of dropped) {
      const rank = tierRanks[team] ?? 0;
      const served = runs.find(
        (run) => (ranks.get(run.id) ?? 0) > rank && run.from < at - DELIVERY_MS && run.to > at,
      );
      assert.equal(
        served,
        undefined,
        `${team} ${answer.requestId} was dropped (${answer.problem}) while ${served?.id} ran`,
      );
    }
    return dropped.length;
  }

  function count(outcomes: readonly Outcome[], team: string, isGood: boolean): number {
    return outcomes.filter(
      (outcome) =>
        outcome.team === team &&
        (outcome.answer.status === 200 && outcome.answer.isWhole) === isGood,
    ).length;
  }

  it('are shed from below in a burst, across two entries', async () => {
    // Six slots of 0.3 s serve about 20 requests a second; 50 arrive.
    const stops = [
      startCalls('sorters', 10, 3_000),
      startCalls('weighers', 15, 3_000),
      startCalls('buyers', 25, 3_000),
    ];
    await delay(BURST_MS);
    const outcomes = (await Promise.all(stops.map((stop) => stop()))).flat();
    const dropped = checkDrops(outcomes);
    assert.ok(dropped > 0, 'there was too much to serve');
    assert.equal(
      count(outcomes, 'sorters', false),
      0,
      'the highest tier fits, so none of it fails',
    );
    assert.ok(count(outcomes, 'buyers', false) > count(outcomes, 'weighers', false));
  });

  it('are shed from below when the highest tier alone is too much', async () => {
    const stops = [startCalls('sorters', 45, 1_500), startCalls('buyers', 10, 1_500)];
    await delay(BURST_MS);
    const outcomes = (await Promise.all(stops.map((stop) => stop()))).flat();
    checkDrops(outcomes);
    assert.ok(count(outcomes, 'sorters', false) > 0, 'some of the highest tier had to be dropped');
  });

  it('are shed from below when endpoints are lost under load', async () => {
    const stops = [startCalls('sorters', 8, 3_000), startCalls('buyers', 15, 3_000)];
    await delay(1_500);
    await deployment.getProcess('engine-a').kill();
    await deployment.getProcess('engine-a/endpoint').kill();
    await delay(BURST_MS);
    const outcomes = (await Promise.all(stops.map((stop) => stop()))).flat();
    const fromLost = outcomes.filter(({ answer }) => answer.endpoint === 'engine-a');
    const others = outcomes.filter((outcome) => !fromLost.includes(outcome));
    checkDrops(others);
    const failed = others.filter(
      ({ team, answer }) => team === 'sorters' && answer.outcome === 'not_run',
    );
    assert.deepEqual(failed, [], 'the rest has room for the highest tier');
  });
});
