/** Tables that are declared while an earlier one is on its way. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toFailure } from '../../../src/common/failure.js';
import type { DeclareResponse } from '../../../src/generated/control.js';
import type { TableDocument } from '../../../src/generated/keeper.js';
import { createDeclarations } from '../../../src/keeper/declarations.js';

const TIMEOUT_MS = 100;

interface Run {
  revision: number;
  resolve(response: DeclareResponse): void;
  reject(caught: Error): void;
}

function createTable(revision: number): TableDocument {
  return { revision, document: Buffer.alloc(1) };
}

/** Declarations whose runs the test settles. */
function createSubject() {
  const runs: Run[] = [];
  const declarations = createDeclarations(
    ({ revision }) =>
      new Promise((resolve, reject) => {
        runs.push({ revision, resolve, reject });
      }),
    TIMEOUT_MS,
  );
  const declare = (revision: number) => declarations.declare(createTable(revision));
  return { runs, declare };
}

function accept(run: Run | undefined): void {
  assert.ok(run !== undefined);
  run.resolve({ outcome: 'accepted', revision: run.revision });
}

async function nextTurn(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('tables that are declared at once', () => {
  it('reach the leader one at a time, only the newest of those that wait', async () => {
    const { runs, declare } = createSubject();
    const responses = [2, 3, 6, 5, 4].map(declare);
    assert.deepEqual(
      runs.map(({ revision }) => revision),
      [2],
    );
    accept(runs[0]);
    await nextTurn();
    assert.deepEqual(
      runs.map(({ revision }) => revision),
      [2, 6],
    );
    accept(runs[1]);
    assert.deepEqual(await Promise.all(responses), [
      { outcome: 'accepted', revision: 2 },
      { outcome: 'superseded', revision: 6 },
      { outcome: 'accepted', revision: 6 },
      { outcome: 'superseded', revision: 6 },
      { outcome: 'superseded', revision: 6 },
    ]);
  });

  it('are not acknowledged before the one that supersedes them is in force', async () => {
    const { runs, declare } = createSubject();
    const first = declare(2);
    const others = [3, 4].map(declare);
    accept(runs[0]);
    await first;
    runs[1]!.reject(new TypeError('no majority'));
    const outcomes = await Promise.allSettled(others);
    assert.ok(outcomes.every(({ status }) => status === 'rejected'));
    const retried = declare(3);
    await nextTurn();
    accept(runs[2]);
    assert.deepEqual(await retried, { outcome: 'accepted', revision: 3 });
  });

  it('are superseded without the leader by one that came into force meanwhile', async () => {
    const { runs, declare } = createSubject();
    const responses = [5, 4].map(declare);
    accept(runs[0]);
    assert.deepEqual((await Promise.all(responses))[1], { outcome: 'superseded', revision: 5 });
    assert.equal(runs.length, 1);
  });

  it('are answered in time when the leader is silent', async () => {
    const { runs, declare } = createSubject();
    for (const outcome of await Promise.allSettled([2, 3].map(declare))) {
      assert.ok(outcome.status === 'rejected');
      assert.equal(toFailure(outcome.reason).kind, 'unavailable');
    }
    assert.equal(runs.length, 1);
  });
});
