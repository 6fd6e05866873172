/** Cells of the fault matrix that run on every change; `npm run faults` runs the whole matrix. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { Deployment } from '../fixtures/deployment.js';
import { runCell, type StepName } from './cells.js';
import { faults } from './faultKinds.js';
import { createMatrixDeployment } from './matrixDeployment.js';

const cells: [string, StepName][] = [
  ['agentKilled', 'granted'],
  ['agentKilled', 'dispatched'],
  ['agentKilled', 'midway'],
  ['linkCut', 'granted'],
  ['linkReset', 'dispatched'],
  ['linkSilentToAgent', 'granted'],
  ['entryKilled', 'claimed'],
  ['endpointKilled', 'midway'],
  ['leaderDiskLost', 'claimed'],
  ['agentKilledLinkCut', 'dispatched'],
];

describe('the invariants of requests hold', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createMatrixDeployment();
  });

  after(() => deployment.stop());

  async function checkCell(faultName: string, step: StepName): Promise<void> {
    const fault = faults[faultName];
    assert.ok(fault !== undefined);
    const { violations } = await runCell(deployment, fault, step);
    assert.deepEqual(violations, []);
  }

  for (const [faultName, step] of cells) {
    it(`with ${faultName} at ${step}`, () => checkCell(faultName, step));
  }
});
