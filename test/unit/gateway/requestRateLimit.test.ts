/** All gateways together keep to the request rate that an endpoint states, and use it. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createRequestRateLimit,
  type PeerRate,
  type RequestRateLimit,
} from '../../../src/gateway/requestRateLimit.js';
import { countMostInWindow } from '../../fixtures/arrivals.js';
import { createRandom } from '../../fixtures/random.js';

const SEEDS = [1, 2, 3];
const STEP_MS = 10;
const REPORT_INTERVAL_MS = 100;
const REPORT_LAG_MS = 200;
const CONTACT_MS = 3_000;
/** Time until what was sent before all gateways knew of the limit is made up for. */
const SETTLED_MS = 15_000;
const WINDOW_MS = 4_000;
const DURATION_MS = 80_000;
const RESTART_AT_MS = 40_000;

interface Report {
  arrivesAt: number;
  from: number;
  peer: PeerRate;
}

interface Scenario {
  gateways: number;
  perSecond: number;
  seed: number;
  /** Number of gateways that want to send, all the time. */
  busy?: number;
  /** Whether every second gateway starts anew after half the time. */
  restarts?: boolean;
}

/** Returns the times at which the endpoint receives requests from gateways that always want more. */
function simulate({ gateways, perSecond, seed, busy = gateways, restarts = false }: Scenario) {
  const random = createRandom(seed);
  const reports: Report[] = [];
  const arrivals: number[] = [];
  const counts = { responsive: gateways, known: gateways };
  let time = 0;
  const create = (incarnation: string) => ({
    incarnation,
    limit: createRequestRateLimit({ now: () => time, random, onChange() {} }),
  });
  const members = Array.from({ length: gateways }, () => create('first'));
  for (; time < DURATION_MS; time += STEP_MS) {
    if (restarts && time === RESTART_AT_MS) {
      for (let index = 0; index < gateways; index += 2) members[index] = create('second');
    }
    if (time % REPORT_INTERVAL_MS === 0) members.forEach(report);
    deliver();
    const first = Math.floor(random() * busy);
    for (let index = 0; index < busy; index += 1) trySend(members[(first + index) % busy]?.limit);
  }
  return arrivals;

  function trySend(limit: RequestRateLimit | undefined): void {
    if (limit === undefined || !limit.canPlace(counts)) return;
    limit.recordPlacement();
    arrivals.push(time);
    limit.recordResponse(perSecond, time);
  }

  function report({ incarnation, limit }: (typeof members)[number], from: number): void {
    const { sent, isWanted, statement } = limit;
    if (statement === undefined) return;
    const gatewayId = `gateway-${from}`;
    const peer = { gatewayId, incarnation, sent, isWanted, statement };
    reports.push({ arrivesAt: time + REPORT_LAG_MS, from, peer });
  }

  function deliver(): void {
    while (reports[0] !== undefined && reports[0].arrivesAt <= time) {
      const { from, peer } = reports.shift()!;
      for (const [index, { limit }] of members.entries()) {
        if (index !== from) limit.applyPeer(peer);
      }
    }
  }
}

describe('the request rate of an endpoint', () => {
  for (const gateways of [1, 4, 9, 27]) {
    for (const perSecond of [0.5, 3, 9.3, 40]) {
      const most = 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;

      it(`${perSecond} is not exceeded by ${gateways} gateways, and is used`, () => {
        for (const seed of SEEDS) {
          const arrivals = simulate({ gateways, perSecond, seed });
          const reached = countMostInWindow(arrivals, WINDOW_MS, CONTACT_MS);
          assert.ok(reached <= most, `${reached} of ${most}, seed ${seed}`);
          const used = arrivals.filter((at) => at >= SETTLED_MS).length;
          const stated = (perSecond * (DURATION_MS - SETTLED_MS)) / 1_000;
          assert.ok(used >= 0.8 * stated, `${used} of ${stated}, seed ${seed}`);
        }
      });

      it(`${perSecond} is not exceeded while every second of ${gateways} restarts`, () => {
        for (const seed of SEEDS) {
          const arrivals = simulate({ gateways, perSecond, seed, restarts: true });
          const before = arrivals.filter((at) => at < RESTART_AT_MS);
          assert.ok(countMostInWindow(before, WINDOW_MS, CONTACT_MS) <= most);
          const reached = countMostInWindow(arrivals, WINDOW_MS, RESTART_AT_MS + CONTACT_MS);
          assert.ok(reached <= most, `${reached} of ${most}, seed ${seed}`);
        }
      });
    }
  }

  it('is used by a single gateway with requests among many without', () => {
    const arrivals = simulate({ gateways: 9, perSecond: 10, seed: 3, busy: 1 });
    const used = arrivals.filter((at) => at >= CONTACT_MS).length;
    assert.ok(used >= (0.8 * 10 * (DURATION_MS - CONTACT_MS)) / 1_000, `${used}`);
  });

  it('ends with a response to a request that was sent under it, at all gateways', () => {
    let time = 0;
    const create = () =>
      createRequestRateLimit({ now: () => time, random: () => 0.5, onChange() {} });
    const [left, right] = [create(), create()];
    for (const limit of [left, right]) limit.recordResponse(1, 0);
    const counts = { responsive: 2, known: 2 };
    time = 10;
    left.recordResponse(undefined, -1);
    assert.equal(left.canPlace(counts), false, 'an answer that had begun before ends no limit');
    left.recordResponse(undefined, 5);
    assert.equal(left.canPlace(counts), true);
    const { statement } = left;
    assert.ok(statement !== undefined);
    right.applyPeer({ gatewayId: 'left', incarnation: 'x', sent: 0, isWanted: true, statement });
    assert.equal(right.canPlace(counts), true);
  });

  it('is used only in part while other gateways are silent', () => {
    let time = 0;
    const limit = createRequestRateLimit({ now: () => time, random: () => 0, onChange() {} });
    limit.recordResponse(10, 0);
    let sent = 0;
    for (; time < 10_000; time += STEP_MS) {
      if (!limit.canPlace({ responsive: 1, known: 4 })) continue;
      limit.recordPlacement();
      sent += 1;
    }
    assert.ok(sent <= 27, `${sent} sent`);
  });
});
