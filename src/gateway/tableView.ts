/** The table that a gateway acts on: the highest revision it has heard of, never an earlier one. */

import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import type { TableDocument } from '../generated/keeper.js';
import { createRouteIndex, type RouteIndex } from '../routing/routeIndex.js';
import type { RoutingTable } from '../routing/types.js';

/**
 * Time after which a table that no majority has confirmed is used all the same: keepers without a
 * majority must not keep a restarted gateway from serving.
 */
const UNCONFIRMED_WAIT_MS = 2_500;

/** What the view needs from outside. */
export interface TableViewHost {
  clock: Clock;
  logger: Logger;
  /** Whether only a confirmed table is used. */
  isStrict: boolean;
  decode(document: Uint8Array): RoutingTable;
  /** Called with each newer table, also while it may not be used yet. */
  onTable(table: RoutingTable): void;
}

/** A gateway's table. */
export interface TableView {
  /** Undefined until there is a table that may be used. */
  readonly index: RouteIndex | undefined;
  readonly isUsable: boolean;
  receive(document: TableDocument, isConfirmed: boolean): void;
}

/** Creates a view without a table. */
export function createTableView(host: TableViewHost): TableView {
  const { clock, logger } = host;
  let newest: RouteIndex | undefined;
  let isConfirmed = false;
  let firstHeardAt: number | undefined;

  const view: TableView = {
    get index() {
      return view.isUsable ? newest : undefined;
    },
    get isUsable() {
      if (newest === undefined) return false;
      return isConfirmed || hasWaited();
    },
    receive,
  };
  return view;

  function hasWaited(): boolean {
    if (host.isStrict || firstHeardAt === undefined) return false;
    return clock.now() - firstHeardAt > UNCONFIRMED_WAIT_MS;
  }

  function receive({ revision, document }: TableDocument, confirmed: boolean): void {
    const before = newest?.table.revision ?? 0;
    if (revision > before && !replace(revision, document, before, confirmed)) return;
    // What was in force, even if that was no table yet, is older than all that is pushed from now on.
    if (confirmed) isConfirmed = true;
  }

  function replace(
    revision: number,
    document: Uint8Array,
    before: number,
    confirmed: boolean,
  ): boolean {
    try {
      newest = createRouteIndex(host.decode(document));
    } catch (caught) {
      const reason = describeFailure(toFailure(caught));
      logger.event('tableUnreadable', { revision, reason });
      return false;
    }
    firstHeardAt ??= clock.now();
    const routes = newest.table.routes.length;
    logger.event('tableInForce', { revision, before, confirmed: String(confirmed), routes });
    host.onTable(newest.table);
    return true;
  }
}
