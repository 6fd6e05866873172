/**
 * A small deployment on loopback: each machine has an address of its own, settings rendered from
 * the template of its role, and the command of the deploy file.
 */

import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { renderTemplate } from './template.mjs';

const { AbortSignal, fetch } = globalThis;

const FIRST_HOST = 10;
const RANGE_PORTS = 16;
const GRACE_MS = 8_000;
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const MIN_PORT = 20_000;
const PORT_SPREAD = 10_000;
const NETWORK_SPREAD = 200;
const HOST_SPREAD = 250;
const MAX_DRAWS = 50;

/** Values of the sheet of the smaller deployment. */
export const bounds = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  convergeMs: 2_000,
  strictRevoke: false,
  retryRatio: 0.2,
  retryWindowS: 10,
  retryBurst: 52,
  quotaWindowS: 8,
  quotaExcess: 0.1,
  quotaBurst: 140_000,
};

const zones = ['zone-a', 'zone-b', 'zone-c'];

/** Reads the role's command and template from the deploy file. */
function readRole(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? '';
  const read = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1];
  return { run: read('run'), template: read('template') };
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Draws a network and ports that are free on all of its addresses. */
async function drawNetwork(count) {
  for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
    const network = `127.${20 + Math.floor(Math.random() * NETWORK_SPREAD)}.${1 + Math.floor(Math.random() * HOST_SPREAD)}`;
    const first = MIN_PORT + Math.floor(Math.random() * PORT_SPREAD);
    const needed = [0, 1, RANGE_PORTS - 1, RANGE_PORTS, RANGE_PORTS + 1, RANGE_PORTS + 2];
    let free = true;
    for (let index = 0; index < count && free; index += 1) {
      const ip = `${network}.${FIRST_HOST + index}`;
      const checks = await Promise.all(needed.map((offset) => isFree(ip, first + offset)));
      free = checks.every(Boolean);
    }
    if (free) return { network, first };
  }
  throw new Error('no free network');
}

/**
 * Creates the machines; starts none. `memoryMb` is the memory of each; `overrides` replaces fields
 * of the bounds.
 */
export async function createDeployment({
  keepers = 3,
  gateways = 2,
  spare = 0,
  overrides = {},
  memoryMb = 346,
}) {
  const { network, first } = await drawNetwork(keepers + gateways + spare);
  const folder = mkdtempSync(join(tmpdir(), 'turmericrack-review-'));
  const ports = {
    admin: first + RANGE_PORTS,
    http: first + RANGE_PORTS + 1,
    readiness: first + RANGE_PORTS + 2,
  };
  const machines = [];
  let seeds = [];
  for (let index = 0; index < keepers; index += 1) addMachine('keeper');
  for (let index = 0; index < gateways; index += 1) addMachine('gateway');
  seeds = list('keeper')
    .slice(0, 3)
    .map(({ admin }) => admin);

  return {
    folder,
    machines,
    list,
    addMachine,
    start,
    writeSettings,
    signal: (machine, name) => machine.child?.kill(name),
    kill,
    terminate,
    wipe: (machine) => rmSync(getDataFolder(machine), { recursive: true, force: true }),
    waitUntilReady,
    get controls() {
      return list('keeper').map(({ admin }) => admin);
    },
    /** Ends that nobody asked for. */
    get unexpectedEnds() {
      return machines.flatMap(({ id, ends }) => ends.map((end) => `${id}: ${end}`));
    },
    async stop() {
      await Promise.all(machines.map(kill));
      rmSync(folder, { recursive: true, force: true });
    },
  };

  function addMachine(role) {
    const index = machines.length;
    const ip = `${network}.${FIRST_HOST + index}`;
    const machine = {
      id: `${role}-${index}`,
      role,
      ip,
      zone: zones[index % zones.length],
      admin: `${ip}:${ports.admin}`,
      http: `${ip}:${ports.http}`,
      readiness: `${ip}:${ports.readiness}`,
      output: [],
      ends: [],
      child: undefined,
      exited: Promise.resolve(),
      mayEnd: true,
    };
    machines.push(machine);
    return machine;
  }

  function list(role) {
    return machines.filter((machine) => machine.role === role);
  }

  function getDataFolder({ id }) {
    return join(folder, `data-${id}`);
  }

  function writeSettings(machine, bootstrap) {
    const isGateway = machine.role === 'gateway';
    const fields = {
      nodeName: machine.id,
      role: machine.role,
      ip: machine.ip,
      zone: machine.zone,
      region: 'region-a',
      listen: isGateway
        ? { http: machine.http, readiness: machine.readiness }
        : { admin: machine.admin },
      portRange: [first, first + RANGE_PORTS - 1],
      seeds,
      bootstrap,
      dataDir: isGateway ? null : getDataFolder(machine),
      limits: { memoryMb },
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: { ...bounds, ...overrides },
    };
    const { template } = readRole(machine.role);
    const text = renderTemplate(readFileSync(template, 'utf8'), fields);
    writeFileSync(join(folder, `${machine.id}.settings`), text);
  }

  function start(machine, bootstrap = false) {
    writeSettings(machine, bootstrap);
    if (machine.role === 'keeper') mkdirSync(getDataFolder(machine), { recursive: true });
    const [program, ...args] = readRole(machine.role).run.split(' ');
    const child = spawn(program, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TURMERICRACK_SETTINGS: join(folder, `${machine.id}.settings`),
      },
    });
    machine.child = child;
    machine.mayEnd = false;
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      let rest = '';
      stream.on('data', (text) => {
        const lines = (rest + text).split('\n');
        rest = lines.pop();
        machine.output.push(...lines);
      });
    }
    machine.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (!machine.mayEnd) machine.ends.push(`code ${code} signal ${signal}`);
        resolve(code);
      });
    });
  }

  async function kill(machine) {
    machine.mayEnd = true;
    machine.child?.kill('SIGKILL');
    await machine.exited;
  }

  async function terminate(machine) {
    machine.mayEnd = true;
    machine.child?.kill('SIGTERM');
    const timer = setTimeout(() => machine.child?.kill('SIGKILL'), GRACE_MS);
    const code = await machine.exited;
    clearTimeout(timer);
    return code;
  }

  /** Resolves once all gateways that run say that they are ready. */
  async function waitUntilReady(waiting = list('gateway')) {
    const endAt = performance.now() + READY_TIMEOUT_MS;
    for (const machine of waiting) {
      while (!(await isReady(machine))) {
        if (performance.now() > endAt) throw new Error(`${machine.id} is not ready in time`);
        await delay(POLL_INTERVAL_MS);
      }
    }
  }
}

/** Asks a gateway whether it is ready, as the platform does. */
export async function isReady({ readiness }) {
  try {
    const response = await fetch(`http://${readiness}/turmericrack/readyz`, {
      signal: AbortSignal.timeout(1_000),
    });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}
