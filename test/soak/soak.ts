/**
 * Seeded soak test. Faults are injected from outside into real keepers and gateways, one after the
 * other and overlapping, while callers send requests and an operator declares tables. The test
 * checks what callers, operator and endpoints observe.
 */

import { delay } from '../fixtures/deployment.js';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import { oddHeartbeats } from '../fixtures/oddHeartbeats.js';
import { createRandom } from '../fixtures/random.js';
import { createFaults } from './faults.js';

const CALLERS = 8;
const CALL_PAUSE_MS = 15;
const CHANGE_INTERVAL_MS = 900;
const READ_INTERVAL_MS = 120;
const MAX_FAULT_PAUSE_MS = 1_200;
/** Time after the last fault within which all gateways must serve the acknowledged revision. */
const RECOVERY_LIMIT_MS = 12_000;
const WORK_MS = 40;
/** Part of prompts under which each endpoint crashes. */
const CRASHING_PART = '48720f35';
const CRASHING_INTERVAL_MS = 400;
/** Requests with the part that may reach endpoints after all gateways have learned of it. */
const MAX_FURTHER_CRASHES = 3;
/** Crashes after which all gateways must have learned of it. */
const LEARNING_CRASHES = 5;
const FINAL_CRASHING_CALLS = 12;

/** Result of a soak run. */
export interface SoakOutcome {
  violations: string[];
  answered: number;
  refused: number;
  failed: number;
  changes: number;
  faults: string[];
}

interface Observations {
  /** Ids of refused calls. A refusal guarantees that the call has not run. */
  refusedIds: Set<string>;
  /** Ids of calls that must not run more than once. */
  onceIds: Set<string>;
  acknowledged: number;
}

/** Injects faults for `seconds` seconds, then checks the recovery and the requests that ran. */
export async function runSoak(seed: number, seconds: number): Promise<SoakOutcome> {
  const random = createRandom(seed);
  const observed: Observations = {
    refusedIds: new Set(),
    onceIds: new Set(),
    acknowledged: 0,
  };
  const result: SoakOutcome = {
    violations: [],
    answered: 0,
    refused: 0,
    failed: 0,
    changes: 0,
    faults: [],
  };
  const deployment = await createGatewayDeployment(
    ['a', 'b', 'c'].map((name) => ({
      id: `desk-${name}`,
      pool: 'desk',
      slots: 6,
      workMs: WORK_MS,
      crashingPart: CRASHING_PART,
    })),
  );
  let isRunning = true;
  try {
    await deployment.declare(createTableBody(1));
    observed.acknowledged = 1;
    await deployment.waitReady();
    const tasks = [
      ...Array.from({ length: CALLERS }, (_unused, index) => callRepeatedly(index)),
      callCrashingRepeatedly(),
      declareRepeatedly(),
      readRepeatedly(),
      sendOddHeartbeats(),
    ];
    await injectFaults();
    await checkRecovery();
    await checkCrashes();
    isRunning = false;
    await Promise.all(tasks);
    checkArrivals();
  } finally {
    isRunning = false;
    await deployment.stop();
  }
  return result;

  async function injectFaults(): Promise<void> {
    const faults = createFaults(deployment, random);
    const endAt = performance.now() + seconds * 1_000;
    const pendingFaults: Promise<void>[] = [];
    while (performance.now() < endAt) {
      const { name, done } = faults.start();
      result.faults.push(name);
      pendingFaults.push(done);
      await delay(random() * MAX_FAULT_PAUSE_MS);
    }
    await Promise.all(pendingFaults);
  }

  async function callRepeatedly(caller: number): Promise<void> {
    for (let count = 0; isRunning; count += 1) {
      const id = `${seed}-${caller}-${count}`;
      const isNonIdempotent = random() < 0.5;
      if (isNonIdempotent) observed.onceIds.add(id);
      const gateway = caller % deployment.gatewayIds.length;
      await callOnce(gateway, isNonIdempotent ? '/once/1' : '/work/1', id);
      await delay(CALL_PAUSE_MS);
    }
  }

  async function callCrashingRepeatedly(): Promise<void> {
    for (let count = 0; isRunning; count += 1) {
      await callCrashing(count);
      await delay(CRASHING_INTERVAL_MS);
    }
  }

  /** Sends a request that has only a part of its prompt in common with the others that crash. */
  function callCrashing(count: number): Promise<void> {
    const headers = { 'turmericrack-prefix-hash': `5c1e:60,${CRASHING_PART}:410,${count}:250` };
    const gateway = count % deployment.gatewayIds.length;
    return callOnce(gateway, `/work/crash-${count}`, `${seed}-crash-${count}`, headers);
  }

  async function callOnce(
    gateway: number,
    path: string,
    id: string,
    headers?: Record<string, string>,
  ): Promise<void> {
    try {
      const { status, body } = await deployment.call(gateway, path, id, headers);
      if (status === 200) {
        result.answered += 1;
        if (body !== `answer to ${id}`) result.violations.push(`${id} got "${body}"`);
      } else if (status === 503 || status === 429) {
        result.refused += 1;
        observed.refusedIds.add(id);
      } else {
        result.failed += 1;
        if (status < 500) result.violations.push(`${id} got status ${status}`);
      }
    } catch {
      // The gateway was killed or has shut down, so nothing is guaranteed about this call.
      result.failed += 1;
    }
  }

  async function declareRepeatedly(): Promise<void> {
    while (isRunning) {
      await delay(CHANGE_INTERVAL_MS);
      await declare(deployment, observed, observed.acknowledged + 1);
      result.changes += 1;
    }
  }

  async function readRepeatedly(): Promise<void> {
    for (let count = 0; isRunning; count += 1) {
      const acknowledgedBefore = observed.acknowledged;
      const revision = await deployment.tryReadRevision(count % deployment.keeperIds.length);
      if (revision !== undefined && revision < acknowledgedBefore) {
        result.violations.push(
          `revision ${revision} was read after ${acknowledgedBefore} was acknowledged`,
        );
      }
      await delay(READ_INTERVAL_MS);
    }
  }

  /** Sends heartbeats that name no endpoint to use, to one keeper after the other. */
  async function sendOddHeartbeats(): Promise<void> {
    const all = Object.entries(oddHeartbeats);
    for (let count = 0; isRunning; count += 1) {
      const [oddity, body] = all[count % all.length]!;
      const keeper = count % deployment.keeperIds.length;
      const status = await deployment.postHeartbeat(keeper, `odd-${count}`, body).catch(() => 503);
      if (status < 400) result.violations.push(`${oddity}: heartbeat got status ${status}`);
      await delay(READ_INTERVAL_MS);
    }
  }

  async function checkRecovery(): Promise<void> {
    const endAt = performance.now() + RECOVERY_LIMIT_MS;
    const gateways = deployment.gatewayIds.map((_id, index) => index);
    let unrecovered = ['everything'];
    while (unrecovered.length > 0 && performance.now() < endAt) {
      const checks = gateways.map((gateway) => checkServing(gateway, observed.acknowledged));
      unrecovered = (await Promise.all(checks)).flatMap((problem) => problem ?? []);
      await delay(READ_INTERVAL_MS);
    }
    result.violations.push(...unrecovered);
  }

  function countCrashes(): number {
    const counts = deployment.endpoints.map(({ crashingArrivals }) => crashingArrivals.length);
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Checks that requests which crash endpoints no longer reach any. */
  async function checkCrashes(): Promise<void> {
    const before = countCrashes();
    const allowed = Math.max(0, LEARNING_CRASHES - before) + MAX_FURTHER_CRASHES;
    for (let count = 0; count < FINAL_CRASHING_CALLS; count += 1) {
      await callCrashing(FINAL_CRASHING_CALLS * seed + count);
      await delay(CALL_PAUSE_MS);
    }
    const further = countCrashes() - before;
    if (further > allowed) result.violations.push(`${further} crashes after ${before}`);
  }

  async function checkServing(gateway: number, revision: number): Promise<string | undefined> {
    const id = `${seed}-recovery-${gateway}-${performance.now()}`;
    try {
      const { status } = await deployment.call(gateway, `/new-${revision}/1`, id);
      // A later revision no longer has the route of this one.
      if (status === 200 || observed.acknowledged > revision) return undefined;
      return `gateway ${gateway} answers ${status} after all faults, revision ${revision}`;
    } catch (caught) {
      return `gateway ${gateway} after all faults: ${String(caught)}`;
    }
  }

  function checkArrivals(): void {
    const counts = new Map<string, number>();
    for (const { arrivals } of deployment.endpoints) {
      for (const id of arrivals) counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    for (const [id, count] of counts) {
      if (observed.refusedIds.has(id)) result.violations.push(`${id} was refused and has run`);
      if (count > 1 && observed.onceIds.has(id)) result.violations.push(`${id} ran ${count} times`);
    }
  }
}

async function declare(
  deployment: GatewayDeployment,
  observed: Observations,
  revision: number,
): Promise<void> {
  const status = await deployment.tryDeclare(createTableBody(revision));
  if (status === 200) observed.acknowledged = Math.max(observed.acknowledged, revision);
}
