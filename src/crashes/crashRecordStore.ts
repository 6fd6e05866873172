/**
 * Durable copy of the crash records in the data folder of a keeper, for a restart of all processes
 * at once. Records merge in any order, so a copy that is older than the other keepers' does no harm
 * and no agreement is needed.
 */

import { existsSync, readFileSync } from 'node:fs';
import { dirname } from 'node:path';
import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import {
  encodeRecord,
  readRecord,
  replaceFile,
  retryOnDiskError,
  syncFolder,
} from '../common/recordFile.js';
import { CrashRecordFile } from '../generated/control.js';
import type { CrashRecords } from './crashRecords.js';

const SAVE_INTERVAL_MS = 250;

/** Dependencies of the store. */
export interface CrashRecordStoreHost {
  clock: Clock;
  logger: Logger;
  records: CrashRecords;
  /** Path of the file. */
  path: string;
}

/** A running store. */
export interface CrashRecordStore {
  close(): void;
}

/** Merges the saved records into `records`, and from then on saves them soon after each change. */
export function startCrashRecordStore(host: CrashRecordStoreHost): CrashRecordStore {
  const { clock, logger, records, path } = host;
  load();
  let savedVersion = records.version;
  let isSaving = false;
  const timer = setInterval(() => void saveChanges(), SAVE_INTERVAL_MS);

  return { close: () => clearInterval(timer) };

  function load(): void {
    if (!existsSync(path)) return;
    try {
      const found = readRecord(readFileSync(path), 0);
      if (found.kind !== 'record') {
        logger.event('crashRecordsLost', { reason: found.kind });
        return;
      }
      const { savedAtMs, records: saved } = CrashRecordFile.decode(found.payload);
      const sinceMs = Math.max(0, clock.wallTime() - savedAtMs);
      for (const record of saved) records.merge({ ...record, ageMs: record.ageMs + sinceMs });
    } catch (caught) {
      logger.event('crashRecordsLost', { reason: describeFailure(toFailure(caught)) });
    }
  }

  async function saveChanges(): Promise<void> {
    const { version } = records;
    if (isSaving || version === savedVersion) return;
    isSaving = true;
    try {
      await retryOnDiskError(logger, 'save the crash records', save);
      savedVersion = version;
    } catch (caught) {
      logger.event('crashRecordsLost', { reason: describeFailure(toFailure(caught)) });
    } finally {
      isSaving = false;
    }
  }

  async function save(): Promise<void> {
    const file = { savedAtMs: clock.wallTime(), records: records.list() };
    const payload = Buffer.from(CrashRecordFile.encode(file).finish());
    await replaceFile(path, encodeRecord(payload));
    await syncFolder(dirname(path));
  }
}
