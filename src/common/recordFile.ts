/**
 * Records in files. A record is a 4-byte length, a 4-byte CRC-32 of the payload and the payload, all
 * big-endian.
 */

import { open, rename, rm, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { delay } from './delay.js';
import { raise } from './failure.js';
import type { Logger } from './logging.js';

export const RECORD_HEADER_BYTES = 8;
const DISK_RETRY_DELAY_MS = 200;
/** Errors that pass once the disk has room, is mended or mounted again, or descriptors are free. */
const retryableDiskErrors = new Set([
  'ENOSPC',
  'EDQUOT',
  'EIO',
  'EROFS',
  'EMFILE',
  'ENFILE',
  'ENOMEM',
  'EAGAIN',
]);

/** What was found at a position of a file; `end` is the position after the record. */
export type ReadRecord =
  { kind: 'record'; payload: Buffer; end: number } | { kind: 'incomplete' } | { kind: 'damaged' };

/** Reads the record at `offset`. */
export function readRecord(bytes: Buffer, offset: number): ReadRecord {
  const start = offset + RECORD_HEADER_BYTES;
  if (start > bytes.length) return { kind: 'incomplete' };
  const end = start + bytes.readUInt32BE(offset);
  if (end > bytes.length) return { kind: 'incomplete' };
  const payload = bytes.subarray(start, end);
  if (crc32(payload) !== bytes.readUInt32BE(offset + 4)) return { kind: 'damaged' };
  return { kind: 'record', payload, end };
}

/** Returns a payload as a record. */
export function encodeRecord(payload: Buffer): Buffer {
  const header = Buffer.alloc(RECORD_HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt32BE(crc32(payload), 4);
  return Buffer.concat([header, payload]);
}

/** Writes all of `bytes` at `position`, or at the end of a file that is open for appending. */
export async function writeAll(file: FileHandle, bytes: Buffer, position?: number): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const at = position === undefined ? null : position + offset;
    const { bytesWritten } = await file.write(bytes, offset, bytes.length - offset, at);
    if (bytesWritten === 0) throw Object.assign(new Error('nothing was written'), { code: 'EIO' });
    offset += bytesWritten;
  }
}

/**
 * Replaces a file as a whole and syncs it. The new name is durable only after `syncFolder`; until
 * then a power loss may bring the previous file back.
 */
export async function replaceFile(path: string, bytes: Buffer): Promise<void> {
  const file = await openReplacement(path, bytes);
  await file.close();
}

/** Like `replaceFile`, but returns the new file, open for reading and writing. */
export async function openReplacement(path: string, bytes: Buffer): Promise<FileHandle> {
  const temporaryPath = `${path}.tmp`;
  const file = await open(temporaryPath, 'w+');
  try {
    await writeAll(file, bytes);
    await file.sync();
    await rename(temporaryPath, path);
    return file;
  } catch (caught) {
    await file.close().catch(() => {});
    // It may take the last room on the disk.
    await rm(temporaryPath, { force: true }).catch(() => {});
    throw caught;
  }
}

/** Syncs the names of the files in a folder. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Whether `caught` is an error of the disk or of scarce resources that may pass. */
export function isRetryableDiskError(caught: unknown): boolean {
  return retryableDiskErrors.has((caught as NodeJS.ErrnoException).code ?? '');
}

/**
 * Retries `run` until no retryable disk error occurs. Any other error is thrown. Raises `unavailable`
 * in place of a further attempt once `signal` is aborted. `operation` names in the log what is
 * retried.
 */
export async function retryOnDiskError<Result>(
  logger: Logger,
  operation: string,
  run: () => Promise<Result>,
  signal?: AbortSignal,
): Promise<Result> {
  const startedAt = performance.now();
  for (let attempts = 1; ; attempts += 1) {
    try {
      const result = await run();
      if (attempts > 1) {
        const milliseconds = Math.round(performance.now() - startedAt);
        logger.event('diskRecovered', { operation, attempts, milliseconds });
      }
      return result;
    } catch (caught) {
      if (!isRetryableDiskError(caught)) throw caught;
      if (signal?.aborted) raiseStopped();
      const error = (caught as NodeJS.ErrnoException).code ?? '';
      if (attempts === 1) logger.event('diskFailed', { operation, error });
      await delay(DISK_RETRY_DELAY_MS);
      if (signal?.aborted) raiseStopped();
    }
  }
}

function raiseStopped(): never {
  raise({ kind: 'unavailable', reason: 'the process stops while the disk fails' });
}
