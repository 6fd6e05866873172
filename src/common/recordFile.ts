/**
 * Records in files. A record is a 4-byte length, a 4-byte CRC-32 of the payload and the payload, all
 * big-endian.
 */

import { open, rename, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { delay } from './delay.js';
import type { Logger } from './logging.js';

export const RECORD_HEADER_BYTES = 8;
const DISK_RETRY_DELAY_MS = 200;
const retryableDiskErrors = new Set(['ENOSPC', 'EDQUOT', 'EIO']);

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

export async function writeAll(file: FileHandle, bytes: Buffer): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const { bytesWritten } = await file.write(bytes, offset);
    offset += bytesWritten;
  }
}

/**
 * Replaces a file as a whole and syncs it. The new name is durable only after `syncFolder`; until
 * then a power loss may bring the previous file back.
 */
export async function replaceFile(path: string, bytes: Buffer): Promise<void> {
  const file = await open(`${path}.tmp`, 'w');
  try {
    await writeAll(file, bytes);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(`${path}.tmp`, path);
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

/**
 * Retries `run` while the disk is full or returns I/O errors. Any other error is thrown. `operation`
 * names in the log what is retried.
 */
export async function retryOnDiskError(
  logger: Logger,
  operation: string,
  run: () => Promise<void>,
): Promise<void> {
  const startedAt = performance.now();
  for (let attempts = 1; ; attempts += 1) {
    try {
      await run();
      if (attempts > 1) {
        const milliseconds = Math.round(performance.now() - startedAt);
        logger.event('diskRecovered', { operation, attempts, milliseconds });
      }
      return;
    } catch (caught) {
      const error = (caught as NodeJS.ErrnoException).code ?? '';
      if (!retryableDiskErrors.has(error)) throw caught;
      if (attempts === 1) logger.event('diskFailed', { operation, error });
      await delay(DISK_RETRY_DELAY_MS);
    }
  }
}
