/**
 * One seeded run of a whole layout of the deploy file: faults on its processes in series and
 * overlapping, while callers, an operator and endpoints work and check what they see.
 */

import { request } from 'undici';
import { delay } from '../fixtures/deployment.js';
import { createLayoutCaller, type CallKind } from '../fixtures/layoutCalls.js';
import { createLayoutCallers } from './layoutCallers.js';
import { createLayoutEndpoints } from './layoutEndpoints.js';
import {
  createLayoutFaults,
  type LayoutFaultName,
  type LayoutFaults,
} from '../fixtures/layoutFaults.js';
import { createLayoutOperator, type OperatorPlan } from '../fixtures/layoutOperator.js';
import { createPlatformLayout, type PlatformLayout } from '../fixtures/platformLayout.js';
import { createRandom } from '../fixtures/random.js';
import { createVersionWatch } from '../fixtures/versionWatch.js';

const START_SPREAD_MS = 300;
const READ_INTERVAL_MS = 150;
const REQUEST_TIMEOUT_MS = 1_000;
const MAX_FAULT_PAUSE_MS = 2_000;
const RECOVERY_LIMIT_MS = 12_000;
const JUDGEMENT_LIMIT_MS = 12_000;
const MAX_RSS_KB = 346 * 1_024;

/** Injects faults; resolves when the last one has ended. */
export type LayoutScript = (
  layout: PlatformLayout,
  faults: LayoutFaults,
  random: () => number,
) => Promise<void>;

/** What to run. */
export interface LayoutRunPlan {
  seed: number;
  seconds: number;
  keepers?: number;
  gateways?: number;
  faults: readonly LayoutFaultName[];
  /** Faults in a given order in place of `faults`. */
  script?: LayoutScript;
  /** Machines that the script may add. */
  spareMachines?: number;
  operators?: Partial<OperatorPlan>;
  /** Whether some streams last longer than the grace of a gateway that ends. */
  hasLongStreams?: boolean;
  /** Whether endpoints drain and leave, and others come in their place. */
  replacesEndpoints?: boolean;
}

/** Result of a run. */
export interface LayoutOutcome {
  violations: string[];
  counts: Record<string, number>;
  faults: string[];
  changes: number;
  machines: { id: string; outputs: readonly (readonly string[])[] }[];
  /** Logged events around the first request that was handled as an older version allows. */
  evidence: string[];
}

export async function runLayout(plan: LayoutRunPlan): Promise<LayoutOutcome> {
  const random = createRandom(plan.seed);
  const layout = await createPlatformLayout(
    { keeper: plan.keepers ?? 3, gateway: plan.gateways ?? 3 },
    2 + (plan.seed % 250),
    plan.spareMachines,
  );
  const caller = createLayoutCaller(() => `/only-${operator.acknowledged}/1`);
  const violations: string[] = [];
  const counts: Record<string, number> = {};
  const versions = createVersionWatch(layout);
  const faults = createLayoutFaults(layout, random, plan.faults);
  const operator = createLayoutOperator(
    layout,
    { operators: 1, padding: 0, largePadding: 0, largeShare: 0, ...plan.operators },
    random,
    violations,
    (version) => versions.acknowledge(version),
  );
  const callers = createLayoutCallers({
    layout,
    faults,
    caller,
    random,
    prefix: String(plan.seed),
    hasLongStreams: plan.hasLongStreams ?? false,
    violations,
    counts,
  });
  const endpoints = createLayoutEndpoints(layout, createRandom(plan.seed));
  let isRunning = true;
  try {
    await startAll(layout, random);
    await endpoints.startAll();
    await retryUntil('the first table', () => operator.change());
    await checkRecovery('at the start');
    const tasks = [
      callers.run(),
      ...(plan.replacesEndpoints ? [endpoints.replaceRepeatedly()] : []),
      operator.changeRepeatedly(),
      operator.readRepeatedly(),
      watchMemory(),
      versions.run(),
    ];
    await (plan.script === undefined
      ? injectFaults()
      : plan.script(layout, faults, createRandom(plan.seed)));
    await checkRecovery('after the last fault');
    await versions.awaitJudgement(JUDGEMENT_LIMIT_MS);
    isRunning = false;
    callers.stop();
    endpoints.stop();
    operator.stop();
    await versions.stop();
    await Promise.all(tasks);
    await checkReads();
    callers.checkArrivals();
  } catch (caught) {
    violations.push(String(caught));
  } finally {
    isRunning = false;
    callers.stop();
    endpoints.stop();
    operator.stop();
    await versions.stop();
    await caller.close();
    await layout.stop();
  }
  for (const { id, code, ageMs, output } of layout.unexpectedEnds) {
    const lines = output.slice(-3).join(' / ');
    violations.push(`${id} ended with ${code}, ${ageMs} ms old: ${lines}`);
  }
  violations.push(...versions.violations.map(({ text }) => text));
  const evidence = versions.violations.slice(0, 1).flatMap(versions.listEvidence);
  counts['endpoints replaced'] = endpoints.replaced;
  counts['versions judged'] = versions.judged;
  counts.slowdowns = versions.slowdowns;
  counts['longest change ms'] = operator.longestChangeMs;
  const allMachines = [...layout.machines, ...layout.removed];
  const machines = allMachines.map(({ id, outputs }) => ({ id, outputs }));
  return {
    violations,
    counts,
    faults: faults.started,
    changes: operator.changes,
    machines,
    evidence,
  };

  async function injectFaults(): Promise<void> {
    const endAt = performance.now() + plan.seconds * 1_000;
    const pending: Promise<void>[] = [];
    while (performance.now() < endAt && plan.faults.length > 0) {
      pending.push(faults.start());
      await delay(random() * MAX_FAULT_PAUSE_MS);
    }
    await Promise.all(pending);
  }

  async function watchMemory(): Promise<void> {
    while (isRunning) {
      for (const { id, rssKb } of faults.listMemory()) {
        counts['largest KiB'] = Math.max(counts['largest KiB'] ?? 0, rssKb);
        if (rssKb > MAX_RSS_KB) violations.push(`${id} uses ${rssKb} KiB`);
      }
      await delay(1_000);
    }
  }

  async function checkRecovery(moment: string): Promise<void> {
    const revision = operator.acknowledged;
    const checks = layout.list('gateway').map(async (gateway) => {
      const endAt = performance.now() + RECOVERY_LIMIT_MS;
      let seen = '';
      for (let count = 0; performance.now() < endAt; count += 1) {
        const kinds: CallKind[] = ['stream', 'once', 'lookup'];
        const results = await Promise.all(
          kinds.map((kind) =>
            caller.call(
              layout.getAddress(gateway),
              kind,
              `${moment}-${gateway.id}-${count}-${kind}`,
              false,
            ),
          ),
        );
        const url = `http://${layout.getAddress(gateway)}/new-${revision}/1`;
        const added = await probe(url, `${moment}-${gateway.id}-${count}`);
        const isInForce = added === 200 || operator.acknowledged > revision;
        seen = `${results.map(({ kind }) => kind).join(' ')}, ${added} on the newest route`;
        if (isInForce && results.every(({ kind }) => kind === 'answered')) return;
        await delay(READ_INTERVAL_MS);
      }
      violations.push(`${gateway.id} ${moment}: ${seen}, revision ${revision}`);
    });
    await Promise.all(checks);
  }

  async function probe(url: string, id: string): Promise<number | undefined> {
    try {
      const headers = { host: 'a.example', 'turmericrack-attempt-id': id };
      const response = await request(url, {
        headers,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      await response.body.dump();
      return response.statusCode;
    } catch {
      return undefined;
    }
  }

  async function checkReads(): Promise<void> {
    for (const address of layout.controlAddresses) {
      await retryUntil(`a read from ${address}`, () => operator.checkRead(address));
    }
  }
}

async function startAll(layout: PlatformLayout, random: () => number): Promise<void> {
  const started = layout.machines.map(async (machine) => {
    await delay(random() * START_SPREAD_MS);
    layout.start(machine, true);
  });
  await Promise.all(started);
}

async function retryUntil(what: string, run: () => Promise<boolean>): Promise<void> {
  const endAt = performance.now() + RECOVERY_LIMIT_MS;
  while (performance.now() < endAt) {
    if (await run()) return;
    await delay(READ_INTERVAL_MS);
  }
  throw new TypeError(`timed out waiting for: ${what}`);
}
