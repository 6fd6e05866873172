/**
 * Invalid input is answered with a typed error, changes no state, leaks nothing, and ends no
 * process.
 */

import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { Metadata, type ServiceError } from '@grpc/grpc-js';
import { request } from 'undici';
import { peerCredentials } from '../../src/common/rpc.js';
import { KeeperClient } from '../../src/generated/keeper.js';
import { askModel, callService, isExpected } from '../fixtures/caller.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createExplanationBody,
  createLabelBody,
  createServicePlan,
  getTeamKey,
} from '../fixtures/workloads.js';

const MAX_BODY_BYTES = 200_000;

interface Problem {
  type: string;
  outcome: string;
}

describe('invalid input', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 1,
      entries: 1,
      endpoints: [createEnginePlan('engine-a'), createServicePlan('desk-a', 'order-desk')],
      entry: { maxBodyBytes: MAX_BODY_BYTES },
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(async () => {
    const ids = [...deployment.keeperIds, ...deployment.entryIds, ...deployment.agentIds];
    const stopped = ids.filter((id) => !deployment.getProcess(id).isRunning);
    await deployment.stop();
    assert.deepEqual(stopped, []);
  });

  async function post(body: string, headers: Record<string, string> = {}) {
    const response = await request(`${deployment.entryUrl()}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${getTeamKey('sorters')}`, ...headers },
      body,
    });
    const problem = (await response.body.json()) as Problem;
    const kind = problem.type.split(':').at(-1);
    return { status: response.statusCode, kind, outcome: problem.outcome };
  }

  function countArrived(): number {
    return deployment.readRecords('engine-a').filter(({ kind }) => kind === 'arrived').length;
  }

  it('from callers is refused as not run', async () => {
    const good = JSON.stringify(createLabelBody('x'));
    const cases: [string, Record<string, string>, number, string][] = [
      ['{"model": "kernel-lm", "messages": [', {}, 400, 'bad_request'],
      ['[]', {}, 400, 'bad_request'],
      ['{"model": 5, "messages": []}', {}, 400, 'bad_request'],
      ['{"model": "kernel-lm", "messages": [{"role": 1}]}', {}, 400, 'bad_request'],
      ['{"model": "kernel-lm", "prompt": "x", "max_tokens": -1}', {}, 400, 'bad_request'],
      [JSON.stringify({ ...createLabelBody('x'), model: 'no-such' }), {}, 404, 'unknown_model'],
      [good, { authorization: 'Bearer nobody' }, 401, 'unauthorized'],
      [good, { authorization: 'Basic abc' }, 401, 'unauthorized'],
      [good, { 'x-useful-ms': '-4' }, 400, 'bad_request'],
      [good, { 'idempotency-key': 'k'.repeat(300) }, 400, 'bad_request'],
      [JSON.stringify({ pad: 'x'.repeat(MAX_BODY_BYTES) }), {}, 413, 'too_large'],
    ];
    const arrived = countArrived();
    for (const [body, headers, status, kind] of cases) {
      const expected = { status, kind, outcome: 'not_run' };
      assert.deepEqual(await post(body, headers), expected, `${body.slice(0, 60)} ${kind}`);
    }
    assert.equal(countArrived(), arrived);
  });

  it('for services is refused as not run', async () => {
    const options = { team: 'shops' };
    const unknown = await callService(
      deployment.entryUrl(),
      'GET',
      'nothing/x',
      undefined,
      options,
    );
    assert.deepEqual([unknown.status, unknown.problem], [404, 'unknown_service']);
    const url = deployment.entryUrl();
    const keyless = await callService(url, 'POST', 'order-desk/orders', '{}', options);
    assert.deepEqual([keyless.status, keyless.problem], [400, 'key_required']);
    assert.equal(deployment.readRecords('desk-a').length, 0);
  });

  it('that is truncated by a disconnect starts no request', async () => {
    const arrived = countArrived();
    const { port } = new URL(deployment.entryUrl());
    const socket = connect(Number(port), '127.0.0.1');
    const head = [
      'POST /v1/chat/completions HTTP/1.1',
      'host: localhost',
      `authorization: Bearer ${getTeamKey('sorters')}`,
      'content-length: 1000',
      '',
      '{"model": "kernel-lm"',
    ];
    socket.write(head.join('\r\n'));
    await delay(100);
    socket.destroy();
    const body = createLabelBody('after the cut');
    const answer = await askModel(deployment.entryUrl(), body, { team: 'sorters' });
    assert.ok(isExpected(body, answer));
    assert.equal(countArrived(), arrived + 1);
  });

  it("whose caller disconnects midway cancels the engine's stream", async () => {
    const controller = new AbortController();
    const body = createExplanationBody('T-9', 2_000);
    const options = { team: 'weighers', signal: controller.signal };
    const call = askModel(deployment.entryUrl(), body, options).catch(() => undefined);
    const started = await waitFor('a started stream', () =>
      deployment.readRecords('engine-a').find(({ kind, id }) => {
        const records = deployment.readRecords('engine-a');
        const isOpen = !records.some((other) => other.id === id && other.kind === 'finished');
        return kind === 'firstToken' && isOpen;
      }),
    );
    controller.abort();
    await call;
    await waitFor('the cancellation', () =>
      deployment
        .readRecords('engine-a')
        .some(({ kind, id }) => kind === 'cancelled' && id === started.id),
    );
  });

  it('in tickets is reported with line and key, and changes nothing', async () => {
    const revisionBefore = (await deployment.status()).configRevision;
    const cases: [string, number, RegExp][] = [
      ['number = 2\n[[team]]\nname = "x"\n', 3, /:2: team\.0: .*tier/],
      [
        'number = 2\n\n[[tier]]\nname = "x"\nrank = 3\ncolour = 1\n',
        3,
        /:6: tier\.0\.colour: unknown key/,
      ],
      ['number = \n', 3, /:1: /],
      ['number = 2\nremove = ["tier/now"]\n', 3, /team\/sorters: there is no tier 'now'/],
      ['number = "two"\n', 3, /:1: number: must be integer/],
    ];
    for (const [toml, code, pattern] of cases) {
      const path = join(deployment.folder, 'bad.toml');
      writeFileSync(path, toml);
      const result = await deployment.cli('ticket', 'apply', path);
      assert.equal(result.code, code, result.output);
      assert.match(result.output, pattern);
    }
    assert.equal((await deployment.status()).configRevision, revisionBefore);
  });

  it('between processes is refused with a typed error and logged once', async () => {
    const { address } = (await deployment.status()).keepers.voters[0] ?? { address: '' };
    const client = new KeeperClient(address, peerCredentials);
    const probe = (deploymentName: string, secret: string) =>
      new Promise<ServiceError | null>((resolve) => {
        const metadata = new Metadata();
        metadata.set('deployment', deploymentName);
        metadata.set('secret', secret);
        const message = { deployment: deploymentName, from: undefined };
        client.probe(message, metadata, (error) => resolve(error));
      });
    const refusals = [
      await probe('other', 'a secret of the test'),
      await probe('other', 'a secret of the test'),
      await probe('test', 'guessed'),
    ];
    for (const refusal of refusals) assert.equal(refusal?.code, 7);
    assert.equal(await probe('test', 'a secret of the test'), null);
    client.close();
    const listLogged = (): string[] =>
      deployment.getProcess('keeper-0').output.filter((line) => line.includes('"code":1005'));
    await waitFor('both refusals to be logged', () => listLogged().length >= 2);
    // Log lines are written in batches, so a surplus line would only appear with the next batch.
    await delay(1_000);
    assert.equal(listLogged().length, 2);
  });

  it('as an oversized or malformed frame does not end a process', async () => {
    const { address } = (await deployment.status()).keepers.voters[0] ?? { address: '' };
    const port = Number(address.split(':')[1]);
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write(Buffer.alloc(100_000, 0xff));
    await delay(200);
    socket.destroy();
    assert.ok((await deployment.status()).leader);
  });
});
