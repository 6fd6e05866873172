/** When a gateway may act on a table, and that it never goes back to an earlier one. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VirtualClock } from '../../../src/common/clock.js';
import { createTableView, type TableView } from '../../../src/gateway/tableView.js';
import type { RoutingTable } from '../../../src/routing/types.js';

interface Fixture {
  view: TableView;
  clock: VirtualClock;
  followed: number[];
  push(revision: number, isConfirmed: boolean): void;
}

function createFixture(isStrict = false): Fixture {
  const clock = new VirtualClock();
  const followed: number[] = [];
  const view = createTableView({
    clock,
    logger: { event() {} },
    isStrict,
    decode: (document) => JSON.parse(Buffer.from(document).toString()) as RoutingTable,
    onTable: (table) => followed.push(table.revision),
  });
  return { view, clock, followed, push };

  function push(revision: number, isConfirmed: boolean): void {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const table: RoutingTable = { revision, routes: [], pools: [], teams: undefined, limits };
    const document = revision === 0 ? Buffer.alloc(0) : Buffer.from(JSON.stringify(table));
    view.receive({ revision, document }, isConfirmed);
  }
}

describe('the table of a gateway', () => {
  it('is used at once when it was pushed after the keepers confirmed that there was none', () => {
    const { view, followed, push } = createFixture();
    push(0, true);
    push(3, false);
    assert.equal(view.isUsable, true);
    assert.deepEqual(followed, [3]);
  });

  it('is followed by quotas and limits also before it may be used', () => {
    const { view, clock, followed, push } = createFixture();
    push(3, false);
    assert.equal(view.isUsable, false);
    assert.deepEqual(followed, [3]);
    clock.advance(10_000);
    assert.equal(view.isUsable, true);
  });

  it('is not used unconfirmed where revocation is strict', () => {
    const { view, clock, push } = createFixture(true);
    push(3, false);
    clock.advance(10_000);
    assert.equal(view.isUsable, false);
    push(3, true);
    assert.equal(view.isUsable, true);
  });

  it('never goes back to an earlier revision', () => {
    const { view, push } = createFixture();
    push(5, true);
    push(4, true);
    push(5, false);
    assert.equal(view.index?.table.revision, 5);
  });

  it('stays when a newer document cannot be read', () => {
    const { view, push } = createFixture();
    push(5, true);
    view.receive({ revision: 6, document: Buffer.from('{') }, true);
    assert.equal(view.index?.table.revision, 5);
  });
});
