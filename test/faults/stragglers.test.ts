/** Endpoints that slow down without reporting it, and agents that resume with a stale token. */

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

const SLOWDOWN_FACTOR = 20;
/** Time after which a straggler must get no more than its share of the requests. */
const DETECTION_LIMIT_MS = 5_000;

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

  it('get no more than their share of the requests after a few seconds', async () => {
    let isRunning = true;
    const run = async () => {
      while (isRunning) {
        const body = createExplanationBody(`straggler ${Math.random()}`, 40);
        await askModel(deployment.entryUrl(), body, { team: 'weighers' });
      }
    };
    const callers = Array.from({ length: 10 }, run);
    await delay(1_500);
    await deployment.control('engine-a', { slowdown: SLOWDOWN_FACTOR });
    await delay(DETECTION_LIMIT_MS);
    const countedSince = Date.now();
    await delay(5_000);
    isRunning = false;
    const counts = deployment.agentIds.map(
      (id) =>
        deployment.readRecords(id).filter(({ kind, at }) => kind === 'arrived' && at > countedSince)
          .length,
    );
    await deployment.control('engine-a', { slowdown: 1 });
    await Promise.all(callers);
    const [slow = 0, ...others] = counts;
    const fast = others.reduce((sum, count) => sum + count, 0) / others.length;
    // Its share is 1/SLOWDOWN_FACTOR of a healthy endpoint's; one request in flight is tolerated.
    assert.ok(
      slow <= fast / SLOWDOWN_FACTOR + 1,
      `the straggler got ${slow}, the others ${fast} each`,
    );
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

  it('of an agent that was replaced while frozen have no effect', async () => {
    const ids = ['checking', 'ignoring'];
    await waitFor('the first orders', () => ids.every((id) => listOrderRecords(id).length > 0));
    // A frozen agent still holds its port, so a successor with the same id could not listen; the
    // successors therefore have ids and ports of their own.
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
    await waitFor('the orders of the successors', () =>
      ids.every((id) => listOrderRecords(id).at(-1)?.detail?.includes('-2')),
    );
    const orders = ids.map(listOrderRecords);
    for (const id of ids) deployment.getProcess(id).signal('SIGCONT');
    await delay(4_000);
    assert.deepEqual(
      ids.map(listOrderRecords),
      orders,
      'the orders of the replaced agents had no effect',
    );
    const body = createExplanationBody('after', 5);
    const answer = await askModel(deployment.entryUrl(), body, { team: 'weighers' });
    assert.equal(answer.endpoint, 'checking-successor');
  });

  function listOrderRecords(id: string) {
    return deployment.readRecords(id).filter(({ kind }) => kind === 'order');
  }
});
