/**
 * The routing table that a gateway uses: the highest revision received so far. The gateway never
 * returns to an earlier revision.
 *
 * A table that no majority of keepers confirms may be of any age: it is the newest one that a keeper
 * held which this gateway could reach within the wait. Keepers go on asking for a confirmation, and
 * a newer table replaces it as soon as any keeper has one.
 */

import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import type { TableDocument } from '../generated/keeper.js';
import { createRouteIndex, type RouteIndex } from '../routing/routeIndex.js';
import type { RoutingTable } from '../routing/types.js';

/**
 * Time after which a table is used even if no majority of keepers has confirmed it: a loss of the
 * keepers' majority must not prevent a restarted gateway from serving.
 */
const UNCONFIRMED_WAIT_MS = 2_500;
/** Limit of that time while other keepers may still have, or send, a newer table. */
const MAX_UNCONFIRMED_WAIT_MS = 5_000;

/** Usual time from the start of all processes to the first confirmed table. */
const FIRST_TABLE_MS = 1_300;
/** Lower bound of the stated wait: keepers that come back elect a leader first. */
const MIN_EXPECTED_WAIT_MS = 500;

/** Dependencies of the view. */
export interface TableViewHost {
  clock: Clock;
  logger: Logger;
  /** Whether only a confirmed table may be used. */
  isStrict: boolean;
  decode(document: Uint8Array): RoutingTable;
  /** Whether a newer table is being received, or a known keeper has not been heard or tried yet. */
  mayReceiveNewer(): boolean;
  /** Called with each newer table, even if it may not be used yet. */
  onTable(table: RoutingTable): void;
}

/** A gateway's view of the routing table. */
export interface TableView {
  /** Undefined until there is a table that may be used. */
  readonly index: RouteIndex | undefined;
  readonly isUsable: boolean;
  /** Expected time until there is a table that may be used, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Returns false if the table is newer and cannot be decoded. */
  receive(document: TableDocument, isConfirmed?: boolean): boolean;
  /** A majority of keepers has confirmed that no table newer than `revision` was in force. */
  confirm(revision: number): void;
}

/** Creates a view that has not received a table yet. */
export function createTableView(host: TableViewHost): TableView {
  const { clock, logger } = host;
  const startedAt = clock.now();
  let newest: RouteIndex | undefined;
  /** Highest revision of which a majority has confirmed that no newer table was in force. */
  let confirmedRevision: number | undefined;
  let confirmedAt = startedAt;
  /** Whether a table has been as new as the confirmed one; those that follow are newer still. */
  let isConfirmed = false;
  let firstReceivedAt: number | undefined;
  /** Whether a table that is not confirmed is in use; it stays so. */
  let isWaitOver = false;

  const view: TableView = {
    get index() {
      return view.isUsable ? newest : undefined;
    },
    get isUsable() {
      if (newest === undefined) return false;
      isWaitOver ||= hasWaitExpired();
      return isConfirmed || isWaitOver;
    },
    get expectedWaitMs() {
      return Math.max(MIN_EXPECTED_WAIT_MS, startedAt + FIRST_TABLE_MS - clock.now());
    },
    receive,
    confirm,
  };
  return view;

  function checkConfirmation(): void {
    if (newest === undefined || confirmedRevision === undefined) return;
    if (newest.table.revision >= confirmedRevision) isConfirmed = true;
  }

  function hasWaitExpired(): boolean {
    if (host.isStrict || firstReceivedAt === undefined) return false;
    // A newer table that is known to be in force is waited for as long as the first one.
    const waitedMs = clock.now() - Math.max(firstReceivedAt, confirmedAt);
    return waitedMs > (host.mayReceiveNewer() ? MAX_UNCONFIRMED_WAIT_MS : UNCONFIRMED_WAIT_MS);
  }

  function confirm(revision: number): void {
    if (confirmedRevision === undefined && !view.isUsable) confirmedAt = clock.now();
    confirmedRevision = Math.max(confirmedRevision ?? revision, revision);
    checkConfirmation();
  }

  function receive({ revision, document }: TableDocument, confirmed = false): boolean {
    if (confirmed) confirm(revision);
    const before = newest?.table.revision ?? 0;
    return revision <= before || replace(revision, document, before);
  }

  /** Keeps the table before if the document cannot be decoded. */
  function replace(revision: number, document: Uint8Array, before: number): boolean {
    try {
      newest = createRouteIndex(host.decode(document));
    } catch (caught) {
      const reason = describeFailure(toFailure(caught));
      logger.event('tableUnreadable', { revision, reason });
      return false;
    }
    firstReceivedAt ??= clock.now();
    checkConfirmation();
    const routes = newest.table.routes.length;
    logger.event('tableInForce', { revision, before, confirmed: String(isConfirmed), routes });
    host.onTable(newest.table);
    return true;
  }
}
