/** One part of prompts crashes every endpoint that responds to it; no two requests are the same. */

import assert from 'node:assert/strict';
import { after, afterEach, before, describe, it } from 'node:test';
import { delay, waitFor } from '../fixtures/deployment.js';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

const ENDPOINTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const WORK_MS = 40;
const CRASHING_PART = '48720f35';
const CRASHING_INTERVAL_MS = 120;
const SOUND_INTERVAL_MS = 10;
/** Time within which all gateways must know what one of them has learned. */
const CONTACT_LIMIT_MS = 3_000;
/** Crash from which on `CONTACT_LIMIT_MS` is counted. */
const COUNTED_CRASHES = 5;
const MAX_FURTHER_SENDS = 3;
const OBSERVED_MS = 3_000;

interface SoundAnswer {
  at: number;
  status: number | undefined;
}

/** Sends requests with and without the crashing part to gateways in turn until stopped. */
function startLoad(deployment: GatewayDeployment, gateways: readonly number[]) {
  const soundAnswers: SoundAnswer[] = [];
  let sent = 0;
  const crashingTimer = setInterval(
    () => void send(`5c1e:60,${CRASHING_PART}:410,`),
    CRASHING_INTERVAL_MS,
  );
  const soundTimer = setInterval(() => void sendSound(), SOUND_INTERVAL_MS);

  return {
    soundAnswers,
    stop() {
      clearInterval(crashingTimer);
      clearInterval(soundTimer);
    },
  };

  async function send(sharedParts: string): Promise<number | undefined> {
    sent += 1;
    const id = `call-${sent}`;
    const gateway = gateways[sent % gateways.length] ?? 0;
    const headers = { 'turmericrack-prefix-hash': `${sharedParts}${sent.toString(16)}:250` };
    try {
      return (await deployment.call(gateway, `/work/${sent}`, id, headers)).status;
    } catch {
      return undefined;
    }
  }

  async function sendSound(): Promise<void> {
    const at = performance.now();
    soundAnswers.push({ at, status: await send('5c1e:60,') });
  }
}

describe('requests with a part of a prompt that crashes endpoints', () => {
  let deployment: GatewayDeployment;
  let load: ReturnType<typeof startLoad> | undefined;

  before(async () => {
    deployment = await createGatewayDeployment(
      ENDPOINTS.map((id) => ({
        id,
        pool: 'desk',
        slots: 8,
        workMs: WORK_MS,
        crashingPart: CRASHING_PART,
      })),
    );
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    await deployment.waitServing();
  });

  afterEach(() => load?.stop());

  after(() => deployment.stop());

  function listCrashingArrivals(): number[] {
    return deployment.endpoints
      .flatMap(({ crashingArrivals }) => crashingArrivals)
      .sort((left, right) => left - right);
  }

  function countSince(time: number): number {
    return listCrashingArrivals().filter((at) => at > time).length;
  }

  /** Checks that sound requests sent from now on are served, and none that crash endpoints. */
  async function checkServed({ soundAnswers }: ReturnType<typeof startLoad>): Promise<void> {
    const from = performance.now();
    await delay(OBSERVED_MS);
    assert.ok(countSince(from) <= MAX_FURTHER_SENDS, `${countSince(from)} sends of the part`);
    const sound = soundAnswers.filter(({ at }) => at > from);
    const served = sound.filter(({ status }) => status === 200);
    assert.ok(served.length > 0.9 * sound.length, `${served.length} of ${sound.length} served`);
  }

  it('crash no endpoint soon after the fifth crash, and no sound request is refused', async () => {
    load = startLoad(deployment, [0, 1]);
    await waitFor('crashes', () => listCrashingArrivals().length > 0);
    await delay(CONTACT_LIMIT_MS);
    await waitFor('the fifth crash or its absence', () => {
      const [fifth = 0] = listCrashingArrivals().slice(COUNTED_CRASHES - 1);
      return performance.now() - fifth > CONTACT_LIMIT_MS;
    });
    await checkServed(load);
  });

  it('are not sent by a gateway that has restarted since', async () => {
    const from = performance.now();
    await deployment.getProcess('gateway-0').kill();
    deployment.restart('gateway-0');
    await deployment.waitReady();
    load = startLoad(deployment, [0]);
    await checkServed(load);
    assert.ok(countSince(from) <= MAX_FURTHER_SENDS);
  });

  it('are not sent after a restart of all keepers and of the other gateway', async () => {
    const from = performance.now();
    await Promise.all(deployment.keeperIds.map((id) => deployment.getProcess(id).kill()));
    for (const id of deployment.keeperIds) deployment.restart(id);
    await waitFor(
      'a keeper to return the table',
      async () => (await deployment.tryReadRevision(0)) !== undefined,
    );
    await delay(CONTACT_LIMIT_MS);
    await deployment.getProcess('gateway-1').kill();
    deployment.restart('gateway-1');
    await deployment.waitReady();
    load = startLoad(deployment, [1]);
    await checkServed(load);
    assert.ok(countSince(from) <= MAX_FURTHER_SENDS);
  });

  it('are not sent after a restart of all processes at once', async () => {
    const from = performance.now();
    const ids = [...deployment.keeperIds, ...deployment.gatewayIds];
    await Promise.all(ids.map((id) => deployment.getProcess(id).kill()));
    for (const id of ids) deployment.restart(id);
    await deployment.waitReady();
    await delay(CONTACT_LIMIT_MS);
    load = startLoad(deployment, [0, 1]);
    await checkServed(load);
    assert.ok(countSince(from) <= MAX_FURTHER_SENDS);
  });
});
