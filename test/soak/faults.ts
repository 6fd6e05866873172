/** Faults of the soak test: signals to processes, network faults by proxies, and lost responses. */

import { delay } from '../fixtures/deployment.js';
import type { GatewayDeployment } from '../fixtures/gatewayDeployment.js';

const MAX_FREEZE_MS = 2_500;
const MAX_NETWORK_FAULT_MS = 3_000;
const MAX_DELAY_MS = 150;
const MAX_DOWNTIME_MS = 800;

/** A fault that has been started. */
export interface StartedFault {
  name: string;
  /** Resolves when the fault has ended. */
  done: Promise<void>;
}

/** Injects random faults, never two into the same process at once. */
export interface Faults {
  start(): StartedFault;
}

type InjectFault = (id: string) => Promise<void>;

/** Creates the faults of a deployment; `random` returns numbers from 0 to less than 1. */
export function createFaults(deployment: GatewayDeployment, random: () => number): Faults {
  const faultyIds = new Set<string>();
  const processFaults: Record<string, InjectFault> = { kill, terminate, freeze };
  const connectionFaults: Record<string, InjectFault> = { cut, silence, reset, slow, oneWay };

  return { start };

  function start(): StartedFault {
    const all = { ...processFaults, ...connectionFaults };
    const names = [...Object.keys(all), 'killAllKeepers', 'loseAnswers'];
    const name = pick(names);
    if (name === 'killAllKeepers') return { name, done: killAllKeepers() };
    if (name === 'loseAnswers') return { name, done: loseAnswers() };
    const id = pick([...deployment.gatewayIds, ...deployment.keeperIds]);
    const inject = all[name];
    if (inject === undefined || faultyIds.has(id)) return { name: 'none', done: Promise.resolve() };
    faultyIds.add(id);
    const done = inject(id).finally(() => faultyIds.delete(id));
    return { name: `${name} ${id}`, done };
  }

  function pick<T>(items: readonly T[]): T {
    return items[Math.floor(random() * items.length)]!;
  }

  async function kill(id: string): Promise<void> {
    const downtimeMs = random() * MAX_DOWNTIME_MS;
    await deployment.getProcess(id).kill();
    await delay(downtimeMs);
    deployment.restart(id);
  }

  async function killAllKeepers(): Promise<void> {
    const healthyIds = deployment.keeperIds.filter((id) => !faultyIds.has(id));
    for (const id of healthyIds) faultyIds.add(id);
    await Promise.all(healthyIds.map(kill));
    for (const id of healthyIds) faultyIds.delete(id);
  }

  async function loseAnswers(): Promise<void> {
    pick(deployment.endpoints).closeConnections();
  }

  async function terminate(id: string): Promise<void> {
    await deployment.getProcess(id).stop();
    deployment.restart(id);
  }

  async function freeze(id: string): Promise<void> {
    const child = deployment.getProcess(id);
    child.signal('SIGSTOP');
    await delay(random() * MAX_FREEZE_MS);
    child.signal('SIGCONT');
  }

  async function cut(id: string): Promise<void> {
    for (const proxy of deployment.listProxies(id)) proxy.cut();
    await healLater(id);
  }

  async function silence(id: string): Promise<void> {
    for (const proxy of deployment.listProxies(id)) proxy.blackhole();
  }

  async function reset(id: string): Promise<void> {
    for (const proxy of deployment.listProxies(id)) proxy.reset();
  }

  async function slow(id: string): Promise<void> {
    const delayMs = random() * MAX_DELAY_MS;
    for (const proxy of deployment.listProxies(id)) proxy.setDelay(delayMs);
    await healLater(id);
  }

  async function oneWay(id: string): Promise<void> {
    const toTarget = random() < 0.5;
    for (const proxy of deployment.listProxies(id)) {
      proxy.setFlow(toTarget ? 'drop' : 'pass', toTarget ? 'pass' : 'drop');
    }
    await healLater(id);
  }

  async function healLater(id: string): Promise<void> {
    await delay(random() * MAX_NETWORK_FAULT_MS);
    for (const proxy of deployment.listProxies(id)) proxy.heal();
  }
}
