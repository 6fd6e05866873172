/**
 * Draining, graceful shutdown and unresponsive endpoints under load: the process or endpoint gets
 * no new requests after a few seconds, and no request in flight is cut off.
 */

import assert from 'node:assert/strict';
import { after, afterEach, before, describe, it } from 'node:test';
import { askModel, callService, isExpected, type CallerAnswer } from '../fixtures/caller.js';
import { createDeployment, delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createExplanationBody,
  createServicePlan,
} from '../fixtures/workloads.js';

/** Time after which a draining or unresponsive endpoint must get no new requests. */
const NO_NEW_WORK_LIMIT_MS = 3_000;
/** Processing time of one call at the service, whose answers cannot be resumed. */
const SERVICE_DELAY_MS = 400;

describe('draining and shutdown under load', () => {
  let deployment: Deployment;
  /** Ends the load of the current test, which would else go on after a failure. */
  let endLoad: (() => Promise<void>) | undefined;

  before(async () => {
    deployment = await createDeployment({
      keepers: 3,
      entries: 2,
      endpoints: [
        createEnginePlan('engine-a'),
        createEnginePlan('engine-b'),
        createServicePlan('desk-a', 'order-desk', SERVICE_DELAY_MS),
        createServicePlan('desk-b', 'order-desk', SERVICE_DELAY_MS),
      ],
      proxied: true,
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(() => deployment.stop());

  afterEach(async () => {
    await endLoad?.();
    endLoad = undefined;
  });

  /** Sends calls until stopped; `stop` fails if an answer was incomplete or none came. */
  function startLoad(entries: readonly number[]) {
    let isRunning = true;
    const answers: CallerAnswer[] = [];
    const failures: string[] = [];
    const run = async (entry: number) => {
      while (isRunning) {
        const body = createExplanationBody(`load ${Math.random()}`, 80);
        try {
          const answer = await askModel(deployment.entryUrl(entry), body, { team: 'weighers' });
          if (isExpected(body, answer)) answers.push(answer);
          else failures.push(`${answer.status} ${answer.problem} ${answer.text.length}`);
        } catch (caught) {
          // A stopped entry refuses connections; a load balancer would then use another entry.
          if ((caught as { code?: string }).code === 'ECONNREFUSED') return;
          failures.push(String(caught));
        }
      }
    };
    const callers = entries.flatMap((entry) => [run(entry), run(entry), run(entry)]);
    const end = async () => {
      isRunning = false;
      await Promise.all(callers);
    };
    endLoad = end;
    return {
      async stop() {
        await end();
        assert.deepEqual(failures, []);
        assert.ok(answers.length > 0);
      },
    };
  }

  /** Stops a process under load and starts it again; it must exit with 0. */
  async function stopAndRestart(id: string, pauseMs = 0): Promise<void> {
    const stopped = deployment.getProcess(id);
    stopped.signal('SIGTERM');
    const exitCode = await stopped.exited;
    await delay(pauseMs);
    deployment.restart(id);
    assert.equal(exitCode, 0);
  }

  function countArrivedAfter(endpointId: string, time: number): number {
    const records = deployment.readRecords(endpointId);
    return records.filter(({ kind, at }) => kind === 'arrived' && at > time).length;
  }

  it('a drained agent gets no new requests and completes those in flight', async () => {
    const load = startLoad([0, 1]);
    await delay(800);
    const drainStartedAt = Date.now();
    assert.equal((await deployment.cli('drain', 'engine-a')).code, 0);
    await delay(NO_NEW_WORK_LIMIT_MS + 1_000);
    assert.equal(countArrivedAfter('engine-a', drainStartedAt + NO_NEW_WORK_LIMIT_MS), 0);
    assert.ok(countArrivedAfter('engine-b', drainStartedAt + NO_NEW_WORK_LIMIT_MS) > 0);
    assert.equal((await deployment.cli('undrain', 'engine-a')).code, 0);
    await waitFor(
      'requests at the undrained agent',
      () => countArrivedAfter('engine-a', Date.now() - 500) > 0,
    );
    await load.stop();
  });

  it('a stopped agent completes its requests, and restarts with the same address', async () => {
    const load = startLoad([0, 1]);
    await delay(500);
    await stopAndRestart('engine-a');
    const restartedAt = Date.now();
    await waitFor('requests at the agent', () => countArrivedAfter('engine-a', restartedAt) > 0);
    await load.stop();
  });

  it('a stopped agent of a service completes its calls', async () => {
    let isRunning = true;
    const failures: string[] = [];
    let count = 0;
    const run = async () => {
      while (isRunning) {
        count += 1;
        const headers = { 'idempotency-key': `leaving-${count}` };
        const options = { team: 'shops', headers };
        const url = deployment.entryUrl(count % 2);
        const answer = await callService(url, 'POST', 'order-desk/orders', `${count}`, options);
        if (answer.status !== 201) failures.push(`${answer.status} ${answer.problem}`);
      }
    };
    const callers = [run(), run(), run(), run()];
    await delay(600);
    await stopAndRestart('desk-a');
    await delay(500);
    isRunning = false;
    await Promise.all(callers);
    assert.deepEqual(failures, []);
  });

  it('a stopped entry completes its answers', async () => {
    const load = startLoad([0, 1]);
    await delay(500);
    await stopAndRestart('entry-0');
    await load.stop();
  });

  it('stopping the leading keeper does not affect answers', async () => {
    const load = startLoad([0, 1]);
    const { leader } = await deployment.status();
    await stopAndRestart(leader, 2_000);
    await load.stop();
  });

  it('an unresponsive endpoint gets no new requests after a few seconds', async () => {
    await waitFor('all members to hold leases', async () => {
      const { members } = await deployment.status();
      return members.filter((member) => member.hasLease).length === 6;
    });
    deployment.getProcess('engine-a/endpoint').signal('SIGSTOP');
    const stoppedAt = Date.now();
    await delay(NO_NEW_WORK_LIMIT_MS + 2_500);
    const load = startLoad([0, 1]);
    await delay(1_500);
    await load.stop();
    deployment.getProcess('engine-a/endpoint').signal('SIGCONT');
    await delay(500);
    assert.equal(countArrivedAfter('engine-a', stoppedAt + NO_NEW_WORK_LIMIT_MS), 0);
  });
});
