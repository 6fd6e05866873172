/**
 * Callers that place orders at a sound service, one after the other on connections that they keep. The
 * first order of a connection takes little work, those that follow take some seconds.
 */

import { setTimeout as delay } from 'node:timers/promises';
import { createAttemptId, encodeRequest, openConnection, readResponse } from './client.mjs';
import { createRoute } from './operator.mjs';
import { answer, startReplica } from './replica.mjs';

const SERVICE = 'app';
const ROUTE = 'order';
const FIRST_PATH = `/${ROUTE}/first`;
const NEXT_PATH = `/${ROUTE}/next`;
const FIRST_WORK_MS = 50;
const DEADLINE_MS = 15_000;
const CAPACITY = 10;
/** The rule on requests that are passed on and not answered is broken by more than so many. */
const MAX_CUT_OFF = 3;

/** The service of the orders. */
export const orderService = { name: SERVICE };

/** The route of the orders. */
export const orderRoute = createRoute(ROUTE, {
  service: SERVICE,
  kind: 'non_idempotent',
  timeoutMs: DEADLINE_MS,
  attempts: 1,
});

/** Creates the callers; orders but the first of each connection take `workMs`. */
export function createBuyers(workMs) {
  const passedOn = new Set();
  const cutOff = [];
  let answered = 0;
  let isOver = false;

  return {
    startReplica: (deployment) =>
      startReplica(deployment, { id: 'i-app', service: SERVICE, capacity: CAPACITY }, serve),
    /** Resolves at the end of all connections. */
    run: (address, count) => Promise.all(Array.from({ length: count }, () => buy(address))),
    /** No further orders are placed; those under way are still waited for. */
    stop() {
      isOver = true;
    },
    /** Notes what came of the orders, and whether the rule is broken. */
    judge(record) {
      const lost = cutOff.join(', ') || 'none';
      record.note(`orders: ${answered} answered; passed on and cut off: ${lost}`);
      if (cutOff.length <= MAX_CUT_OFF) return;
      record.breaks(
        `${cutOff.length} requests passed on to a sound replica ended without an answer`,
      );
    },
  };

  async function serve(request, response) {
    passedOn.add(request.headers['turmericrack-attempt-id']);
    await delay(request.url === FIRST_PATH ? FIRST_WORK_MS : workMs);
    if (!response.destroyed) answer(response, 'placed');
  }

  async function buy(address) {
    const socket = await openConnection(address);
    for (let count = 0; !isOver && !socket.destroyed; count += 1) {
      const id = createAttemptId();
      const path = count === 0 ? FIRST_PATH : NEXT_PATH;
      const response = readResponse(socket);
      socket.write(encodeRequest({ method: 'POST', path, id, deadlineMs: DEADLINE_MS }));
      const { status, end } = await response;
      if (end === 'complete') {
        answered += 1;
      } else if (count > 0 && status === undefined && passedOn.has(id)) {
        // The connection counts as kept from its second request on.
        cutOff.push(id);
      }
    }
    socket.destroy();
  }
}
