/** Orders of operators while the leader of the keepers is lost, with real processes. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  createPlatformLayout,
  type LayoutMachine,
  type PlatformLayout,
} from '../fixtures/platformLayout.js';
import { createRandom } from '../fixtures/random.js';
import { declareUntilAcknowledged, type Order } from '../fixtures/retryingOperator.js';

const NETWORK = 19;
const START_TIMEOUT_MS = 10_000;
const SEED = 4301;
const ROUNDS = 4;
const ORDERS = 8;
const ORDER_INTERVAL_MS = 150;
/** Time for which a keeper that is back catches up before the next round. */
const CATCH_UP_MS = 2_500;
/** A keeper that answers 503 sooner has not waited for the leader that is about to be elected. */
const MIN_REFUSAL_MS = 800;
/** Longest time that the platform allows an acknowledgement. */
const ACKNOWLEDGEMENT_LIMIT_MS = 4_000;

describe('orders that are sent while the leader is lost', () => {
  let layout: PlatformLayout;
  let version: number;
  const random = createRandom(SEED);

  beforeEach(async () => {
    layout = await createPlatformLayout({ keeper: 3, gateway: 0 }, NETWORK);
    version = 0;
    for (const keeper of layout.list('keeper')) layout.start(keeper, true);
    await order();
  });

  afterEach(() => layout.stop());

  function order(): Promise<Order> {
    version += 1;
    return declareUntilAcknowledged(version, layout.controlAddresses, random);
  }

  async function findLeader(): Promise<LayoutMachine> {
    const find = (): LayoutMachine | undefined => layout.list('keeper').find(isLeader);
    return waitFor('a leader', () => Promise.resolve(find()), START_TIMEOUT_MS);
  }

  function isLeader({ process: child }: LayoutMachine): boolean {
    const line = child?.output.findLast((candidate) => /"leader(Elected|Lost)"/.test(candidate));
    return line?.includes('"leaderElected"') ?? false;
  }

  /** Sends orders one after the other, whether the earlier ones are acknowledged or not. */
  async function orderRepeatedly(): Promise<Order[]> {
    const orders: Promise<Order>[] = [];
    for (let count = 0; count < ORDERS; count += 1) {
      orders.push(order());
      await delay(ORDER_INTERVAL_MS);
    }
    return Promise.all(orders);
  }

  function check(orders: readonly Order[], lost: LayoutMachine): void {
    const lostAddress = layout.getControlAddress(lost);
    for (const sent of orders) {
      const text = JSON.stringify(sent);
      assert.ok(sent.milliseconds < ACKNOWLEDGEMENT_LIMIT_MS, text);
      for (const { address, status, milliseconds } of sent.attempts) {
        assert.ok(status !== 503 || milliseconds >= MIN_REFUSAL_MS, text);
        assert.ok(status !== undefined || address === lostAddress, text);
      }
    }
  }

  // Keepers answered 503 at once; operators came back after ever longer pauses.
  it('are neither refused at once nor left without an answer when it is killed', async (test) => {
    for (let round = 0; round < ROUNDS; round += 1) {
      const leader = await findLeader();
      await layout.kill(leader);
      const orders = await orderRepeatedly();
      test.diagnostic(describeOrders(orders));
      check(orders, leader);
      layout.start(leader, false);
      await delay(CATCH_UP_MS);
    }
  });

  // Keepers waited for the lost leader until the operator had left.
  it('are neither refused at once nor left without an answer when it stands still', async (test) => {
    for (let round = 0; round < ROUNDS; round += 1) {
      const leader = await findLeader();
      leader.process!.signal('SIGSTOP');
      const orders = await orderRepeatedly();
      test.diagnostic(describeOrders(orders));
      check(orders, leader);
      leader.process!.signal('SIGCONT');
      await delay(CATCH_UP_MS);
    }
  });
});

function describeOrders(orders: readonly Order[]): string {
  const attempts = orders.flatMap((order) => order.attempts);
  return JSON.stringify({
    slowestMs: Math.max(...orders.map(({ milliseconds }) => milliseconds)),
    attempts: attempts.length,
    refused: attempts.filter(({ status }) => status === 503).length,
    unanswered: attempts.filter(({ status }) => status === undefined).length,
  });
}
