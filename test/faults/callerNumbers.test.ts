/** Numbers that callers state in headers, to real processes. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

/** Several intervals at which a gateway reports its load. */
const WORK_MS = 1_000;

describe('a number that a caller states', () => {
  let deployment: GatewayDeployment;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: 8, workMs: WORK_MS },
    ]);
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitServing();
  });

  after(() => deployment.stop());

  // A gateway lost its connections to all keepers again and again while it ran such a request.
  it('cuts no gateway off from the keepers, however odd it is', async () => {
    const odd = ['1e12,80', '-5,80', '1.5,80'].map((tokens, index) =>
      deployment.call(0, '/work/1', `odd-${index}`, { 'turmericrack-token-usage': tokens }),
    );
    const answers = await Promise.all(odd);
    assert.deepEqual(
      answers.map(({ status }) => status),
      [200, 200, 200],
    );
    const { output } = deployment.getProcess('gateway-0');
    assert.deepEqual(
      output.filter((line) => line.includes('"keeperDisconnected"')),
      [],
    );
  });
});
