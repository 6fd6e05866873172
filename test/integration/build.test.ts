/** Programs that start from an output folder while builds replace its files. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { startProcess, type TestProcess } from '../fixtures/processes.js';

const ROUNDS = 3;
const BUILDS_AT_ONCE = 2;

function startBuild(): TestProcess {
  return startProcess('build', 'scripts/build.mjs', ['target']);
}

describe('a build', () => {
  it('never leaves a program without its modules, also when two run at once', async () => {
    assert.equal(await startBuild().exited, 0);
    const failures: string[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const builds = Array.from({ length: BUILDS_AT_ONCE }, startBuild);
      while (builds.some((build) => build.isRunning)) {
        const program = startProcess('program', 'target/platform.mjs', ['--help']);
        if ((await program.exited) !== 0) failures.push(program.output.join('\n'));
      }
      for (const build of builds) assert.equal(await build.exited, 0, build.output.join('\n'));
    }
    assert.deepEqual(failures, []);
  });
});
