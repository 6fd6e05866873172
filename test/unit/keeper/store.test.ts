/** The keeper's data folder: recovery after a torn or damaged end, snapshots. */

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
    const store = await openStore(folder);
    await store.write({ term: 3, votedFor: 'x' }, []);
    for (let index = 1; index <= count; index += 1) {
      await store.write(undefined, [createEntry(index)]);
    }
    await store.close();
    return store.storeId;
  }

  async function readState() {
    const store = await openStore(folder);
    await store.close();
    return store;
  }

  it('keeps term, vote, entries and identity', async () => {
    const storeId = await writeEntries(3);
    const { state, storeId: again } = await readState();
    assert.deepEqual(state.initial.hardState, { term: 3, votedFor: 'x' });
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.index),
      [1, 2, 3],
    );
    assert.equal(again, storeId);
  });

  it('lets a later entry of the same index replace what follows', async () => {
    await writeEntries(5);
    const store = await openStore(folder);
    await store.write(undefined, [createEntry(3, 2)]);
    await store.close();
    const { state } = await readState();
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.term),
      [1, 1, 2],
    );
  });

  it('cuts off a record that was torn at any byte', async () => {
    await writeEntries(2);
    const path = join(folder, 'log');
    const whole = readFileSync(path);
    const { length: before } = whole;
    await writeEntries(0);
    const store = await openStore(folder);
    await store.write(undefined, [createEntry(3)]);
    await store.close();
    const { length: after } = readFileSync(path);
    const bytes = readFileSync(path);
    for (let length = before + 1; length < after; length += 1) {
      writeFileSync(path, bytes);
      truncateSync(path, length);
      const { state } = await readState();
      const indexes = state.initial.entries.map((entry) => entry.index);
      assert.ok(indexes.length >= 2 && indexes.length < 3, `cut at ${length}: ${indexes.join()}`);
    }
  });

  it('refuses a damaged batch that another follows, as it may have been acknowledged', async () => {
    await writeEntries(2);
    const path = join(folder, 'log');
    const { length } = readFileSync(path);
    const store = await openStore(folder);
    await store.write(undefined, [createEntry(3)]);
    await store.close();
    const bytes = readFileSync(path);
    bytes.writeUInt8(bytes.readUInt8(length - 1) + 1, length - 1);
    writeFileSync(path, bytes);
    await assert.rejects(readState(), (caught) => {
      assert.ok(caught instanceof RaisedFailure);
      return caught.failure.kind === 'storeCorrupt';
    });
  });

  it('cuts off a last batch of which a power loss kept only a part, at any byte', async () => {
    await writeEntries(2);
    const path = join(folder, 'log');
    const { length: before } = readFileSync(path);
    const store = await openStore(folder);
    await store.write(undefined, [createEntry(3), createEntry(4)]);
    await store.close();
    const whole = readFileSync(path);
    for (let position = before; position < whole.length; position += 1) {
      const torn = Buffer.from(whole);
      torn.writeUInt8((torn.readUInt8(position) + 1) % 256, position);
      writeFileSync(path, torn);
      const { state } = await readState();
      const indexes = state.initial.entries.map((entry) => entry.index);
      assert.deepEqual(indexes, [1, 2], `damaged at ${position}`);
    }
  });

  it('refuses a folder whose identity is gone', async () => {
    await writeEntries(1);
    rmSync(join(folder, 'identity'));
    await assert.rejects(readState(), RaisedFailure);
  });

  it('starts from the newest snapshot and the entries behind it', async () => {
    await writeEntries(10);
    const store = await openStore(folder);
    const header = { index: 8, term: 1, membership: { voters: [], learners: [] } };
    const snapshot = { header, state: Buffer.from('{}') };
    await store.saveSnapshot(snapshot, { term: 4, votedFor: '' }, [
      createEntry(9),
      createEntry(10),
    ]);
    await store.write(undefined, [createEntry(11)]);
    await store.close();
    const { state } = await readState();
    assert.equal(state.initial.header.index, 8);
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.index),
      [9, 10, 11],
    );
    assert.equal(state.initial.hardState.term, 4);
  });

  it('ignores old entries when a crash came between the snapshot and the new log', async () => {
    await writeEntries(10);
    const oldLog = readFileSync(join(folder, 'log'));
    const store = await openStore(folder);
    const header = { index: 8, term: 1, membership: { voters: [], learners: [] } };
    await store.saveSnapshot({ header, state: Buffer.from('{}') }, { term: 1, votedFor: '' }, []);
    await store.close();
    writeFileSync(join(folder, 'log'), oldLog);
    const { state } = await readState();
    assert.deepEqual(
      state.initial.entries.map((entry) => entry.index),
      [9, 10],
    );
  });

  it('cuts off zeros that a crash left at the end', async () => {
    await writeEntries(2);
    appendFileSync(join(folder, 'log'), Buffer.alloc(5));
    const { state } = await readState();
    assert.equal(state.tornBytes, 5);
    assert.equal(state.initial.entries.length, 2);
  });
});
