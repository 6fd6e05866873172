/** One request of each kind, end to end: from a caller through all processes to an endpoint. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import OpenAI from 'openai';
import { askModel, callService, isExpected } from '../fixtures/caller.js';
import { createDeployment, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createExplanationBody,
  createLabelBody,
  createServicePlan,
  getTeamKey,
} from '../fixtures/workloads.js';

describe('a deployment', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 3,
      entries: 2,
      endpoints: [createEnginePlan('engine-a'), createServicePlan('tickets-a')],
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  it('returns a complete JSON answer', async () => {
    const body = createLabelBody('lot 7');
    const answer = await askModel(deployment.entryUrl(), body, { team: 'sorters' });
    assert.equal(answer.status, 200);
    assert.ok(isExpected(body, answer), answer.text);
  });

  it('streams an answer', async () => {
    const body = createExplanationBody('T-1');
    const answer = await askModel(deployment.entryUrl(1), body, { team: 'weighers' });
    assert.equal(answer.status, 200);
    assert.ok(isExpected(body, answer), answer.text);
  });

  it('serves an unmodified OpenAI client that has only a base URL and a key', async () => {
    const client = new OpenAI({
      baseURL: `${deployment.entryUrl()}/v1`,
      apiKey: getTeamKey('weighers'),
    });
    const messages = [{ role: 'user' as const, content: 'Explain ticket 5' }];
    const completion = await client.chat.completions.create({ model: 'kernel-lm', messages });
    const stream = await client.chat.completions.create({
      model: 'kernel-lm',
      messages,
      stream: true,
    });
    let text = '';
    for await (const event of stream) text += event.choices[0]?.delta.content ?? '';
    assert.equal(text, completion.choices[0]?.message.content);
    const models = await client.models.list();
    assert.deepEqual(
      models.data.map((model) => model.id),
      ['kernel-lm', 'assistant'],
    );
  });

  it('replays the answer to a call with the same key at another entry, and runs it once', async () => {
    const headers = { 'idempotency-key': 'issue-1' };
    const options = { team: 'weighers', headers };
    const first = await callService(
      deployment.entryUrl(0),
      'POST',
      'ticket-app/tickets',
      'a',
      options,
    );
    const second = await callService(
      deployment.entryUrl(1),
      'POST',
      'ticket-app/tickets',
      'a',
      options,
    );
    assert.equal(first.status, 201);
    assert.equal(second.text, first.text);
    assert.ok(second.isReplay);
    const runs = deployment.readRecords('tickets-a').filter((record) => record.kind === 'started');
    assert.equal(runs.length, 1);
    const other = await callService(
      deployment.entryUrl(1),
      'POST',
      'ticket-app/tickets',
      'b',
      options,
    );
    assert.equal(other.status, 409);
    assert.equal(other.outcome, 'not_run');
  });

  it('passes an idempotent call through without a key', async () => {
    const options = { team: 'weighers' };
    const answer = await callService(
      deployment.entryUrl(),
      'GET',
      'ticket-app/tickets/5?full=1',
      undefined,
      options,
    );
    assert.equal(answer.status, 200);
    assert.match(answer.text, /"url":"\/tickets\/5\?full=1"/);
  });
});
