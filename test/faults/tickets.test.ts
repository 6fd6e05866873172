/**
 * Tickets submitted concurrently, submitted again as after a lost answer, and submitted while
 * members are silently isolated.
 */

import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { stringify } from 'smol-toml';
import { request } from 'undici';
import type { TicketDescription } from '../../src/cli/types.js';
import type { Ticket } from '../../src/generated/schemas.js';
import { askModel, beginCall } from '../fixtures/caller.js';
import type { EndpointRecord } from '../fakes/recorder.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import { createTraceReceiver, type TraceReceiver } from '../fixtures/traceReceiver.js';
import { createBaseTicket, createEnginePlan, createLabelBody } from '../fixtures/workloads.js';

/** Time within which a ticket must be in force, as required for the planned deployment size. */
const IN_FORCE_LIMIT_MS = 3_000;
const NANOSECONDS_PER_MS = 1_000_000;

describe('tickets', () => {
  let deployment: Deployment;
  let receiver: TraceReceiver;

  before(async () => {
    receiver = await createTraceReceiver();
    deployment = await createDeployment({
      keepers: 3,
      entries: 2,
      endpoints: [createEnginePlan('engine-a'), createEnginePlan('engine-b')],
      proxied: true,
      snapshotEntries: 100,
      settings: { tracing: { otlp: receiver.url } },
    });
    await deployment.waitReady();
    await deployment.applyTicket(stringify(createBaseTicket()));
  });

  after(async () => {
    await deployment.stop();
    receiver.close();
  });

  async function submit(keeper: number, ticket: Ticket): Promise<{ status: number; body: string }> {
    let address = deployment.operatorAddresses[keeper];
    while (true) {
      const response = await request(`http://${address}/v1/tickets`, {
        method: 'POST',
        body: stringify(ticket),
      });
      const body = await response.body.text();
      const { location } = response.headers;
      if (response.statusCode !== 307) return { status: response.statusCode, body };
      address = new URL(String(location)).host;
    }
  }

  /** Uses HTTP because starting a command-line process takes longer than the request. */
  async function isInForce(number: number): Promise<boolean> {
    const { leader } = await deployment.status();
    const address = deployment.operatorAddresses[deployment.keeperIds.indexOf(leader)];
    const response = await request(`http://${address}/v1/tickets/${number}`);
    const description = (await response.body.json()) as TicketDescription;
    return description.inForce;
  }

  function createWeightTicket(number: number, weight: number): Ticket {
    const team = createBaseTicket().team?.find(({ name }) => name === 'sorters');
    assert.ok(team !== undefined);
    return { number, team: [{ ...team, weight }] };
  }

  it('that two operators submit under the same number: exactly one is accepted', async () => {
    for (let number = 10; number < 20; number += 1) {
      const results = await Promise.all([
        submit(0, createWeightTicket(number, 1)),
        submit(1, createWeightTicket(number, 2)),
      ]);
      const statuses = results.map((result) => result.status).sort();
      assert.deepEqual(statuses, [200, 409], JSON.stringify(results));
    }
  });

  it('submitted again get the first answer, after 300 others and a restart of every keeper', async () => {
    const ticket = createWeightTicket(30, 3);
    const first = JSON.parse((await submit(0, ticket)).body) as TicketDescription;
    for (let number = 31; number < 331; number += 1) {
      const { status } = await submit(number % 3, createWeightTicket(number, 1 + (number % 9)));
      assert.equal(status, 200);
    }
    for (const id of deployment.keeperIds) {
      await deployment.getProcess(id).kill();
      deployment.restart(id);
    }
    await deployment.status();
    const again = JSON.parse((await submit(2, ticket)).body) as TicketDescription;
    assert.equal(again.revision, first.revision);
    assert.equal(again.repeated, true);
    const things = await deployment.cli('ticket', 'show', '330', '--json');
    assert.match(things.output, /"weight":7/);
    const stale = await submit(0, createWeightTicket(29, 3));
    assert.equal(stale.status, 409);
  });

  it('are in force everywhere within 3 s while a member is silently isolated', async () => {
    await waitForLeases();
    const cut = deployment.keeperIds.map((keeper) => deployment.getProxy('engine-b', keeper));
    for (const proxy of cut) proxy.setFlow('drop', 'drop');
    const startedAt = performance.now();
    const path = join(deployment.folder, 'cut.toml');
    writeFileSync(path, stringify(createWeightTicket(400, 5)));
    await submit(0, createWeightTicket(400, 5));
    await waitFor('the ticket to be in force', () => isInForce(400));
    const elapsed = performance.now() - startedAt;
    for (const proxy of cut) proxy.heal();
    assert.ok(elapsed <= IN_FORCE_LIMIT_MS, `${elapsed} ms`);
  });

  /** Sends calls of a team until the returned function is called, which resolves with their ids. */
  function startCalls(team: string, callers: number, tokens: number) {
    const ids = new Set<string>();
    let isRunning = true;
    const run = async () => {
      while (isRunning) {
        const headers = { 'x-useful-ms': '3000' };
        const body = { ...createLabelBody(`x ${Math.random()}`), max_tokens: tokens };
        const answer = await askModel(deployment.entryUrl(0), body, { team, headers });
        ids.add(answer.requestId);
        if (answer.status === 401) await delay(50);
      }
    };
    const running = Array.from({ length: callers }, run);
    return async () => {
      isRunning = false;
      await Promise.all(running);
      return ids;
    };
  }

  /**
   * Checks that some of the requests were dispatched before `inForceAt`, and none after. A request
   * may still be on its way then, so one that arrived later is judged by its dispatch.
   */
  async function checkDispatches(ids: ReadonlySet<string>, inForceAt: number): Promise<void> {
    const records = ['engine-a', 'engine-b'].flatMap((id) => deployment.readRecords(id));
    const arrivals = records.filter(({ kind, id }) => kind === 'arrived' && ids.has(id));
    assert.ok(
      arrivals.some(({ at }) => at < inForceAt),
      'some requests arrived before the ticket was in force',
    );
    for (const arrival of arrivals) {
      if (arrival.at <= inForceAt) continue;
      const dispatchedAt = await getDispatchTime(arrival);
      assert.ok(dispatchedAt <= inForceAt, `dispatched ${dispatchedAt - inForceAt} ms too late`);
    }
  }

  /** Wall-clock time at which the agent dispatched a request, from the agent's span. */
  async function getDispatchTime({ detail, id }: EndpointRecord): Promise<number> {
    const span = await waitFor(`the span of request ${id}`, () =>
      receiver.spans.find(({ spanId }) => detail?.includes(spanId)),
    );
    const dispatched = span.events?.find(({ name }) => name === 'dispatched');
    assert.ok(dispatched !== undefined, 'the span has the time of the dispatch');
    return Number(dispatched.timeUnixNano) / NANOSECONDS_PER_MS;
  }

  it('in force are not violated by requests that were already waiting', async () => {
    await waitForLeases();
    const stop = startCalls('weighers', 40, 60);
    await delay(1_000);
    await submit(0, { number: 410, remove: ['team/weighers'] });
    await waitFor('the ticket to be in force', () => isInForce(410));
    const inForceAt = Date.now();
    await delay(1_500);
    await checkDispatches(await stop(), inForceAt);
  });

  it('in force are not violated by members that were silently isolated', async () => {
    await waitForLeases();
    const stop = startCalls('buyers', 3, 4);
    await delay(500);
    const cut = deployment.keeperIds.flatMap((keeper) => [
      deployment.getProxy('entry-0', keeper),
      deployment.getProxy('engine-a', keeper),
    ]);
    for (const proxy of cut) proxy.setFlow('drop', 'drop');
    await submit(0, { number: 500, remove: ['team/buyers'] });
    await waitFor('the ticket to be in force', () => isInForce(500));
    const inForceAt = Date.now();
    await delay(3_000);
    for (const proxy of cut) proxy.heal();
    await delay(1_000);
    await checkDispatches(await stop(), inForceAt);
  });

  it('in force are not violated by requests whose body was still being read', async () => {
    await waitForLeases();
    const body = JSON.stringify(createLabelBody('slow body'));
    const call = beginCall(deployment.entryUrl(0), 'sorters', body.length);
    call.write(body.slice(0, 10));
    await delay(300);
    await submit(0, { number: 600, remove: ['team/sorters'] });
    await waitFor('the ticket to be in force', () => isInForce(600));
    const { status, requestId } = await call.end(body.slice(10));
    assert.equal(status, 401);
    const records = ['engine-a', 'engine-b'].flatMap((id) => deployment.readRecords(id));
    assert.ok(records.every(({ id }) => id !== requestId));
  });

  async function waitForLeases(): Promise<void> {
    await waitFor('all members to hold leases', async () => {
      const { members } = await deployment.status();
      return members.filter((member) => member.hasLease).length === 4;
    });
    await delay(300);
  }
});
