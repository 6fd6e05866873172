/**
 * Durable state of a keeper: the files `identity`, `log` and `snapshot` in its data folder, and
 * `committed`, which may be older than the others or absent.
 * The log is a sequence of batches, each of them one record with everything that one synced write
 * added. A batch is written only after the previous one is synced, so a power loss can damage only
 * the last one. A batch whose write or sync failed is written again as a whole to the same place, so
 * that neither a part of it stays nor pages count as synced that the failed sync dropped.
 */

import { randomUUID } from 'node:crypto';
import { existsSync, mkdirSync, readFileSync } from 'node:fs';
import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { raise } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import {
  LogBatch,
  SnapshotFile,
  type CommittedEntry,
  type HardState,
  type LogEntry,
  type LogRecord,
  type SnapshotHeader,
} from '../generated/keeper.js';
import { COMMITTED_FILE, createCommittedRecord, tryDecodeCommitted } from './committedRecord.js';
import type { InitialRaftState } from './raftCore.js';
import { emptySnapshotHeader } from './raftLog.js';
import {
  encodeRecord,
  openReplacement,
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
  /** Remembers soon, and as far as the disk allows, that a synced entry was committed. */
  recordCommitted(entry: CommittedEntry): void;
  /** Resolves after the operation that runs, which is not retried any more and then rejects. */
  close(): Promise<void>;
}

/** Files of an open store, and what they contained. */
interface OpenFiles {
  storeId: string;
  snapshot: SnapshotFile | undefined;
  recovered: RecoveredLog;
  log: FileHandle;
}

/**
 * Opens or creates the store in `folder`. Waits while the disk is full or fails, until `signal` is
 * aborted; then raises `unavailable`. Raises `storeCorrupt`.
 */
export async function openStore(
  folder: string,
  logger: Logger,
  signal?: AbortSignal,
): Promise<Store> {
  const snapshotPath = join(folder, 'snapshot');
  const logPath = join(folder, 'log');
  const closing = new AbortController();
  const { storeId, snapshot, recovered, ...opened } = await retryOnDiskError(
    logger,
    'open the store',
    () => openFiles(folder),
    signal,
  );
  let { log } = opened;
  const committedRecord = createCommittedRecord(folder);
  let logBytes = recovered.validBytes;
  let running = Promise.resolve();

  return {
    storeId,
    state: { initial: recovered.initial, snapshot, tornBytes: recovered.tornBytes },
    write,
    saveSnapshot,
    recordCommitted: committedRecord.record,
    close,
  };

  async function write(
    hardState: HardState | undefined,
    entries: readonly LogEntry[],
  ): Promise<void> {
    const bytes = encodeBatch(hardState, entries);
    if (bytes.length === 0) return;
    await retry('append to the log', async () => {
      await writeAll(log, bytes, logBytes);
      await log.datasync();
    });
    logBytes += bytes.length;
  }

  async function saveSnapshot(
    next: SnapshotFile,
    hardState: HardState,
    entries: readonly LogEntry[],
  ): Promise<number> {
    const payload = toBuffer(SnapshotFile.encode(next).finish());
    const records = encodeBatch(hardState, entries);
    await retry('write the snapshot', async () => {
      await replaceFile(snapshotPath, encodeRecord(payload));
      // The truncated log must not become durable before the snapshot that it depends on.
      await syncFolder(folder);
    });
    await retry('truncate the log', () => replaceLog(records));
    logBytes = records.length;
    return payload.length;
  }

  async function replaceLog(records: Buffer): Promise<void> {
    const previous = log;
    log = await openReplacement(logPath, records);
    await previous.close().catch(() => {});
    await syncFolder(folder);
  }

  async function retry(operation: string, run: () => Promise<void>): Promise<void> {
    if (closing.signal.aborted) raise({ kind: 'unavailable', reason: 'the store is closed' });
    const attempts = retryOnDiskError(logger, operation, run, closing.signal);
    running = attempts.catch(() => {});
    await attempts;
  }

  async function close(): Promise<void> {
    closing.abort();
    await running;
    await committedRecord.close();
    // All that was acknowledged is synced.
    await log.close().catch(() => {});
  }
}

/**
 * Renames a corrupt data folder to a name that is not taken, so that the keeper can rejoin as a new
 * member. Waits while the disk is full or fails, like `openStore`.
 */
export async function quarantineStore(
  folder: string,
  wallTime: number,
  logger: Logger,
  signal?: AbortSignal,
): Promise<void> {
  await retryOnDiskError(logger, 'move the store aside', () => moveAside(folder, wallTime), signal);
}

async function moveAside(folder: string, wallTime: number): Promise<void> {
  if (existsSync(folder)) {
    let suffix = wallTime;
    while (existsSync(`${folder}.corrupt-${suffix}`)) suffix += 1;
    await rename(folder, `${folder}.corrupt-${suffix}`);
  }
  await syncFolder(dirname(folder));
}

async function openFiles(folder: string): Promise<OpenFiles> {
  mkdirSync(folder, { recursive: true });
  await syncFolder(dirname(folder));
  const logPath = join(folder, 'log');
  const logBytes = tryReadFile(logPath);
  const snapshotBytes = tryReadFile(join(folder, 'snapshot'));
  const isNew = logBytes === undefined && snapshotBytes === undefined;
  const storeId = await readStoreId(folder, isNew);
  if (logBytes === undefined && snapshotBytes !== undefined) {
    raise({ kind: 'storeCorrupt', reason: 'no log beside the snapshot' });
  }
  const snapshot = snapshotBytes === undefined ? undefined : decodeSnapshot(snapshotBytes);
  const recovered = recoverLog(logBytes ?? Buffer.alloc(0), snapshot);
  const committedBytes = tryReadFile(join(folder, COMMITTED_FILE));
  if (committedBytes !== undefined) {
    recovered.initial.committed = tryDecodeCommitted(committedBytes);
  }
  const log = await open(logPath, logBytes === undefined ? 'w+' : 'r+');
  try {
    await log.truncate(recovered.validBytes);
    // If its sync failed before a restart, the last batch may be in memory only, with nothing left
    // to sync.
    await writeAll(log, recovered.lastBatch, recovered.validBytes - recovered.lastBatch.length);
    await log.datasync();
    await syncFolder(folder);
  } catch (caught) {
    await log.close().catch(() => {});
    throw caught;
  }
  return { storeId, snapshot, recovered, log };
}

async function readStoreId(folder: string, isNew: boolean): Promise<string> {
  const path = join(folder, 'identity');
  const bytes = tryReadFile(path);
  if (bytes !== undefined) return bytes.toString().trim();
  if (!isNew) raise({ kind: 'storeCorrupt', reason: 'no identity file' });
  const storeId = randomUUID();
  await replaceFile(path, Buffer.from(`${storeId}\n`));
  await syncFolder(folder);
  return storeId;
}

/** Returns undefined if there is no such file. Any other error is thrown. */
function tryReadFile(path: string): Buffer | undefined {
  try {
    return readFileSync(path);
  } catch (caught) {
    if ((caught as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw caught;
  }
}

function decodeSnapshot(bytes: Buffer): SnapshotFile {
  const record = readRecord(bytes, 0);
  if (record.kind !== 'record') raise({ kind: 'storeCorrupt', reason: 'snapshot is damaged' });
  return SnapshotFile.decode(record.payload);
}

interface RecoveredLog {
  initial: InitialRaftState;
  validBytes: number;
  tornBytes: number;
  /** Bytes of the last valid batch; empty if there is none. */
  lastBatch: Buffer;
}

function recoverLog(bytes: Buffer, snapshot: SnapshotFile | undefined): RecoveredLog {
  const header = snapshot?.header ?? emptySnapshotHeader;
  let hardState: HardState = { term: 0, votedFor: '' };
  const entries: LogEntry[] = [];
  let lastBatch: Buffer = Buffer.alloc(0);
  let offset = 0;
  while (offset < bytes.length) {
    const batch = readRecord(bytes, offset);
    if (batch.kind !== 'record') {
      // A record after it proves that this batch was synced, so it may have been acknowledged.
      if (!hasRecordAfter(bytes, offset)) break;
      raise({ kind: 'storeCorrupt', reason: `damaged batch at byte ${offset}` });
    }
    lastBatch = bytes.subarray(offset, batch.end);
    offset = batch.end;
    for (const { record } of LogBatch.decode(batch.payload).records) {
      if (record?.$case === 'hardState') hardState = record.value;
      if (record?.$case === 'entry') insertEntry(entries, record.value, header);
    }
  }
  const initial = { hardState, header, entries };
  return { initial, validBytes: offset, tornBytes: bytes.length - offset, lastBatch };
}

function insertEntry(entries: LogEntry[], entry: LogEntry, header: SnapshotHeader): void {
  if (entry.index <= header.index) {
    // It replaces whatever the log had at this index and after it.
    entries.length = 0;
    return;
  }
  // Terms never fall in a log, so this entry was written before the snapshot was installed.
  if (entry.term < header.term) return;
  const position = entry.index - header.index - 1;
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
  return encodeRecord(toBuffer(LogBatch.encode({ records }).finish()));
}

/** Returns a view, since tables are large. */
function toBuffer({ buffer, byteOffset, length }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, length);
}
