/**
 * Durable state of a keeper: the files `identity`, `log` and `snapshot` in its data folder.
 * The log is a sequence of batches, each of them one record with everything that one synced write
 * added. A batch is written only after the previous one is synced, so a power loss can damage only
 * the last one.
 */

import { randomUUID } from 'node:crypto';
import { existsSync, mkdirSync, readFileSync, renameSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { join } from 'node:path';
import { raise } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import {
  LogBatch,
  SnapshotFile,
  type HardState,
  type LogEntry,
  type LogRecord,
} from '../generated/keeper.js';
import type { InitialRaftState } from './raftCore.js';
import { emptySnapshotHeader } from './raftLog.js';
import {
  encodeRecord,
  readRecord,
  RECORD_HEADER_BYTES,
  replaceFile,
  retryOnDiskError,
  syncFolder,
  writeAll,
} from '../common/recordFile.js';

/** Contents of a store when it was opened. */
export interface StoredState {
  initial: InitialRaftState;
  snapshot: SnapshotFile | undefined;
  /** Size of the incomplete batch that was truncated from the end of the log. */
  tornBytes: number;
}

/** The durable store of one keeper. */
export interface Store {
  /** Random identity of the data folder; a keeper that loses its folder gets a new one. */
  readonly storeId: string;
  readonly state: StoredState;
  /** Appends a batch to the log. Resolves once it is synced. */
  write(hardState: HardState | undefined, entries: readonly LogEntry[]): Promise<void>;
  /**
   * Replaces the snapshot, then the contents of the log by `hardState` and `entries`. Resolves with
   * the size of the snapshot in bytes.
   */
  saveSnapshot(
    snapshot: SnapshotFile,
    hardState: HardState,
    entries: readonly LogEntry[],
  ): Promise<number>;
  close(): Promise<void>;
}

/** Opens or creates the store in `folder`. Raises `storeCorrupt`. */
export async function openStore(folder: string, logger: Logger): Promise<Store> {
  mkdirSync(folder, { recursive: true });
  const storeId = await readStoreId(folder);
  const logPath = join(folder, 'log');
  const snapshotPath = join(folder, 'snapshot');
  const snapshot = readSnapshot(snapshotPath);
  const recovered = recoverLog(logPath, snapshot);
  let log = await open(logPath, 'a');
  let logBytes = recovered.validBytes;
  await log.truncate(recovered.validBytes);
  await log.datasync();
  await syncFolder(folder);

  return {
    storeId,
    state: { initial: recovered.initial, snapshot, tornBytes: recovered.tornBytes },
    write,
    saveSnapshot,
    close: () => log.close(),
  };

  async function write(
    hardState: HardState | undefined,
    entries: readonly LogEntry[],
  ): Promise<void> {
    const bytes = encodeBatch(hardState, entries);
    if (bytes.length === 0) return;
    await retryOnDiskError(logger, 'append to the log', async () => {
      try {
        await writeAll(log, bytes);
        await log.datasync();
      } catch (caught) {
        // Removes what was written of the failed batch, so that it does not precede the next one.
        await log.truncate(logBytes);
        throw caught;
      }
    });
    logBytes += bytes.length;
  }

  async function saveSnapshot(
    next: SnapshotFile,
    hardState: HardState,
    entries: readonly LogEntry[],
  ): Promise<number> {
    const payload = Buffer.from(SnapshotFile.encode(next).finish());
    const records = encodeBatch(hardState, entries);
    await retryOnDiskError(logger, 'write the snapshot', () =>
      replaceFile(snapshotPath, encodeRecord(payload)),
    );
    // The truncated log must not become durable before the snapshot that it depends on.
    await syncFolder(folder);
    await retryOnDiskError(logger, 'truncate the log', () => replaceFile(logPath, records));
    await syncFolder(folder);
    await log.close();
    log = await open(logPath, 'a');
    logBytes = records.length;
    return payload.length;
  }
}

/** Renames a corrupt data folder, so that the keeper can rejoin as a new member. */
export function quarantineStore(folder: string, wallTime: number): void {
  renameSync(folder, `${folder}.corrupt-${wallTime}`);
}

async function readStoreId(folder: string): Promise<string> {
  const path = join(folder, 'identity');
  if (existsSync(path)) return readFileSync(path, 'utf8').trim();
  if (existsSync(join(folder, 'log'))) raise({ kind: 'storeCorrupt', reason: 'no identity file' });
  const storeId = randomUUID();
  await replaceFile(path, Buffer.from(`${storeId}\n`));
  await syncFolder(folder);
  return storeId;
}

function readSnapshot(path: string): SnapshotFile | undefined {
  if (!existsSync(path)) return undefined;
  const bytes = readFileSync(path);
  const record = readRecord(bytes, 0);
  if (record.kind !== 'record') raise({ kind: 'storeCorrupt', reason: 'snapshot is damaged' });
  return SnapshotFile.decode(record.payload);
}

interface RecoveredLog {
  initial: InitialRaftState;
  validBytes: number;
  tornBytes: number;
}

function recoverLog(path: string, snapshot: SnapshotFile | undefined): RecoveredLog {
  const bytes = existsSync(path) ? readFileSync(path) : Buffer.alloc(0);
  const header = snapshot?.header ?? emptySnapshotHeader;
  let hardState: HardState = { term: 0, votedFor: '' };
  const entries: LogEntry[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const batch = readRecord(bytes, offset);
    if (batch.kind !== 'record') {
      // A record after it proves that this batch was synced, so it may have been acknowledged.
      if (!hasRecordAfter(bytes, offset)) break;
      raise({ kind: 'storeCorrupt', reason: `damaged batch at byte ${offset}` });
    }
    offset = batch.end;
    for (const { record } of LogBatch.decode(batch.payload).records) {
      if (record?.$case === 'hardState') hardState = record.value;
      if (record?.$case === 'entry') insertEntry(entries, record.value, header.index);
    }
  }
  const initial = { hardState, header, entries };
  return { initial, validBytes: offset, tornBytes: bytes.length - offset };
}

function insertEntry(entries: LogEntry[], entry: LogEntry, snapshotIndex: number): void {
  if (entry.index <= snapshotIndex) return;
  const position = entry.index - snapshotIndex - 1;
  if (position > entries.length) raise({ kind: 'storeCorrupt', reason: `gap at ${entry.index}` });
  entries.length = position;
  entries.push(entry);
}

function hasRecordAfter(bytes: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + RECORD_HEADER_BYTES < bytes.length; start += 1) {
    // Any run of zeros would decode as an empty record.
    if (bytes.readUInt32BE(start) === 0) continue;
    if (readRecord(bytes, start).kind === 'record') return true;
  }
  return false;
}

function encodeBatch(hardState: HardState | undefined, entries: readonly LogEntry[]): Buffer {
  const records: LogRecord[] = entries.map((value) => ({ record: { $case: 'entry', value } }));
  if (hardState !== undefined) {
    records.unshift({ record: { $case: 'hardState', value: hardState } });
  }
  if (records.length === 0) return Buffer.alloc(0);
  return encodeRecord(Buffer.from(LogBatch.encode({ records }).finish()));
}
