/**
 * Keeper's side of the delivery of tables: announces the newest one to each subscriber that does not
 * hold it, and sends it in the parts that the subscriber asks for. Small tables are sent with the
 * announcement. Other updates pass between the parts, and a stream holds a few parts at most.
 */

import type { Clock } from '../common/clock.js';
import type { TablePart, TablePartRequest } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';

/** Bytes of a table that are sent at once. */
export const MAX_PART_BYTES = 32 * 1024;
const MAX_ANNOUNCED_BYTES = 16 * 1024;
/** Writes that the stream of a subscriber may hold; further requests are dropped and repeated. */
const MAX_PENDING_WRITES = 8;
/** Longest time after which a subscriber repeats a request for a part that has not arrived. */
export const MAX_PART_TIMEOUT_MS = 4_000;
/**
 * Time without a request after which an older table is no longer kept for a subscriber; a narrow
 * connection that several keepers share carries parts of others before it asks again.
 */
const KEEP_MS = 10_000;

/** External dependencies of a delivery. */
export interface TableDeliveryHost<Subscriber> {
  clock: Clock;
  /** The newest table that is committed as far as this keeper knows. */
  getTable(): TableDocument;
  /** Writes a part; calls `onTaken` once the stream holds it no longer. */
  write(subscriber: Subscriber, part: TablePart, onTaken: () => void): void;
  /** Called once a subscriber holds the table that was announced to it last. */
  onHeld(subscriber: Subscriber, table: TableDocument, takenMs: number): void;
}

/** Tables on their way to subscribers. */
export interface TableDelivery<Subscriber> {
  /** Announces the newest table unless the subscriber is known to hold it. */
  announce(subscriber: Subscriber): void;
  /** Records which revision a subscriber holds. */
  recordHeld(subscriber: Subscriber, revision: number): void;
  /** Sends a part. */
  answer(subscriber: Subscriber, request: TablePartRequest): void;
  /** Releases what is no longer asked for. */
  advance(): void;
  remove(subscriber: Subscriber): void;
}

interface Progress {
  heldRevision: number;
  pendingWrites: number;
  /** Whether the newest table is to be announced once a write has been taken. */
  isAnnouncementDue: boolean;
  /** Kept while newer ones replace it, so that a transfer over a slow connection ends. */
  transferred: TableDocument | undefined;
  requestedAt: number;
  announcedAt: number;
}

export function createTableDelivery<Subscriber>(
  host: TableDeliveryHost<Subscriber>,
): TableDelivery<Subscriber> {
  const { clock } = host;
  const all = new Map<Subscriber, Progress>();

  return {
    announce,
    recordHeld,
    answer,
    advance() {
      const releasedBefore = clock.now() - KEEP_MS;
      for (const progress of all.values()) {
        if (progress.requestedAt < releasedBefore) progress.transferred = undefined;
      }
    },
    remove(subscriber) {
      all.delete(subscriber);
    },
  };

  function getProgress(subscriber: Subscriber): Progress {
    const known = all.get(subscriber);
    if (known !== undefined) return known;
    const now = clock.now();
    const progress = {
      heldRevision: 0,
      pendingWrites: 0,
      isAnnouncementDue: false,
      transferred: undefined,
      requestedAt: now,
      announcedAt: now,
    };
    all.set(subscriber, progress);
    return progress;
  }

  function announce(subscriber: Subscriber): void {
    const { revision, document } = host.getTable();
    const progress = getProgress(subscriber);
    progress.isAnnouncementDue = false;
    if (revision <= progress.heldRevision) return;
    progress.announcedAt = clock.now();
    if (progress.pendingWrites >= MAX_PENDING_WRITES) {
      progress.isAnnouncementDue = true;
      return;
    }
    const isWhole = document.length <= MAX_ANNOUNCED_BYTES && progress.pendingWrites === 0;
    const content = isWhole ? document : Buffer.alloc(0);
    write(subscriber, { revision, size: document.length, offset: 0, content });
  }

  function recordHeld(subscriber: Subscriber, revision: number): void {
    const progress = getProgress(subscriber);
    if (revision <= progress.heldRevision) return;
    progress.heldRevision = revision;
    if (revision >= (progress.transferred?.revision ?? 0)) progress.transferred = undefined;
    const table = host.getTable();
    if (revision !== table.revision) return;
    host.onHeld(subscriber, table, clock.now() - progress.announcedAt);
  }

  function answer(subscriber: Subscriber, { revision, offset }: TablePartRequest): void {
    const progress = getProgress(subscriber);
    if (progress.pendingWrites >= MAX_PENDING_WRITES) return;
    progress.requestedAt = clock.now();
    const newest = host.getTable();
    if (revision === newest.revision) progress.transferred = newest;
    const { transferred } = progress;
    if (transferred?.revision !== revision) {
      write(subscriber, { revision, size: 0, offset, content: Buffer.alloc(0) });
      return;
    }
    const { document } = transferred;
    const content = document.subarray(offset, offset + MAX_PART_BYTES);
    write(subscriber, { revision, size: document.length, offset, content });
  }

  function write(subscriber: Subscriber, part: TablePart): void {
    const progress = getProgress(subscriber);
    progress.pendingWrites += 1;
    host.write(subscriber, part, () => {
      progress.pendingWrites -= 1;
      if (progress.isAnnouncementDue && all.get(subscriber) === progress) announce(subscriber);
    });
  }
}
