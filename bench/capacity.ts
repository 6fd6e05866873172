/**
 * Measures how the CPU time, memory and network traffic of each role grow with the size of the
 * deployment, over at least three sizes each. docs/CAPACITY.md lists the results.
 * Usage: npm run bench:capacity -- [--part NAME]
 */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { stringify } from 'smol-toml';
import { request } from 'undici';
import type { KeeperSession } from '../src/common/keeperSession.js';
import type { TicketDescription } from '../src/cli/types.js';
import type { LogEntry } from '../src/generated/keeper.js';
import type { Settings } from '../src/generated/schemas.js';
import { createReplicatedState } from '../src/keeper/state.js';
import { openStore } from '../src/keeper/store.js';
import { createDeployment, delay, waitFor, type Deployment } from '../test/fixtures/deployment.js';
import { createBaseTicket, createEnginePlan } from '../test/fixtures/workloads.js';
import {
  createDurationHistogram,
  computeSlope,
  printResult,
  readCpuUs,
  readResidentMiB,
} from './measure.js';
import { createMember, joinAgents, openSession } from './simulatedMembers.js';

const IDLE_MS = 10_000;
const SETTLE_MS = 3_000;
const MEMBER_SIZES = [50, 150, 390];
const CLAIM_SIZES = [4_000, 8_000, 16_000];
const TICKETS = 20;

const { values } = parseArgs({ options: { part: { type: 'string', multiple: true } } });
const parts: Record<string, () => Promise<void>> = {
  agent: measureAgent,
  members: measureMembers,
  claims: measureClaims,
  state: measureState,
  restart: measureRestart,
};
for (const [name, run] of Object.entries(parts)) {
  if (values.part === undefined || values.part.includes(name)) await run();
}

function readSettings(deployment: Deployment): Settings {
  return {
    role: 'agent',
    id: 'bench',
    deployment: 'test',
    deploymentSecret: 'a secret of the test',
    failureDomain: 'local',
    keepers: deployment.keeperAddresses as [string, ...string[]],
  };
}

/** Measures an idle agent by the number of entries connected to it. */
async function measureAgent(): Promise<void> {
  const sizes = [1, 4, 8];
  const cpu: number[] = [];
  const memory: number[] = [];
  const traffic: number[] = [];
  for (const entries of sizes) {
    const deployment = await createDeployment({
      keepers: 3,
      entries,
      endpoints: [createEnginePlan('engine-a')],
      proxied: true,
    });
    await deployment.waitReady();
    await deployment.applyTicket(stringify(createBaseTicket()));
    await delay(SETTLE_MS);
    const { pid } = deployment.getProcess('engine-a');
    const proxies = deployment.listProxies('engine-a');
    const bytesBefore = proxies.reduce((sum, proxy) => sum + proxy.passedBytes, 0);
    const cpuBefore = readCpuUs(pid);
    await delay(IDLE_MS);
    cpu.push((readCpuUs(pid) - cpuBefore) / IDLE_MS / 10);
    memory.push(readResidentMiB(pid));
    const bytes = proxies.reduce((sum, proxy) => sum + proxy.passedBytes, 0) - bytesBefore;
    traffic.push(bytes / (IDLE_MS / 1_000) / 1_000);
    await deployment.stop();
  }
  printSlope('agent_cpu', sizes, cpu, 'percent of a core', 'entry', 'bound 1.3');
  printSlope('agent_resident', sizes, memory, 'MiB', 'entry', 'bound 64');
  printSlope('agent_traffic', sizes, traffic, 'KB/s', 'entry', 'bound 20');
}

function printSlope(
  name: string,
  sizes: readonly number[],
  measured: readonly number[],
  unit: string,
  per: string,
  comparison?: string,
): void {
  for (const [index, size] of sizes.entries()) {
    printResult(`${name}_at_${size}`, measured[index] ?? 0, unit, comparison);
  }
  printResult(`${name}_slope`, computeSlope(sizes, measured), `${unit} for each ${per}`);
}

/** Measures the leader, one entry and the time until a ticket is in force, by number of agents. */
async function measureMembers(): Promise<void> {
  const measured: Record<string, number[]> = {};
  const record = (name: string, value: number) => {
    (measured[name] ??= []).push(value);
  };
  for (const size of MEMBER_SIZES) {
    const deployment = await createDeployment({ keepers: 3, entries: 1, endpoints: [] });
    await deployment.waitReady();
    await deployment.applyTicket(stringify(createBaseTicket()));
    const joinedAt = performance.now();
    const members = await joinAgents(readSettings(deployment), 'agent', size);
    const haveAllJoined = async () => {
      const { members: listed } = await deployment.status();
      return listed.filter((member) => member.hasLease).length === size + 1;
    };
    await waitFor('all members', haveAllJoined, 60_000);
    record('join_all', performance.now() - joinedAt);
    await delay(SETTLE_MS);
    const { leader } = await deployment.status();
    const pids = {
      leader: deployment.getProcess(leader).pid,
      entry: deployment.getProcess('entry-0').pid,
    };
    const before = { leader: readCpuUs(pids.leader), entry: readCpuUs(pids.entry) };
    await delay(IDLE_MS);
    for (const role of ['leader', 'entry'] as const) {
      record(`${role}_cpu`, (readCpuUs(pids[role]) - before[role]) / IDLE_MS / 10);
      record(`${role}_resident`, readResidentMiB(pids[role]));
    }
    const durations = await measureTimeToInForce(deployment);
    record('in_force_p50', durations.getPercentile(50));
    record('in_force_p100', durations.getPercentile(100));
    await members.stop();
    await deployment.stop();
  }
  const units: Record<string, string> = { cpu: 'percent of a core', resident: 'MiB' };
  for (const [name, list] of Object.entries(measured)) {
    printSlope(name, MEMBER_SIZES, list, units[name.split('_').at(-1) ?? ''] ?? 'ms', 'agent');
  }
}

async function measureTimeToInForce(deployment: Deployment) {
  const durations = createDurationHistogram();
  const [address] = deployment.operatorAddresses;
  for (let count = 0; count < TICKETS; count += 1) {
    const number = 100 + count;
    const ticket = { number, tier: [{ name: 'now', rank: 0, usefulMs: 1_000 + count }] };
    const startedAt = performance.now();
    const { leaderAddress } = await submit(address ?? '', stringify(ticket));
    await waitFor('in force', async () => {
      const response = await request(`http://${leaderAddress}/v1/tickets/${number}`);
      const description = (await response.body.json()) as TicketDescription;
      return description.inForce;
    });
    durations.add(performance.now() - startedAt);
  }
  return durations;
}

async function submit(address: string, body: string): Promise<{ leaderAddress: string }> {
  const response = await request(`http://${address}/v1/tickets`, { method: 'POST', body });
  await response.body.dump();
  const { location } = response.headers;
  if (response.statusCode !== 307) return { leaderAddress: address };
  return submit(new URL(String(location)).host, body);
}

/** Measures the throughput of claims with group commit, compared with one claim at a time. */
async function measureClaims(): Promise<void> {
  const deployment = await createDeployment({ keepers: 3, entries: 0, endpoints: [] });
  await deployment.status();
  const member = createMember('bench', 'entry', '');
  const session = openSession(readSettings(deployment), member);
  await waitFor('a lease', () => session.hasLease());
  const { leader } = await deployment.status();
  const { pid } = deployment.getProcess(leader);
  for (const [name, concurrency, total] of [
    ['one_at_a_time', 1, 500],
    ['group_commit', 128, 16_000],
  ] as const) {
    const cpuBefore = readCpuUs(pid);
    const startedAt = performance.now();
    const durations = await openClaims(session, name, total, concurrency);
    const seconds = (performance.now() - startedAt) / 1_000;
    printResult(`claims_${name}`, total / seconds, 'per_second');
    printResult(`claims_${name}_p50`, durations.getPercentile(50), 'ms');
    printResult(`claims_${name}_p99`, durations.getPercentile(99), 'ms');
    printResult(`claims_${name}_leader_cpu`, (readCpuUs(pid) - cpuBefore) / total, 'us each');
  }
  await session.leave();
  await deployment.stop();
}

async function openClaims(
  session: KeeperSession,
  prefix: string,
  total: number,
  concurrency: number,
) {
  const durations = createDurationHistogram();
  let next = 0;
  const run = async () => {
    while (next < total) {
      next += 1;
      const key = { team: 'bench', service: 'bench', key: `${prefix}-${next}` };
      const open = {
        key,
        digest: 'a'.repeat(64),
        entryId: 'bench',
        entryIncarnation: '1',
        openedAtMs: Date.now(),
        requestId: `${prefix}-${next}`,
      };
      const startedAt = performance.now();
      await session.openClaim(open, 10_000);
      durations.add(performance.now() - startedAt);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, run));
  return durations;
}

/** Measures the size of the keepers' state in a snapshot and in memory, in bytes. */
async function measureState(): Promise<void> {
  const bytes: number[] = [];
  const heap: number[] = [];
  for (const size of CLAIM_SIZES) {
    const state = createReplicatedState();
    const heapBefore = readHeap();
    for (let index = 1; index <= size; index += 1) state.apply(createClaimCommand(index), index);
    heap.push(readHeap() - heapBefore);
    bytes.push(state.save().length);
  }
  printSlope('claim_snapshot', CLAIM_SIZES, bytes, 'bytes', 'claim');
  printSlope('claim_heap', CLAIM_SIZES, heap, 'bytes', 'claim');
  const teams = [100, 200, 400];
  const teamBytes = teams.map((size) => createTeamState(size).save().length);
  printSlope('team_snapshot', teams, teamBytes, 'bytes', 'team');
}

/** Returns the heap bytes in use after a garbage collection, which requires `--expose-gc`. */
function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function createClaimCommand(index: number) {
  const value = {
    key: { team: 'shops', service: 'order-desk', key: `order-${index}` },
    digest: 'a'.repeat(64),
    entryId: 'entry-0',
    entryIncarnation: '00000000-0000-0000-0000-000000000000',
    openedAtMs: 1_000,
    requestId: `00000000-0000-0000-0000-${String(index).padStart(12, '0')}`,
  };
  return { change: { $case: 'claimOpen' as const, value } };
}

function createTeamState(size: number) {
  const state = createReplicatedState();
  const team = Array.from({ length: size }, (_unused, index) => ({
    name: `team-${index}`,
    tier: 'now',
    keyDigests: [`sha256:${String(index).padStart(64, '0')}`],
    weight: 1,
    shedOrder: index,
  }));
  const body = JSON.stringify({ number: 1, tier: [{ name: 'now', rank: 0 }], team });
  const value = { number: 1, digest: 'd', body, acceptedAtMs: 0 };
  state.apply({ change: { $case: 'ticketAccept', value } }, 1);
  return state;
}

/** Measures the time to recover the state after a restart, by the length of the log. */
async function measureRestart(): Promise<void> {
  const sizes = [25_000, 50_000, 100_000];
  const replayed: number[] = [];
  const restored: number[] = [];
  for (const size of sizes) {
    const folder = mkdtempSync(join(tmpdir(), 'capacity-'));
    await writeLog(folder, size);
    replayed.push(await measureRecovery(folder));
    await writeSnapshot(folder, size);
    restored.push(await measureRecovery(folder));
    rmSync(folder, { recursive: true });
  }
  printSlope('restart_without_snapshot', sizes, replayed, 'ms', 'entry');
  printSlope('restart_with_snapshot', sizes, restored, 'ms', 'entry');
}

async function writeLog(folder: string, size: number): Promise<void> {
  const store = await openStore(folder, { event() {} });
  const entries: LogEntry[] = [];
  for (let index = 1; index <= size; index += 1) {
    const payload = { $case: 'command' as const, value: createClaimCommand(index) };
    entries.push({ index, term: 1, payload });
  }
  await store.write({ term: 1, votedFor: '' }, entries);
  await store.close();
}

async function writeSnapshot(folder: string, size: number): Promise<void> {
  const store = await openStore(folder, { event() {} });
  const state = createReplicatedState();
  for (const entry of store.state.initial.entries) applyTo(state, entry);
  const header = { index: size, term: 1, membership: { voters: [], learners: [] } };
  await store.saveSnapshot({ header, state: state.save() }, { term: 1, votedFor: '' }, []);
  await store.close();
}

async function measureRecovery(folder: string): Promise<number> {
  const startedAt = performance.now();
  const store = await openStore(folder, { event() {} });
  const state = createReplicatedState();
  if (store.state.snapshot !== undefined) state.load(store.state.snapshot.state);
  for (const entry of store.state.initial.entries) applyTo(state, entry);
  const elapsed = performance.now() - startedAt;
  await store.close();
  return elapsed;
}

function applyTo(state: ReturnType<typeof createReplicatedState>, entry: LogEntry): void {
  if (entry.payload?.$case === 'command') state.apply(entry.payload.value, entry.index);
}
