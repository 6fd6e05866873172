/** Endpoints that slow down without a word, and order-givers that come back with an old token. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { stringify } from 'smol-toml';
import { askModel } from '../fixtures/caller.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicket,
  createEnginePlan,
  createExplanationBody,
} from '../fixtures/workloads.js';

const SLOWDOWN = 20;
/** A straggler gets no more than its share within this time; milliseconds. */
const NOTICE_MS = 5_000;

describe('stragglers', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 1,
      entries: 1,
      endpoints: ['engine-a', 'engine-b', 'engine-c'].map((id) => createEnginePlan(id)),
    });
    await deployment.waitReady();
    await deployment.applyTicket(stringify(createBaseTicket()));
  });

  after(() => deployment.stop());

  it('get no more than their share within seconds', async () => {
    let isRunning = true;
    const run = async () => {
      while (isRunning) {
        const body = createExplanationBody(`straggler ${Math.random()}`, 40);
        await askModel(deployment.entryUrl(), body, { team: 'weighers' });
      }
    };
    const callers = Array.from({ length: 10 }, run);
    await delay(1_500);
    await deployment.control('engine-a', { slowdown: SLOWDOWN });
    await delay(NOTICE_MS);
    const noticedAt = Date.now();
    await delay(5_000);
    isRunning = false;
    const counts = deployment.agentIds.map(
      (id) =>
        deployment.readRecords(id).filter(({ kind, at }) => kind === 'arrived' && at > noticedAt)
          .length,
    );
    await deployment.control('engine-a', { slowdown: 1 });
    await Promise.all(callers);
    const [slow = 0, ...others] = counts;
    const fast = others.reduce((sum, count) => sum + count, 0) / others.length;
    // Its share is a twentieth of what a healthy one gets; one request in flight is allowed for.
    assert.ok(slow <= fast / SLOWDOWN + 1, `the straggler got ${slow}, the others ${fast} each`);
  });
});

describe('orders', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 3,
      entries: 1,
      endpoints: [
        createEnginePlan('checking', 'kernel-lm', { checksFencing: true }),
        createEnginePlan('ignoring', 'assistant-fleet', { checksFencing: false }),
      ],
    });
    await deployment.waitReady();
    await deployment.applyTicket(stringify(createBaseTicket()));
  });

  after(() => deployment.stop());

  it('of an agent that was replaced while it was frozen change nothing', async () => {
    const ids = ['checking', 'ignoring'];
    await waitFor('the first orders', () => ids.every((id) => listOrders(id).length > 0));
    // The frozen agent keeps its port, so its successor of the same id cannot listen; it is moved.
    for (const id of ids) deployment.getProcess(id).signal('SIGSTOP');
    const successors = await Promise.all(ids.map((id) => deployment.startSuccessor(id)));
    await waitFor('the successors to hold leases', async () => {
      const { members } = await deployment.status();
      const names = successors.map(({ name }) => name);
      return names.every((name) => members.some(({ id, hasLease }) => id === name && hasLease));
    });
    const pools = createBaseTicket().pool ?? [];
    const changed = pools.map((pool) => ({
      ...pool,
      models: pool.models?.map((model) => model),
    }));
    const [kernel, assistant] = changed;
    kernel?.models?.push('kernel-lm-2');
    assistant?.models?.push('assistant-2');
    await deployment.applyTicket(stringify({ number: 2, pool: changed }));
    await waitFor('the successors to give orders', () =>
      ids.every((id) => listOrders(id).at(-1)?.detail?.includes('-2')),
    );
    const given = ids.map((id) => listOrders(id).length);
    for (const id of ids) deployment.getProcess(id).signal('SIGCONT');
    await delay(4_000);
    assert.deepEqual(
      ids.map((id) => listOrders(id).length),
      given,
      'the old order-givers changed nothing',
    );
    const body = createExplanationBody('after', 5);
    const answer = await askModel(deployment.entryUrl(), body, { team: 'weighers' });
    assert.equal(answer.endpoint, 'checking-successor');
  });

  function listOrders(id: string) {
    return deployment.readRecords(id).filter(({ kind }) => kind === 'order');
  }
});
