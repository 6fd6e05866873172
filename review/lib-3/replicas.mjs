/** Starts and ends replicas, and reads what they have recorded. */
import { fork } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { delay, findFreePorts } from './deployment.mjs';

const REPLICA_HOST = '127.0.0.1';
const program = fileURLToPath(new URL('replica.mjs', import.meta.url));

export function createReplicas(deployment) {
  const recordPath = join(deployment.folder, 'replicas.jsonl');
  const running = new Map();
  let isStopped = false;

  return { start, kill, send, readRecords, list: () => [...running.values()], stop };

  /**
   * Starts a replica; resolves once it listens. With `restart`, called with the plan after a crash,
   * the replica is started again `afterMs` later with the plan that it returns.
   */
  async function start(plan, restart) {
    const address = plan.address ?? `${REPLICA_HOST}:${await findFreePorts(REPLICA_HOST, 1)}`;
    const whole = { ...plan, address, recordPath, control: deployment.controlAddresses };
    const child = fork(program, [JSON.stringify(whole)], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
      env: { PATH: process.env.PATH },
    });
    deployment.children.add(child);
    const replica = { plan: whole, child };
    running.set(plan.id, replica);
    child.once('exit', () => {
      deployment.children.delete(child);
      if (running.get(plan.id) === replica) running.delete(plan.id);
      const next = isStopped || replica.isKilled ? undefined : restart?.(whole);
      if (next !== undefined) void startLater(next, restart);
    });
    await new Promise((resolve, reject) => {
      child.once('message', resolve);
      child.once('exit', () => reject(new Error(`replica ${plan.id} did not start`)));
    });
    return replica;
  }

  async function startLater({ afterMs, plan }, restart) {
    await delay(afterMs);
    if (isStopped) return;
    await start(plan, restart).catch((caught) => {
      // The case may have ended meanwhile.
      if (!isStopped) throw caught;
    });
  }

  function kill(id) {
    const replica = running.get(id);
    if (replica === undefined) return Promise.resolve();
    replica.isKilled = true;
    const exited = new Promise((resolve) => {
      replica.child.once('exit', resolve);
    });
    replica.child.kill('SIGKILL');
    return exited;
  }

  function send(id, message) {
    running.get(id)?.child.send(message);
  }

  function readRecords() {
    if (!existsSync(recordPath)) return [];
    const lines = readFileSync(recordPath, 'utf8').split('\n');
    return lines.filter((line) => line !== '').map((line) => JSON.parse(line));
  }

  async function stop() {
    isStopped = true;
    await Promise.all([...running.keys()].map(kill));
  }
}
