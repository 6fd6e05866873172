/**
 * Subscriber's side of the delivery of tables: fetches the newest table that keepers have announced,
 * one copy in parts, from all keepers that hold it. A keeper that sends nothing for a while is asked
 * only if there is no other.
 */

import type { TablePart, TablePartRequest } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import { MAX_PART_BYTES, MAX_PART_TIMEOUT_MS } from './tableDelivery.js';

/** Parts asked for and not received yet, from all keepers together. */
const MAX_PENDING_PARTS = 4;
const MIN_PART_TIMEOUT_MS = 400;
const MIN_UNREADABLE_DELAY_MS = 1_000;
/** Bounds the repetition of a table that this version of the program cannot decode at all. */
const MAX_UNREADABLE_DELAY_MS = 60_000;

/** What a subscriber does with tables. */
export interface TableReceiver {
  /** Returns false if the table cannot be decoded. */
  receive(table: TableDocument): boolean;
  /** A majority of keepers has confirmed that no table newer than `revision` was in force. */
  confirm(revision: number): void;
}

/** External dependencies of transfers. */
export interface TableTransfersHost<Source> {
  /** Monotonic time in milliseconds that stands still while this process does not run. */
  now(): number;
  request(source: Source, part: TablePartRequest): void;
  /** Returns false if the table cannot be decoded; it is fetched again later. */
  receive(table: TableDocument): boolean;
  onSlowSource(source: Source, revision: number): void;
}

/** The transfers of one subscriber, one at a time. */
export interface TableTransfers<Source> {
  /** Revision of the last table that was received whole and decoded; 0 before. */
  readonly heldRevision: number;
  /** Whether a newer table is being received. */
  readonly isActive: boolean;
  receive(source: Source, part: TablePart): void;
  /** Forgets a source to which the connection was lost. */
  remove(source: Source): void;
  /** Asks others for parts that are late. */
  advance(): void;
}

interface PendingPart<Source> {
  source: Source;
  requestedAt: number;
}

interface Transfer<Source> {
  revision: number;
  document: Buffer;
  /** Offsets of the parts that are neither received nor pending. */
  missing: Set<number>;
  pending: Map<number, PendingPart<Source>>;
  sources: Set<Source>;
  slowSources: Set<Source>;
  /** Time of the last part from each source. */
  receivedAt: Map<Source, number>;
  timeoutMs: number;
}

/** The last table that could not be decoded. */
interface UnreadableTable {
  revision: number;
  retryAt: number;
  delayMs: number;
}

/** Starts without a table. */
export function createTableTransfers<Source>(
  host: TableTransfersHost<Source>,
): TableTransfers<Source> {
  /** Newest table that each source has announced, without content. */
  const announced = new Map<Source, TablePart>();
  let heldRevision = 0;
  let transfer: Transfer<Source> | undefined;
  let unreadable: UnreadableTable | undefined;

  return {
    get heldRevision() {
      return heldRevision;
    },
    get isActive() {
      return transfer !== undefined;
    },
    receive,
    remove(source) {
      announced.delete(source);
      if (transfer !== undefined) removeSource(transfer, source);
      advance();
    },
    advance,
  };

  function receive(source: Source, part: TablePart): void {
    const { revision, size } = part;
    if (size > 0 && revision > (announced.get(source)?.revision ?? 0)) {
      announced.set(source, { ...part, content: Buffer.alloc(0) });
    }
    if (size === 0 && announced.get(source)?.revision === revision) announced.delete(source);
    if (revision <= heldRevision) return;
    if (size > 0 && part.content.length === size) {
      take({ revision, document: part.content });
    } else if (transfer?.revision === revision) {
      if (size === transfer.document.length) storePart(transfer, source, part);
      else removeSource(transfer, source);
    }
    advance();
  }

  function take(table: TableDocument): void {
    const { revision } = table;
    if (transfer !== undefined && transfer.revision <= revision) transfer = undefined;
    if (host.receive(table)) heldRevision = revision;
    else postpone(revision);
  }

  /** A copy that was damaged on its way is sound the next time. */
  function postpone(revision: number): void {
    const earlierMs = unreadable?.revision === revision ? unreadable.delayMs : 0;
    const delayMs = Math.min(2 * earlierMs, MAX_UNREADABLE_DELAY_MS) || MIN_UNREADABLE_DELAY_MS;
    unreadable = { revision, retryAt: host.now() + delayMs, delayMs };
  }

  function isPostponed({ revision }: TablePart): boolean {
    return unreadable?.revision === revision && host.now() < unreadable.retryAt;
  }

  function storePart(into: Transfer<Source>, source: Source, part: TablePart): void {
    const { document, missing, pending, revision } = into;
    into.sources.add(source);
    if (part.content.length === 0) return;
    into.receivedAt.set(source, host.now());
    into.slowSources.delete(source);
    if (!missing.delete(part.offset) && !pending.delete(part.offset)) return;
    part.content.copy(document, part.offset);
    if (missing.size === 0 && pending.size === 0) take({ revision, document });
  }

  function removeSource({ sources, pending, missing }: Transfer<Source>, removed: Source): void {
    sources.delete(removed);
    for (const [offset, { source }] of pending) {
      if (source !== removed) continue;
      pending.delete(offset);
      missing.add(offset);
    }
  }

  function advance(): void {
    if (transfer !== undefined) {
      giveUpLateParts(transfer);
      if (isStuck(transfer)) transfer = undefined;
    }
    transfer ??= tryBegin();
    if (transfer !== undefined) requestParts(transfer);
  }

  function giveUpLateParts(late: Transfer<Source>): void {
    const { pending, missing, slowSources, receivedAt, revision } = late;
    const lateSources = new Set<Source>();
    for (const [offset, { source, requestedAt }] of pending) {
      const activeAt = Math.max(requestedAt, receivedAt.get(source) ?? 0);
      if (host.now() - activeAt < late.timeoutMs) continue;
      lateSources.add(source);
      pending.delete(offset);
      missing.add(offset);
    }
    if (lateSources.size === 0) return;
    late.timeoutMs = Math.min(2 * late.timeoutMs, MAX_PART_TIMEOUT_MS);
    for (const source of lateSources) {
      slowSources.add(source);
      host.onSlowSource(source, revision);
    }
  }

  /**
   * Another table replaces one that no source holds any more, or that only slow sources send while
   * another keeper has a newer one. Otherwise each one is finished: over a slow connection to all
   * keepers, the next one would be no faster.
   */
  function isStuck({ revision, sources, slowSources }: Transfer<Source>): boolean {
    if (sources.size === 0) return hasNewer(heldRevision, new Set());
    if ([...sources].some((source) => !slowSources.has(source))) return false;
    return hasNewer(revision, slowSources);
  }

  function hasNewer(revision: number, except: ReadonlySet<Source>): boolean {
    return [...announced].some(
      ([source, table]) => table.revision > revision && !except.has(source),
    );
  }

  function tryBegin(): Transfer<Source> | undefined {
    let newest: TablePart | undefined;
    for (const table of announced.values()) {
      if (isPostponed(table)) continue;
      if (table.revision > (newest?.revision ?? heldRevision)) newest = table;
    }
    if (newest === undefined) return undefined;
    const { revision, size } = newest;
    const missing = new Set<number>();
    for (let offset = 0; offset < size; offset += MAX_PART_BYTES) missing.add(offset);
    const sources = [...announced].filter(([, table]) => table.revision === revision);
    return {
      revision,
      document: Buffer.alloc(size),
      missing,
      pending: new Map(),
      sources: new Set(sources.map(([source]) => source)),
      slowSources: new Set(),
      receivedAt: new Map(),
      timeoutMs: MIN_PART_TIMEOUT_MS,
    };
  }

  function requestParts({ revision, missing, pending, ...rest }: Transfer<Source>): void {
    for (const offset of missing) {
      if (pending.size >= MAX_PENDING_PARTS) return;
      const source = tryChooseSource(rest, pending);
      if (source === undefined) return;
      missing.delete(offset);
      pending.set(offset, { source, requestedAt: host.now() });
      host.request(source, { revision, offset });
    }
  }
}

/** The source with the fewest pending parts; a slow one only if all are slow. */
function tryChooseSource<Source>(
  { sources, slowSources }: Pick<Transfer<Source>, 'sources' | 'slowSources'>,
  pending: ReadonlyMap<number, PendingPart<Source>>,
): Source | undefined {
  const counts = new Map<Source, number>();
  for (const { source } of pending.values()) counts.set(source, (counts.get(source) ?? 0) + 1);
  const sound = [...sources].filter((source) => !slowSources.has(source));
  let chosen: Source | undefined;
  let fewest = Infinity;
  for (const source of sound.length > 0 ? sound : sources) {
    const count = counts.get(source) ?? 0;
    if (count >= fewest) continue;
    chosen = source;
    fewest = count;
  }
  return chosen;
}
