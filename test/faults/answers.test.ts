/** Callers get the complete answer to their own request; a truncated one is reported as an error. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { askModel, isExpected } from '../fixtures/caller.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createExplanationBody,
  createLabelBody,
  getTeamKey,
} from '../fixtures/workloads.js';

const STREAM_TOKENS = 150;
const ENGINE_SLOTS = 16;

describe('answers', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 1,
      entries: 2,
      endpoints: [
        createEnginePlan('engine-a', 'kernel-lm', { slots: ENGINE_SLOTS }),
        createEnginePlan('engine-b', 'kernel-lm', { slots: ENGINE_SLOTS }),
        createEnginePlan('fast-a', 'assistant-fleet', { decodeRate: 3_000 }),
      ],
      proxied: true,
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  function forEachLinkProxy(action: (proxy: ReturnType<Deployment['getProxy']>) => void): void {
    for (const entry of deployment.entryIds) {
      for (const agent of deployment.agentIds) action(deployment.getProxy(entry, agent));
    }
  }

  async function checkAnswers(count: number): Promise<void> {
    const calls = Array.from({ length: count }, async (_unused, index) => {
      const body = createExplanationBody(`many ${index} ${Math.random()}`, STREAM_TOKENS);
      const answer = await askModel(deployment.entryUrl(index % 2), body, { team: 'weighers' });
      assert.ok(isExpected(body, answer), `${index}: ${answer.problem} ${answer.text.length}`);
    });
    await Promise.all(calls);
  }

  it('are complete when an endpoint breaks the stream off and resumes it', async () => {
    await deployment.control('engine-a', { cutAfter: 3_000 });
    await deployment.control('engine-b', { cutAfter: 5_000 });
    // More than one engine has slots for, so that both get some of them.
    await checkAnswers(ENGINE_SLOTS + ENGINE_SLOTS / 2);
    for (const id of ['engine-a', 'engine-b']) {
      const resumed = deployment.readRecords(id).some(({ kind }) => kind === 'resumed');
      assert.ok(resumed, `a stream of ${id} was resumed`);
    }
  });

  it('are complete when the connections between entries and agents are reset repeatedly', async () => {
    const all = checkAnswers(24);
    for (let count = 0; count < 6; count += 1) {
      await delay(150);
      forEachLinkProxy((proxy) => proxy.reset());
    }
    await all;
  });

  it('are complete when an agent is killed while it forwards them', async () => {
    const all = checkAnswers(8);
    await waitFor('streams to run', () =>
      deployment.readRecords('engine-a').some(({ kind }) => kind === 'firstToken'),
    );
    await delay(400);
    await deployment.getProcess('engine-a').kill();
    deployment.restart('engine-a');
    await all;
  });

  it('reach other callers while one caller does not read its answer', async () => {
    const slow = { ...createExplanationBody('slow', 6_000), model: 'assistant' };
    const response = await request(`${deployment.entryUrl()}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${getTeamKey('weighers')}`, 'x-useful-ms': '60000' },
      body: JSON.stringify(slow),
      bodyTimeout: 0,
    });
    await delay(500);
    const startedAt = performance.now();
    await checkAnswers(10);
    assert.ok(performance.now() - startedAt < 10_000, 'other callers were not held up');
    await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
  });

  it('that cannot be completed end in an error and are never silently truncated', async () => {
    const body = createExplanationBody('lost', 800);
    const [answer] = await Promise.all([
      askModel(deployment.entryUrl(), body, { team: 'weighers' }),
      killEndpointsMidway(),
    ]);
    assert.equal(answer.isComplete, false);
    assert.equal(answer.outcome, 'ran');
    for (const id of deployment.agentIds) deployment.restart(`${id}/endpoint`);
    const label = createLabelBody('after');
    await waitFor('service again', async () => {
      const again = await askModel(deployment.entryUrl(), label, { team: 'sorters' });
      return isExpected(label, again);
    });
  });

  async function killEndpointsMidway(): Promise<void> {
    await delay(1_000);
    for (const id of deployment.agentIds) await deployment.getProcess(`${id}/endpoint`).kill();
  }
});
