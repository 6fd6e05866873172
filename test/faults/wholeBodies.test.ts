/** Bodies within the limits of the table that come in unusual parts, to a gateway of its own process. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { splitAddress } from '../../src/common/settings.js';
import { waitFor } from '../fixtures/deployment.js';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

const MAX_BODY_BYTES = 4 * 1_024 * 1_024;
const TIMEOUT_MS = 60_000;

describe('a body within the limits', () => {
  let deployment: GatewayDeployment;

  before(async () => {
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: 8, workMs: 5 },
    ]);
    const table = addRoutes(createTableBody(1), [
      { name: 'slow', service: 'desk', fields: { timeoutMs: TIMEOUT_MS } },
    ]);
    const limits = { ...(table.limits as object), maxBodyBytes: MAX_BODY_BYTES };
    assert.equal(await deployment.declare({ ...table, limits }), 200);
    await deployment.waitServing();
  });

  after(() => deployment.stop());

  // The limits on what all clients make a gateway hold must not concern a single request.
  it('of the largest size is served in chunks of one byte', () =>
    checkServed('1\r\nx\r\n'.repeat(MAX_BODY_BYTES)));

  it('of the largest size is served in one chunk', () =>
    checkServed(`${MAX_BODY_BYTES.toString(16)}\r\n${'x'.repeat(MAX_BODY_BYTES)}\r\n`));

  it('that is larger is refused with a status', async () => {
    const received = await send(`fff0\r\n${'x'.repeat(0xfff0)}\r\n`.repeat(65));
    assert.match(received, /^HTTP\/1\.1 413 /);
  });

  async function checkServed(chunks: string): Promise<void> {
    assert.match(await send(chunks), /^HTTP\/1\.1 200 /);
  }

  async function send(chunks: string): Promise<string> {
    const socket = connect(splitAddress(deployment.getGatewayAddress(0)));
    let received = '';
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
    });
    const lines = ['POST /slow/1 HTTP/1.1', 'Host: a.example', 'Turmericrack-Attempt-Id: whole'];
    socket.write(`${[...lines, 'Transfer-Encoding: chunked'].join('\r\n')}\r\n\r\n`);
    socket.write(`${chunks}0\r\n\r\n`);
    await waitFor('the answer', () => received.includes('\r\n\r\n'), TIMEOUT_MS);
    socket.destroy();
    return received;
  }
});
