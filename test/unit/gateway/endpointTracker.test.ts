/** Which connections a tracker keeps when an endpoint is announced anew. */

import assert from 'node:assert/strict';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createEndpointTracker } from '../../../src/gateway/endpointTracker.js';
import type { Announcement } from '../../../src/generated/control.js';
import { createEndpointRegistry } from '../../../src/registry/registry.js';

const BODY = 'all of the response';
const logger = { event() {} };

/** Starts an endpoint that keeps each response open, and a tracker that sends it one request. */
async function startExchange() {
  const open: ServerResponse[] = [];
  let recordArrival: () => void;
  const arrived = new Promise<void>((resolve) => {
    recordArrival = resolve;
  });
  const server = createServer((_request, response) => {
    response.write(BODY.slice(0, 3));
    open.push(response);
    recordArrival();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const registry = createEndpointRegistry(logger);
  registry.declarePools(['engines', 'desks']);
  const tracker = createEndpointTracker({
    logger,
    now: () => performance.now(),
    random: () => 0,
    registry,
    onLeaving() {},
  });
  let sequence = 0;

  function announce(changes: Partial<Announcement>): void {
    sequence += 1;
    registry.merge({
      endpointId: 'engine-a',
      bornAtMs: 1,
      sequence,
      state: 'ready',
      pool: 'engines',
      address: `127.0.0.1:${port}`,
      failureDomain: 'zone-a',
      slots: 4,
      warmingForMs: 0,
      softwareVersion: 'v1',
      ...changes,
    });
    tracker.syncWithRegistry();
  }

  announce({});
  const endpoint = tracker.listUsable('engines', false)[0] ?? assert.fail('not usable');
  endpoint.running = 1;
  const ended = new Promise<string>((resolve) => {
    let body = '';
    endpoint.client.send(
      { method: 'GET', target: '/', headers: ['Host', 'a.example'], body: undefined },
      {
        onHead() {},
        onData(chunk) {
          body += chunk.toString();
          return true;
        },
        onEnd: () => resolve(body),
        onFailure: (_wasSent, reason) => resolve(reason),
        onUnsendable: resolve,
      },
    );
  });
  await arrived;
  return {
    announce,
    ended,
    finish: () => open[0]?.end(BODY.slice(3)),
    close() {
      tracker.close();
      server.closeAllConnections();
      server.close();
    },
  };
}

describe('requests that run at an endpoint', () => {
  let exchange: Awaited<ReturnType<typeof startExchange>>;

  afterEach(() => exchange.close());

  it('are not cut when its successor starts at another address', async () => {
    exchange = await startExchange();
    exchange.announce({ bornAtMs: 2, address: '127.0.0.1:1' });
    exchange.finish();
    assert.equal(await exchange.ended, BODY);
  });

  it('are not cut when it moves to another pool', async () => {
    exchange = await startExchange();
    exchange.announce({ pool: 'desks' });
    exchange.finish();
    assert.equal(await exchange.ended, BODY);
  });

  it('end at once when its successor has taken its address', async () => {
    exchange = await startExchange();
    exchange.announce({ bornAtMs: 2 });
    assert.notEqual(await exchange.ended, BODY);
  });
});
