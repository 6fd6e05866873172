/** The keeper's store on a disk that fails, writes in part, drops pages and loses power. */

import assert from 'node:assert/strict';
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RaisedFailure } from '../../../src/common/failure.js';
import type { HardState, LogEntry } from '../../../src/generated/keeper.js';
import { openStore, quarantineStore, type Store } from '../../../src/keeper/store.js';
import {
  createFaultyDisk,
  type DiskFault,
  type DiskOperation,
  type FaultyDisk,
} from '../../fixtures/faultyDisk.js';

const SEEDS = 60;
const RUNS_PER_SEED = 5;
const WRITES_PER_RUN = 8;
const logger = { event() {} };
const membership = { voters: [], learners: [] };

function createEntry(index: number, term = 1): LogEntry {
  return { index, term, payload: { $case: 'noop', value: true } };
}

/** Lets retries follow each other without a delay. */
function skipDelays(): void {
  mock.method(globalThis, 'setTimeout', ((run: () => void) => setImmediate(run)) as never);
}

describe('the store on a failing disk', () => {
  let parent: string;
  let folder: string;
  let disk: FaultyDisk;

  beforeEach(() => {
    parent = mkdtempSync(join(tmpdir(), 'store-'));
    folder = join(parent, 'keeper');
    mkdirSync(folder);
    skipDelays();
  });

  afterEach(() => {
    disk?.restore();
    mock.restoreAll();
    rmSync(parent, { recursive: true, force: true });
  });

  function startDisk(decide: (operation: DiskOperation) => DiskFault | undefined): void {
    disk = createFaultyDisk(folder, decide);
  }

  async function readAll(): Promise<Store> {
    const store = await openStore(folder, logger);
    await store.close();
    return store;
  }

  function listIndexes(store: Store): number[] {
    return store.state.initial.entries.map((entry) => entry.index);
  }

  it('reads back later batches after a write in part whose removal failed', async () => {
    const faults: [DiskOperation, DiskFault][] = [];
    startDisk((operation) => (faults[0]?.[0] === operation ? faults.shift()?.[1] : undefined));
    const store = await openStore(folder, logger);
    await store.write({ term: 1, votedFor: '' }, [createEntry(1)]);
    faults.push(['write', { code: 'ENOSPC', writtenPart: 0.5 }], ['truncate', { code: 'EIO' }]);
    await store.write(undefined, [createEntry(2)]);
    faults.length = 0;
    await store.write(undefined, [createEntry(3)]);
    await store.close();
    assert.deepEqual(listIndexes(await readAll()), [1, 2, 3]);
  });

  it('does not acknowledge pages that a failed sync dropped', async () => {
    let failingSyncs = 0;
    startDisk((operation) => {
      if (operation !== 'sync' || failingSyncs === 0) return undefined;
      failingSyncs -= 1;
      return { code: 'EIO' };
    });
    const store = await openStore(folder, logger);
    failingSyncs = 1;
    await store.write({ term: 1, votedFor: '' }, [createEntry(1)]);
    await store.close();
    disk.losePower();
    assert.deepEqual(listIndexes(await readAll()), [1]);
  });

  it('syncs again at the start what a failed sync before a restart dropped', async () => {
    let isFailing = false;
    startDisk((operation) => (isFailing && operation === 'sync' ? { code: 'EIO' } : undefined));
    const first = await openStore(folder, logger);
    isFailing = true;
    const written = first.write({ term: 1, votedFor: '' }, [createEntry(1)]);
    const rejected = assert.rejects(written, RaisedFailure);
    await first.close();
    await rejected;
    isFailing = false;
    const second = await openStore(folder, logger);
    const found = listIndexes(second);
    await second.close();
    disk.losePower();
    assert.deepEqual(listIndexes(await readAll()), found);
  });

  for (const failing of ['open', 'write', 'truncate', 'sync', 'rename', 'close'] as const) {
    it(`opens and saves a snapshot once ${failing} succeeds again`, () => openAndSave(failing));
  }

  async function openAndSave(failing: DiskOperation): Promise<void> {
    let failures = 0;
    startDisk((operation) => {
      if (operation !== failing || failures === 0) return undefined;
      failures -= 1;
      return { code: 'ENOSPC' };
    });
    for (let failure = 1; failure < 8; failure += 1) {
      failures = failure;
      const store = await openStore(folder, logger);
      const index = failure * 10;
      const header = { index, term: 1, membership };
      const snapshot = { header, state: Buffer.from('{}') };
      failures = failure;
      await store.saveSnapshot(snapshot, { term: 1, votedFor: '' }, [createEntry(index + 1)]);
      failures = 0;
      await store.write(undefined, [createEntry(index + 2)]);
      await store.close();
      disk?.losePower();
      const { state } = await readAll();
      assert.equal(state.initial.header.index, index);
      assert.deepEqual(
        state.initial.entries.map((entry) => entry.index),
        [index + 1, index + 2],
      );
    }
  }

  it('stops waiting for the disk when the start is aborted or the store closed', async () => {
    let isFull = true;
    startDisk((operation) => (isFull && operation === 'write' ? { code: 'ENOSPC' } : undefined));
    const starting = new AbortController();
    const opening = openStore(folder, logger, starting.signal);
    starting.abort();
    await assert.rejects(opening, RaisedFailure);
    isFull = false;
    const store = await openStore(folder, logger);
    isFull = true;
    const written = store.write({ term: 1, votedFor: '' }, []);
    const rejected = assert.rejects(written, RaisedFailure);
    await store.close();
    await rejected;
  });

  it('closes with all that it acknowledged, although the close of its file fails', async () => {
    let isFailing = false;
    startDisk((operation) => (isFailing && operation === 'close' ? { code: 'EIO' } : undefined));
    const store = await openStore(folder, logger);
    await store.write({ term: 1, votedFor: '' }, [createEntry(1)]);
    isFailing = true;
    await store.close();
    isFailing = false;
    disk.losePower();
    assert.deepEqual(listIndexes(await readAll()), [1]);
  });

  it('moves a damaged folder aside under a name that is not taken', async () => {
    const names = [7, 8].map((suffix) => `${folder}.corrupt-${suffix}`);
    mkdirSync(join(names[0] ?? '', 'earlier'), { recursive: true });
    await quarantineStore(folder, 7, logger);
    const store = await openStore(folder, logger);
    await store.close();
    rmSync(names[1] ?? '', { recursive: true });
  });

  it('drops entries that are older than a snapshot installed before a power loss', async () => {
    const store = await openStore(folder, logger);
    const entries = [1, 2, 3, 4].map((index) => createEntry(index));
    await store.write({ term: 1, votedFor: '' }, entries);
    await store.write(undefined, [createEntry(2, 2)]);
    const renames = { left: 1 };
    startDisk((operation) => {
      if (operation !== 'rename') return undefined;
      renames.left -= 1;
      return renames.left < 0 ? { code: 'EIO' } : undefined;
    });
    const header = { index: 2, term: 3, membership };
    const snapshot = { header, state: Buffer.from('{}') };
    const saved = store.saveSnapshot(snapshot, { term: 3, votedFor: '' }, []);
    const rejected = assert.rejects(saved, RaisedFailure);
    while (renames.left > -2) await new Promise(setImmediate);
    await store.close();
    await rejected;
    assert.deepEqual(listIndexes(await readAll()), []);
  });

  it(`reads back all that it acknowledged, with ${SEEDS} seeds`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      await runSeed(seed);
      rmSync(folder, { recursive: true, force: true });
      mkdirSync(folder);
    }
  });

  async function runSeed(seed: number): Promise<void> {
    const generator = xoroshiro128plus(seed);
    const below = (limit: number): number => uniformInt(generator, 0, limit - 1);
    let faultPercent = 0;
    const codes = ['ENOSPC', 'EIO', 'EROFS', 'EMFILE'];
    startDisk((operation) => {
      if (below(100) >= faultPercent) return undefined;
      const writtenPart = below(5) / 5;
      if (operation === 'write' && below(3) === 0) return { code: '', writtenPart: 0.6 };
      return { code: codes[below(codes.length)] ?? '', writtenPart };
    });
    let hardState: HardState = { term: 1, votedFor: '' };
    let attempted = hardState;
    let lastIndex = 0;
    let term = 1;
    let storeId = '';
    const acknowledged = new Map<number, number>();
    for (let run = 0; run < RUNS_PER_SEED; run += 1) await runOnce(run);
    disk?.restore();

    async function runOnce(run: number): Promise<void> {
      faultPercent = below(40);
      const store = await openStore(folder, logger);
      check(store, run);
      for (let count = 0; count < WRITES_PER_RUN; count += 1) {
        if (below(5) === 0) await saveSnapshot(store);
        else await writeSome(store);
      }
      await endRun(store);
    }

    async function writeSome(store: Store): Promise<void> {
      if (below(4) === 0) term += 1;
      attempted = { term, votedFor: `v${below(3)}` };
      const first = lastIndex + 1;
      const entries = Array.from({ length: 1 + below(4) }, (_unused, offset) =>
        createEntry(first + offset, term),
      );
      await store.write(attempted, entries);
      hardState = attempted;
      for (const entry of entries) acknowledged.set(entry.index, entry.term);
      lastIndex += entries.length;
    }

    async function saveSnapshot(store: Store): Promise<void> {
      const index = lastIndex - below(Math.min(3, lastIndex + 1));
      const entryTerm = acknowledged.get(index);
      if (entryTerm === undefined) return;
      const kept = [...acknowledged].filter(([keptIndex]) => keptIndex > index);
      const header = { index, term: entryTerm, membership };
      const entries = kept.map(([keptIndex, keptTerm]) => createEntry(keptIndex, keptTerm));
      await store.saveSnapshot({ header, state: Buffer.from('{}') }, hardState, entries);
    }

    /** Ends in a power loss, a kill during a write, or regularly. */
    async function endRun(store: Store): Promise<void> {
      const way = below(3);
      if (way === 0) {
        faultPercent = 100;
        const entry = createEntry(lastIndex + 1, term);
        const rejected = assert.rejects(store.write(undefined, [entry]));
        await store.close().catch(() => {});
        await rejected;
      } else await store.close().catch(() => {});
      faultPercent = 0;
      if (way < 2) disk.losePower();
    }

    function check(store: Store, run: number): void {
      const place = `seed ${seed}, run ${run}`;
      const { header, entries, hardState: found } = store.state.initial;
      if (run > 0) {
        assert.equal(store.storeId, storeId, place);
        assert.deepEqual(found, hardState, place);
      }
      ({ storeId } = store);
      for (let index = header.index + 1; index <= lastIndex; index += 1) {
        const entry = entries[index - header.index - 1];
        assert.equal(entry?.term, acknowledged.get(index), `${place}: entry ${index}`);
      }
      assert.ok(header.index <= lastIndex, place);
      for (const entry of entries) acknowledged.set(entry.index, entry.term);
      lastIndex = Math.max(lastIndex, header.index + entries.length);
    }
  }
});
