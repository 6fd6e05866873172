/** Crash records survive a restart, as long as they would have been kept without one. */

import assert from 'node:assert/strict';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createCrashRecords } from '../../../src/crashes/crashRecords.js';
import { startCrashRecordStore } from '../../../src/crashes/crashRecordStore.js';
import { waitFor } from '../../fixtures/deployment.js';

const HOUR_MS = 60 * 60 * 1_000;

describe('the store of crash records', () => {
  const folder = mkdtempSync(join(tmpdir(), 'turmericrack-'));
  const path = join(folder, 'crashes');

  after(() => rmSync(folder, { recursive: true, force: true }));

  function start(clock: VirtualClock) {
    const logged: string[] = [];
    const records = createCrashRecords(() => clock.now());
    const logger = { event: (name: string) => void logged.push(name) };
    return { records, logged, store: startCrashRecordStore({ clock, logger, records, path }) };
  }

  it('returns the records that were saved, with their age', async () => {
    const first = start(new VirtualClock(0));
    const record = { trait: 'part', specificity: 1, crashes: ['a', 'b', 'c'], isCleared: false };
    first.records.merge({ ...record, ageMs: 0 });
    await waitFor('the file', () => existsSync(path));
    first.store.close();
    const next = start(new VirtualClock(HOUR_MS / 2));
    assert.deepEqual(next.records.list(), [{ ...record, ageMs: HOUR_MS / 2 }]);
    next.store.close();
    const late = start(new VirtualClock(2 * HOUR_MS));
    assert.equal(late.records.size, 0);
    late.store.close();
  });

  it('starts without records if the file is damaged, and logs it', () => {
    const bytes = readFileSync(path);
    bytes.writeUInt8(255 - bytes.readUInt8(bytes.length - 1), bytes.length - 1);
    writeFileSync(path, bytes);
    const { records, logged, store } = start(new VirtualClock(0));
    store.close();
    assert.equal(records.size, 0);
    assert.deepEqual(logged, ['crashRecordsLost']);
  });
});
