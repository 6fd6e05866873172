/**
 * A request that crashes every endpoint that runs it, and that its caller sends again. Guards
 * against one such request taking down the endpoints one after the other.
 */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { askModel, isExpected, type CallerAnswer } from '../fixtures/caller.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createExplanationBody,
} from '../fixtures/workloads.js';

const CRASH_TEXT = 'crash-the-engine';
const RESEND_COUNT = 6;
/** Endpoints that one request may crash: one before it is a suspect, and one as a suspect. */
const MAX_LOST_ENDPOINTS = 2;

describe('a request that crashes endpoints', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 3,
      entries: 2,
      endpoints: ['engine-a', 'engine-b', 'engine-c', 'engine-d'].map((id) =>
        createEnginePlan(id, 'kernel-lm', { crashText: CRASH_TEXT }),
      ),
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  function countLostEndpoints(): number {
    return deployment.agentIds.filter((id) => !deployment.getProcess(`${id}/endpoint`).isRunning)
      .length;
  }

  it('crashes at most two of them in the whole deployment, and is then refused as not run', async () => {
    const bystander = createExplanationBody('bystander', 400);
    const bystanders = Array.from({ length: 4 }, (_unused, index) =>
      askModel(deployment.entryUrl(index % 2), bystander, { team: 'weighers' }),
    );
    await delay(300);
    const messages = [{ role: 'user', content: `please ${CRASH_TEXT}` }];
    const body = { model: 'kernel-lm', max_tokens: 5, stream: true, messages };
    const answers: CallerAnswer[] = [];
    for (let count = 0; count < RESEND_COUNT; count += 1) {
      const url = deployment.entryUrl(count % 2);
      answers.push(await askModel(url, body, { team: 'sorters' }));
    }
    assert.ok(
      countLostEndpoints() >= 1 && countLostEndpoints() <= MAX_LOST_ENDPOINTS,
      `${countLostEndpoints()} endpoints crashed`,
    );
    const last = answers.at(-1);
    assert.deepEqual([last?.problem, last?.outcome], ['convicted', 'not_run']);
    await Promise.all(bystanders);
  });

  it('does not convict other requests that were in flight on the same endpoints', async () => {
    for (const id of deployment.agentIds) {
      const child = deployment.getProcess(`${id}/endpoint`);
      if (!child.isRunning) deployment.restart(`${id}/endpoint`);
    }
    const bystander = createExplanationBody('bystander', 400);
    await waitFor('the bystander to be served', async () => {
      const answer = await askModel(deployment.entryUrl(0), bystander, { team: 'weighers' });
      return isExpected(bystander, answer);
    });
    const again = await askModel(deployment.entryUrl(1), bystander, { team: 'weighers' });
    assert.ok(isExpected(bystander, again));
  });
});
