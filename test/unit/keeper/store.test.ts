/** The keeper's store: recovery from a torn or damaged end of the log, and snapshots. */

import assert from 'node:assert/strict';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { RaisedFailure } from '../../../src/common/failure.js';
import type { LogEntry } from '../../../src/generated/keeper.js';
import { openStore } from '../../../src/keeper/store.js';

function createEntry(index: number, term = 1): LogEntry {
  return { index, term, payload: { $case: 'noop', value: true } };
}

describe('the store', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'store-'));
  });

  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  async function writeEntries(count: number): Promise<string> {
    const store = await openStore(folder, { event() {} });
    await store.write({ term: 3, votedFor: 'x' }, []);
    for (let index = 1; index <= count; index += 1) {
      await store.write(undefined, [createEntry(index)]);
    }
    await store.close();
    return store.storeId;
  }

  async function reopenStore() {
    const store = await openStore(folder, { event() {} });
    await store.close();
    return store;
  }

  it('restores term, vote, entries and identity', async () => {
    const storeId = await writeEntries(3);
    const { state, storeId: reopenedStoreId } = await reopenStore();
    assert.deepEqual(state.initial.hardState, { term: 3, votedFor: 'x' });
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.index),
      [1, 2, 3],
    );
    assert.equal(reopenedStoreId, storeId);
  });

  it('replaces an entry and all after it by a later entry with the same index', async () => {
    await writeEntries(5);
    const store = await openStore(folder, { event() {} });
    await store.write(undefined, [createEntry(3, 2)]);
    await store.close();
    const { state } = await reopenStore();
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.term),
      [1, 1, 2],
    );
  });

  it('truncates a last record that was torn, at any byte', async () => {
    await writeEntries(2);
    const path = join(folder, 'log');
    const whole = readFileSync(path);
    const { length: before } = whole;
    await writeEntries(0);
    const store = await openStore(folder, { event() {} });
    await store.write(undefined, [createEntry(3)]);
    await store.close();
    const { length: after } = readFileSync(path);
    const bytes = readFileSync(path);
    for (let length = before + 1; length < after; length += 1) {
      writeFileSync(path, bytes);
      truncateSync(path, length);
      const { state } = await reopenStore();
      const indexes = state.initial.entries.map((entry) => entry.index);
      assert.ok(indexes.length >= 2 && indexes.length < 3, `cut at ${length}: ${indexes.join()}`);
    }
  });

  it('rejects a damaged batch before another one, as it may have been acknowledged', async () => {
    await writeEntries(2);
    const path = join(folder, 'log');
    const { length } = readFileSync(path);
    const store = await openStore(folder, { event() {} });
    await store.write(undefined, [createEntry(3)]);
    await store.close();
    const bytes = readFileSync(path);
    bytes.writeUInt8(bytes.readUInt8(length - 1) + 1, length - 1);
    writeFileSync(path, bytes);
    await assert.rejects(reopenStore(), (caught) => {
      assert.ok(caught instanceof RaisedFailure);
      return caught.failure.kind === 'storeCorrupt';
    });
  });

  it('truncates a last batch that a power loss left incomplete, at any byte', async () => {
    await writeEntries(2);
    const path = join(folder, 'log');
    const { length: before } = readFileSync(path);
    const store = await openStore(folder, { event() {} });
    await store.write(undefined, [createEntry(3), createEntry(4)]);
    await store.close();
    const whole = readFileSync(path);
    for (let position = before; position < whole.length; position += 1) {
      const torn = Buffer.from(whole);
      torn.writeUInt8((torn.readUInt8(position) + 1) % 256, position);
      writeFileSync(path, torn);
      const { state } = await reopenStore();
      const indexes = state.initial.entries.map((entry) => entry.index);
      assert.deepEqual(indexes, [1, 2], `damaged at ${position}`);
    }
  });

  it('rejects a folder whose identity file is missing', async () => {
    await writeEntries(1);
    rmSync(join(folder, 'identity'));
    await assert.rejects(reopenStore(), RaisedFailure);
  });

  it('starts from the latest snapshot and the entries after it', async () => {
    await writeEntries(10);
    const store = await openStore(folder, { event() {} });
    const header = { index: 8, term: 1, membership: { voters: [], learners: [] } };
    const snapshot = { header, state: Buffer.from('{}') };
    await store.saveSnapshot(snapshot, { term: 4, votedFor: '' }, [
      createEntry(9),
      createEntry(10),
    ]);
    await store.write(undefined, [createEntry(11)]);
    await store.close();
    const { state } = await reopenStore();
    assert.equal(state.initial.header.index, 8);
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.index),
      [9, 10, 11],
    );
    assert.equal(state.initial.hardState.term, 4);
  });

  it('ignores entries up to the snapshot if a crash kept the old log', async () => {
    await writeEntries(10);
    const oldLog = readFileSync(join(folder, 'log'));
    const store = await openStore(folder, { event() {} });
    const header = { index: 8, term: 1, membership: { voters: [], learners: [] } };
    await store.saveSnapshot({ header, state: Buffer.from('{}') }, { term: 1, votedFor: '' }, []);
    await store.close();
    writeFileSync(join(folder, 'log'), oldLog);
    const { state } = await reopenStore();
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.index),
      [9, 10],
    );
  });

  it('truncates zeros that a crash left at the end', async () => {
    await writeEntries(2);
    appendFileSync(join(folder, 'log'), Buffer.alloc(5));
    const { state } = await reopenStore();
    assert.equal(state.tornBytes, 5);
    assert.equal(state.initial.entries.length, 2);
  });
});
