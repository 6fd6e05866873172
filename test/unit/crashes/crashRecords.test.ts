/** Crash records merge in any order, expire everywhere alike and stay bounded. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashRecords } from '../../../src/crashes/crashRecords.js';
import type { CrashRecord } from '../../../src/generated/control.js';

const SUSPECT_RETENTION_MS = 60_000;

function createRecord(trait: string, crashes: string[], changes: Partial<CrashRecord> = {}) {
  return { trait, specificity: 0, crashes, isCleared: false, ageMs: 0, ...changes };
}

describe('crash records', () => {
  it('are the same in whichever order they arrive', () => {
    const crashes = Array.from({ length: 40 }, (_unused, index) => `endpoint-${index} 1`);
    const received = crashes.map((crash) => createRecord('part', [crash]));
    const [forward, backward] = [createCrashRecords(() => 0), createCrashRecords(() => 0)];
    for (const record of received) forward.merge(record);
    for (const record of received.reverse()) backward.merge(record);
    assert.deepEqual(forward.tryGet('part'), backward.tryGet('part'));
  });

  it('stay cleared when evidence from before arrives late', () => {
    const records = createCrashRecords(() => 0);
    records.merge(createRecord('part', [], { isCleared: true }));
    records.merge(createRecord('part', ['a', 'b', 'c']));
    assert.equal(records.tryGet('part')?.isCleared, true);
  });

  it('are passed on to each receiver as they change, all of them at first', () => {
    const records = createCrashRecords(() => 0);
    records.merge(createRecord('first', ['a']));
    const cursor = records.openCursor();
    assert.deepEqual(cursor.takeChanged(), records.list());
    records.merge(createRecord('second', ['a']));
    assert.equal(records.merge(createRecord('first', ['a'])), false);
    const changed = cursor.takeChanged().map(({ trait }) => trait);
    assert.deepEqual(changed, ['second']);
    assert.deepEqual(cursor.takeChanged(), []);
    assert.equal(records.list().length, 2);
    assert.equal(records.openCursor().takeChanged().length, 2);
  });

  it('are not revived by a process that still holds them', () => {
    let time = 0;
    const [left, right] = [createCrashRecords(() => time), createCrashRecords(() => time)];
    left.merge(createRecord('part', ['a']));
    for (time = 0; time <= SUSPECT_RETENTION_MS; time += 1_000) {
      for (const record of left.list()) right.merge(record);
      for (const record of right.list()) left.merge(record);
    }
    time = SUSPECT_RETENTION_MS + 1_000;
    assert.deepEqual([left.list(), right.list()], [[], []]);
  });

  it('keep their age at a process that has just started', () => {
    let time = 0;
    const records = createCrashRecords(() => time);
    records.merge(createRecord('part', ['a'], { ageMs: SUSPECT_RETENTION_MS - 1_000 }));
    time = 2_000;
    assert.deepEqual(records.list(), []);
  });

  it('keep those that explain several crashes when there are too many', () => {
    const records = createCrashRecords(() => 0);
    records.merge(createRecord('bad', ['a', 'b', 'c']));
    for (let count = 0; count < 5_000; count += 1) records.merge(createRecord(`${count}`, ['a']));
    assert.ok(records.size <= 512);
    assert.deepEqual(records.tryGet('bad')?.crashes, ['a', 'b', 'c']);
  });
});
