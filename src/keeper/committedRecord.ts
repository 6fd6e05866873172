/**
 * The file `committed` of a keeper's store: an entry of the log that was committed. After a restart
 * without a majority the keeper applies its log up to there. The record is written in place beside
 * the log's own writes, never holds them up, and may lag. It counts only if the log has the entry, so
 * that neither a torn record nor a log that lost its end does any harm.
 */

import { existsSync } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { encodeRecord, readRecord, syncFolder, writeAll } from '../common/recordFile.js';
import { CommittedEntry } from '../generated/keeper.js';

export const COMMITTED_FILE = 'committed';
/** Minimum time between two writes; each sync delays those of the log. */
const WRITE_INTERVAL_MS = 200;

/** Writes the record. */
export interface CommittedRecord {
  /** Replaces the record soon. `entry` must be synced in the log. */
  record(entry: CommittedEntry): void;
  /** Resolves once the last entry is written, or its write has failed once. */
  close(): Promise<void>;
}

/** Creates the record of the store in `folder`. The file is opened with the first write. */
export function createCommittedRecord(folder: string): CommittedRecord {
  let file: FileHandle | undefined;
  let latest: CommittedEntry | undefined;
  let isWritten = true;
  let timer: NodeJS.Timeout | undefined;
  let writing: Promise<void> | undefined;
  let isClosed = false;

  return { record, close };

  function record(entry: CommittedEntry): void {
    latest = entry;
    isWritten = false;
    if (timer === undefined && writing === undefined) startWriting();
  }

  function startWriting(): void {
    timer = undefined;
    if (isClosed || isWritten) return;
    writing = writeLatest().finally(() => {
      writing = undefined;
      if (!isClosed) timer = setTimeout(startWriting, WRITE_INTERVAL_MS);
    });
  }

  async function writeLatest(): Promise<void> {
    if (latest === undefined) return;
    isWritten = true;
    try {
      file ??= await openFile();
      await writeAll(file, encodeRecord(Buffer.from(CommittedEntry.encode(latest).finish())), 0);
      await file.datasync();
    } catch {
      // The log's own writes report the disk.
      isWritten = false;
    }
  }

  async function openFile(): Promise<FileHandle> {
    const path = join(folder, COMMITTED_FILE);
    const opened = await open(path, existsSync(path) ? 'r+' : 'w+');
    await syncFolder(folder).catch(() => {});
    return opened;
  }

  async function close(): Promise<void> {
    isClosed = true;
    clearTimeout(timer);
    await writing;
    if (!isWritten) await writeLatest();
    await file?.close().catch(() => {});
  }
}

/** Returns undefined if the record is torn. */
export function tryDecodeCommitted(bytes: Buffer): CommittedEntry | undefined {
  const record = readRecord(bytes, 0);
  return record.kind === 'record' ? CommittedEntry.decode(record.payload) : undefined;
}
