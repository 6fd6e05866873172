/** The part of the fault matrix that runs with every change; `npm run faults` runs all of it. */

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

describe('what must always hold does hold', () => {
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
