/**
 * Durable copy of the stream origins in the data folder of a keeper, for a loss of all processes at
 * once. New origins are appended to a file, which is rewritten now and then without expired ones.
 */

import { existsSync, readFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
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
  writeAll,
} from '../common/recordFile.js';
import { StreamOriginFile, type StreamOrigin } from '../generated/control.js';
import type { StreamOrigins } from './streamOrigins.js';

const SAVE_INTERVAL_MS = 250;
const REWRITE_INTERVAL_MS = 60_000;

/** Dependencies of the store. */
export interface StreamOriginStoreHost {
  clock: Clock;
  logger: Logger;
  origins: StreamOrigins;
  /** Path of the file. */
  path: string;
}

/** A running store. */
export interface StreamOriginStore {
  close(): void;
}

/** Adds the saved origins to `origins`, and from then on saves new ones soon after each addition. */
export function startStreamOriginStore(host: StreamOriginStoreHost): StreamOriginStore {
  const { clock, logger, origins, path } = host;
  load();
  const cursor = origins.openCursor();
  let isSaving = false;
  /** When the file is rewritten next; at once at first, as its end may be damaged. */
  let rewriteAt = clock.now();
  const timer = setInterval(() => void save(), SAVE_INTERVAL_MS);

  return { close: () => clearInterval(timer) };

  function load(): void {
    if (!existsSync(path)) return;
    try {
      const bytes = readFileSync(path);
      for (let found = readRecord(bytes, 0); found.kind === 'record';) {
        addSaved(StreamOriginFile.decode(found.payload));
        found = readRecord(bytes, found.end);
      }
    } catch (caught) {
      reportLoss(caught);
    }
  }

  function addSaved({ savedAtMs, origins: saved }: StreamOriginFile): void {
    const sinceMs = Math.max(0, clock.wallTime() - savedAtMs);
    for (const origin of saved) origins.record({ ...origin, ageMs: origin.ageMs + sinceMs });
  }

  async function save(): Promise<void> {
    if (isSaving) return;
    isSaving = true;
    try {
      const added = cursor.takeAdded();
      if (clock.now() >= rewriteAt) {
        await retryOnDiskError(logger, 'rewrite the stream origins', rewrite);
      } else if (added.length > 0) await append(encode(added));
    } catch (caught) {
      // What was not appended is written with all the rest, and so is what follows a torn record.
      rewriteAt = clock.now();
      reportLoss(caught);
    } finally {
      isSaving = false;
    }
  }

  async function rewrite(): Promise<void> {
    await replaceFile(path, encode(origins.list()));
    await syncFolder(dirname(path));
    rewriteAt = clock.now() + REWRITE_INTERVAL_MS;
  }

  async function append(bytes: Buffer): Promise<void> {
    const file = await open(path, 'a');
    try {
      await writeAll(file, bytes);
      await file.datasync();
    } finally {
      await file.close();
    }
  }

  function encode(saved: StreamOrigin[]): Buffer {
    const file = { savedAtMs: clock.wallTime(), origins: saved };
    return encodeRecord(Buffer.from(StreamOriginFile.encode(file).finish()));
  }

  function reportLoss(caught: unknown): void {
    logger.event('streamOriginsLost', { reason: describeFailure(toFailure(caught)) });
  }
}
