/** Non-idempotent calls that use the same idempotency key, at the same entry or at two entries. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { callService } from '../fixtures/caller.js';
import { createDeployment, type Deployment } from '../fixtures/deployment.js';
import { createBaseTicketToml, createServicePlan } from '../fixtures/workloads.js';

const KEY_COUNT = 25;

describe('a call under one key', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 3,
      entries: 2,
      endpoints: [
        createServicePlan('desk-a', 'order-desk', 100),
        createServicePlan('desk-b', 'order-desk', 100),
      ],
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  function placeOrder(entry: number, key: string, body: string) {
    const options = { team: 'shops', headers: { 'idempotency-key': key } };
    return callService(deployment.entryUrl(entry), 'POST', 'order-desk/orders', body, options);
  }

  function countRuns(body: string): number {
    const records = deployment.agentIds.flatMap((id) => deployment.readRecords(id));
    return records.filter(({ kind, detail }) => kind === 'started' && detail?.endsWith(body))
      .length;
  }

  it('at two entries at the same time runs once, and both callers get its answer', async () => {
    const pairs = await Promise.all(
      Array.from({ length: KEY_COUNT }, (_unused, index) => {
        const key = `same-${index}`;
        return Promise.all([
          placeOrder(0, key, `body ${key}.`),
          placeOrder(1, key, `body ${key}.`),
        ]);
      }),
    );
    for (const [index, [left, right]] of pairs.entries()) {
      assert.deepEqual([left.status, right.status], [201, 201]);
      assert.equal(left.text, right.text);
      assert.equal(countRuns(`body same-${index}.`), 1);
    }
  });

  it('with two different bodies runs one of them and refuses the other as not run', async () => {
    for (let index = 0; index < KEY_COUNT; index += 1) {
      const key = `other-${index}`;
      const answers = await Promise.all([
        placeOrder(0, key, `left ${key}.`),
        placeOrder(1, key, `right ${key}.`),
      ]);
      const statuses = answers.map(({ status }) => status).sort();
      assert.deepEqual(statuses, [201, 409]);
      assert.equal(answers.find(({ status }) => status === 409)?.outcome, 'not_run');
      assert.equal(countRuns(`left ${key}.`) + countRuns(`right ${key}.`), 1);
    }
  });

  it('from two teams runs once for each team', async () => {
    const [shops, sorters] = await Promise.all(
      ['shops', 'sorters'].map((team) =>
        callService(deployment.entryUrl(), 'POST', 'order-desk/orders', 'teams.', {
          team,
          headers: { 'idempotency-key': 'shared' },
        }),
      ),
    );
    assert.deepEqual([shops?.status, sorters?.status], [201, 201]);
    assert.equal(countRuns('teams.'), 2);
  });
});
