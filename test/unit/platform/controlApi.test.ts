/** What a keeper logs of an operator's order that ends without an acknowledgement. */

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { request } from 'undici';
import { startControlApi } from '../../../platform/controlApi.js';
import { createBodyAdmission } from '../../../src/common/bodyAdmission.js';
import { createClientMemory } from '../../../src/common/clientMemory.js';
import { SystemClock } from '../../../src/common/clock.js';
import { RaisedFailure } from '../../../src/common/failure.js';
import type { Logger } from '../../../src/common/logging.js';
import type { ControlApi, ControlApiHost } from '../../../src/daemon/types.js';
import { delay, waitFor } from '../../fixtures/deployment.js';
import { createTableBody } from '../../fixtures/gatewayDeployment.js';
import { getFreePort } from '../../fixtures/ports.js';

const PATH = '/turmericrack/config/replace';
const REVISION = 4;
const FAILING_MS = 100;

interface LoggedEvent {
  name: string;
  fields: Record<string, unknown>;
}

describe('an order that a keeper cannot acknowledge', () => {
  let api: ControlApi;
  let address: string;
  let events: LoggedEvent[];

  beforeEach(async () => {
    address = `127.0.0.1:${await getFreePort()}`;
    events = [];
    const logger: Logger = { event: (name, fields) => events.push({ name, fields }) };
    const host = {
      clock: new SystemClock(),
      logger,
      listen: address,
      bodies: createBodyAdmission(createClientMemory({ logger })),
      authority: { declare: failLate },
    };
    api = await startControlApi(host as unknown as ControlApiHost);
  });

  afterEach(() => api.close());

  async function failLate(): Promise<never> {
    await delay(FAILING_MS);
    throw new RaisedFailure({ kind: 'unavailable', reason: 'no leader' });
  }

  async function checkLogged(callerLeft: string): Promise<void> {
    await waitFor('the event', () => events.length > 0);
    const [{ name, fields }] = events as [LoggedEvent];
    assert.equal(name, 'tableUnacknowledged');
    const { milliseconds, ...others } = fields;
    assert.ok(Number(milliseconds) >= FAILING_MS - 1);
    assert.deepEqual(others, {
      revision: REVISION,
      reason: 'unavailable: no leader',
      callerLeft,
    });
  }

  it('is logged with what was waited for and how long', async () => {
    const body = JSON.stringify(createTableBody(REVISION));
    const response = await request(`http://${address}${PATH}`, { method: 'POST', body });
    await response.body.dump();
    assert.equal(response.statusCode, 503);
    await checkLogged('false');
  });

  it('is logged as one whose operator has left', async () => {
    const body = JSON.stringify(createTableBody(REVISION));
    const [hostname, port] = address.split(':');
    const socket = connect(Number(port), hostname, () => {
      socket.write(
        `POST ${PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      setTimeout(() => socket.destroy(), FAILING_MS / 2);
    });
    await checkLogged('true');
  });
});
