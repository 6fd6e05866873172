/** Requests that a caller sends on one connection without waiting for the answers before them. */

import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, beforeEach, describe, it } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

const ANSWER_BYTES = 250_000;
/** More answers than the buffers of a connection on loopback hold. */
const LARGE_CALL_COUNT = 60;
/** Time that the endpoint takes for a large answer, and the gateway to forward it. */
const ANSWERED_MS = 2_000;
/** Time after the signal at which the caller reads on. */
const PAUSE_MS = 3_500;
const SMALL_CALL_COUNT = 4;
const STOPPING_MS = 200;
/** Time that the endpoint takes for a slow answer. */
const SLOW_ANSWER_MS = 1_500;
/** Longer than a gateway without requests takes to stop, and shorter than its grace. */
const IDLE_STOP_LIMIT_MS = 5_000;
const BODY_PART_COUNT = 10;
const BODY_PART_INTERVAL_MS = 20;

describe('a stopping gateway', () => {
  let deployment: GatewayDeployment;

  beforeEach(async () => {
    await deployment?.stop();
    const plan = { slots: 100, workMs: 100 };
    deployment = await createGatewayDeployment([
      { ...plan, id: 'desk-a', pool: 'desk' },
      { ...plan, id: 'large-a', pool: 'large', answerBytes: ANSWER_BYTES },
      { ...plan, id: 'slow-a', pool: 'slow', workMs: SLOW_ANSWER_MS },
    ]);
    const routes = ['large', 'slow'].map((name) => ({ name, service: name, fields: {} }));
    assert.equal(await deployment.declare(addRoutes(createTableBody(1), routes)), 200);
    await deployment.waitServing();
  });

  after(() => deployment.stop());

  function open(): Socket {
    const [host, port] = deployment.getGatewayAddress(0).split(':');
    const socket = connect(Number(port), host);
    socket.setEncoding('latin1');
    socket.on('error', () => {});
    return socket;
  }

  function formatCalls(path: string, ids: readonly string[]): string {
    return ids
      .map(
        (id) => `GET ${path} HTTP/1.1\r\nHost: a.example\r\nTurmericrack-Attempt-Id: ${id}\r\n\r\n`,
      )
      .join('');
  }

  async function readAll(socket: Socket): Promise<string> {
    let text = '';
    socket.on('data', (part: string) => {
      text += part;
    });
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.resume();
    if (!socket.closed) await closed;
    return text;
  }

  function countArrivals(ids: readonly string[]): number {
    const arrivals = deployment.endpoints.flatMap((endpoint) => endpoint.arrivals);
    return arrivals.filter((id) => ids.includes(id)).length;
  }

  it('cuts off no answer that its caller reads late', async () => {
    const ids = Array.from({ length: LARGE_CALL_COUNT }, (_unused, index) => `large-${index}`);
    const socket = open();
    socket.pause();
    socket.write(formatCalls('/large/1', ids));
    await delay(ANSWERED_MS);
    deployment.getProcess('gateway-0').signal('SIGTERM');
    await delay(PAUSE_MS);
    const text = await readAll(socket);
    const bodies = text.match(/answer to large-\d+ +/g) ?? [];
    const whole = bodies.filter(({ length }) => length === ANSWER_BYTES);
    assert.equal(whole.length, countArrivals(ids));
    assert.equal(await deployment.getProcess('gateway-0').exited, 0);
  });

  it('answers all requests of a connection that it closes', async () => {
    deployment.getProcess('gateway-0').signal('SIGTERM');
    await delay(STOPPING_MS);
    const ids = Array.from({ length: SMALL_CALL_COUNT }, (_unused, index) => `small-${index}`);
    const socket = open();
    socket.write(formatCalls('/once/1', ids));
    const text = await readAll(socket);
    const bodies = text.match(/answer to small-\d+/g) ?? [];
    assert.equal(bodies.length, countArrivals(ids));
    assert.equal(bodies.length, SMALL_CALL_COUNT);
  });

  it('runs no request that arrives after the last answer of its connection has begun', async () => {
    deployment.getProcess('gateway-0').signal('SIGTERM');
    await delay(STOPPING_MS);
    const socket = open();
    const ids = Array.from({ length: SMALL_CALL_COUNT }, (_unused, index) => `large-${index}`);
    const text = readAll(socket);
    for (const id of ids) {
      socket.write(formatCalls('/large/1', [id]));
      await delay(STOPPING_MS / ids.length);
    }
    const bodies = (await text).match(/answer to large-\d+ +/g) ?? [];
    assert.equal(bodies.length, countArrivals(ids));
  });

  it('refuses a request so that a caller which sends its body first reads the reply', async () => {
    const headOnly = formatCalls('/once/1', ['held']).replace('GET', 'POST').trimEnd();
    const holding = open();
    holding.write(`${headOnly}\r\nContent-Length: 1\r\n\r\n`);
    await delay(STOPPING_MS);
    deployment.getProcess('gateway-0').signal('SIGTERM');
    await delay(PAUSE_MS);
    const socket = open();
    let failure: Error | undefined;
    socket.on('error', (error) => {
      failure = error;
    });
    socket.pause();
    const head = formatCalls('/once/1', ['body']).replace('GET', 'POST').trimEnd();
    socket.write(`${head}\r\nContent-Length: ${BODY_PART_COUNT}\r\n\r\n`);
    for (let part = 0; part < BODY_PART_COUNT; part += 1) {
      await delay(BODY_PART_INTERVAL_MS);
      socket.write('x');
    }
    assert.match(await readAll(socket), /^HTTP\/1\.1 503 /);
    assert.equal(failure, undefined);
    holding.destroy();
  });

  it('does not wait for requests whose caller has left', async () => {
    const ids = Array.from({ length: SMALL_CALL_COUNT }, (_unused, index) => `left-${index}`);
    const socket = open();
    socket.write(formatCalls('/slow/1', ids));
    await waitFor('the requests to run', () => countArrivals(ids) === ids.length);
    socket.destroy();
    await delay(STOPPING_MS);
    const signalledAt = performance.now();
    deployment.getProcess('gateway-0').signal('SIGTERM');
    assert.equal(await deployment.getProcess('gateway-0').exited, 0);
    const stopMs = performance.now() - signalledAt;
    assert.ok(stopMs < IDLE_STOP_LIMIT_MS, `${Math.round(stopMs)} ms`);
  });
});
