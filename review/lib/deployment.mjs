/**
 * A small deployment on loopback: three keepers and some gateways, each a process of its own that is
 * started with the command of the deploy file. Clients, replicas and the operator are stand-ins in
 * the process of the script.
 */

import process from 'node:process';
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

export const HOST = 'shop.example';
export const HEARTBEAT_MS = 1_200;
export const DRAIN_MS = 2_000;
export const CONVERGE_MS = 2_000;
export const CONTACT_MS = 3_000;
export const GRACE_MS = 8_000;

const ROOT = resolve(import.meta.dirname, '../..');
const CALL_TIMEOUT_MS = 1_000;
const START_TIMEOUT_MS = 25_000;
const MIN_PORT = 10_240;
const PORT_COUNT = 20_000;
const usedPorts = new Set();

export function delay(milliseconds) {
  return new Promise((done) => {
    setTimeout(done, milliseconds);
  });
}

/** Repeats `attempt` until it returns a value other than undefined or false. */
export async function waitFor(what, attempt, timeoutMs = START_TIMEOUT_MS) {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    const result = await attempt();
    if (result !== undefined && result !== false) return result;
    await delay(50);
  }
  throw new Error(`timed out waiting for ${what}`);
}

/** Writes what was sent, answered and run into `record.txt` in the folder of the case. */
export function createRecord(folder) {
  const stream = createWriteStream(join(folder, 'record.txt'));
  const startedAt = performance.now();
  return {
    add(what, fields = {}) {
      const time = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
      const values = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
      stream.write(`${time} ${[what, ...values].join(' ')}\n`);
    },
    close: () =>
      new Promise((done) => {
        stream.end(done);
      }),
  };
}

/** Returns a free port below those from which the system takes ports for outgoing connections. */
export async function getFreePort() {
  while (true) {
    const port = MIN_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!usedPorts.has(port) && (await isFree(port))) {
      usedPorts.add(port);
      return port;
    }
  }
}

function isFree(port) {
  return new Promise((done) => {
    const server = createServer();
    server.on('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

/**
 * Sends one request on a new connection. Resolves with its end, which is `complete` for a complete
 * response, `broken` for a closed connection and `timeout`.
 */
export function send({ address, method = 'GET', path, headers = {}, body, timeoutMs, onChunk }) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const answer = { end: undefined, status: 0, headers: {}, body: '' };
    const finish = (end) => {
      if (answer.end !== undefined) return;
      answer.end = end;
      clearTimeout(timer);
      outgoing.destroy();
      done(answer);
    };
    const outgoing = sendRequest(
      { host, port, method, path, headers, agent: false },
      (incoming) => {
        answer.status = incoming.statusCode;
        answer.headers = incoming.headers;
        incoming.on('data', (chunk) => {
          answer.body += chunk.toString('latin1');
          onChunk?.(chunk, answer);
        });
        incoming.on('end', () => finish(incoming.complete ? 'complete' : 'broken'));
        incoming.on('error', () => finish('broken'));
        incoming.on('close', () => finish('broken'));
      },
    );
    const timer = setTimeout(() => finish('timeout'), timeoutMs ?? CALL_TIMEOUT_MS);
    outgoing.on('error', () => finish('broken'));
    outgoing.end(body);
  });
}

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no command of role ${role}`);
  return run.split(' ');
}

/**
 * Starts keepers and gateways; `gatewayCount` is the number of gateways. `spareCount`
 * further keepers are not started with the first three, which they know from their settings.
 */
export async function startDeployment(record, { gatewayCount = 2, spareCount = 0 } = {}) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const seeds = ['core-1', 'core-2', 'core-3'];
  const spares = ['core-4', 'core-5'].slice(0, spareCount);
  const keepers = [...seeds, ...spares];
  const gateways = Array.from({ length: gatewayCount }, (_unused, index) => `edge-${index + 1}`);
  const addresses = new Map();
  const processes = new Map();
  const bootstrapped = new Set(spares);
  for (const id of [...keepers, ...gateways]) {
    for (const name of ['peer', 'operator', 'http', 'readiness', 'metrics']) {
      addresses.set(`${id} ${name}`, `127.0.0.1:${await getFreePort()}`);
    }
  }
  const at = (id, name) => addresses.get(`${id} ${name}`);

  function writeSettings(id) {
    const lines = [
      `role = "${keepers.includes(id) ? 'keeper' : 'gateway'}"`,
      `id = "${id}"`,
      'deployment = "turmericrack"',
      `failureDomain = "zone-${id.at(-1)}"`,
      'region = "region"',
      `keepers = [${seeds.map((keeper) => `"${at(keeper, 'peer')}"`).join(', ')}]`,
      '[metrics]',
      `listen = "${at(id, 'metrics')}"`,
    ];
    if (keepers.includes(id)) {
      lines.push(
        '[keeper]',
        `listen = "${at(id, 'peer')}"`,
        `operatorListen = "${at(id, 'operator')}"`,
        `controlListen = "${at(id, 'http')}"`,
        `dataFolder = "${join(folder, id)}"`,
        `bootstrap = ${!bootstrapped.has(id)}`,
      );
    } else {
      lines.push(
        '[gateway]',
        `listen = "${at(id, 'http')}"`,
        `readyListen = "${at(id, 'readiness')}"`,
        `drainLimitMs = ${GRACE_MS}`,
        'strictRevocation = false',
        'retryRatio = 0.2',
        'retryBurst = 52',
        'retryWindowMs = 10000',
        `quotaSlack = 140000`,
      );
    }
    bootstrapped.add(id);
    const path = join(folder, `${id}.toml`);
    writeFileSync(path, `${lines.join('\n')}\n`);
    return path;
  }

  function start(id) {
    const path = writeSettings(id);
    const [program, ...words] = readCommand(keepers.includes(id) ? 'keeper' : 'gateway');
    const args = words.map((word) => (word.startsWith('/etc/') ? path : word));
    const log = createWriteStream(join(folder, `${id}.log`), { flags: 'a' });
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, TURMERICRACK_SETTINGS: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    const ended = new Promise((done) => {
      child.on('exit', (code, endSignal) => {
        record.add('process ended', { id, code, signal: endSignal });
        done();
      });
    });
    processes.set(id, { child, ended });
    record.add('process started', { id, pid: child.pid });
  }

  function signal(id, name) {
    record.add('signal', { id, name });
    processes.get(id).child.kill(name);
  }

  async function isReady(id) {
    const answer = await send({ address: at(id, 'readiness'), path: '/turmericrack/readyz' });
    return answer.status === 200;
  }

  /** Sends a configuration until it is acknowledged, to one keeper after the other. */
  async function declare(table) {
    const body = JSON.stringify(table);
    const headers = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    };
    let next = 0;
    await waitFor(`the acknowledgement of version ${table.version}`, async () => {
      const address = at(seeds[next % seeds.length], 'http');
      next += 1;
      const path = '/turmericrack/config/replace';
      const answer = await send({ address, method: 'POST', path, headers, body });
      record.add('configuration sent', { version: table.version, status: answer.status });
      if (answer.status === 200) return true;
      if (answer.status >= 400 && answer.status < 500) throw new Error(answer.body);
      return undefined;
    });
  }

  /** Starts a keeper again that has lost its disk, after the time that its machine is down. */
  async function loseDisk(id, downMs) {
    signal(id, 'SIGKILL');
    await processes.get(id).ended;
    rmSync(join(folder, id), { recursive: true, force: true });
    record.add('disk lost', { id });
    await delay(downMs);
    start(id);
  }

  async function readVersion(keeper) {
    const answer = await send({ address: at(keeper, 'http'), path: '/turmericrack/config/read' });
    return answer.status === 200 ? JSON.parse(answer.body).version : undefined;
  }

  async function waitReady() {
    for (const id of gateways) await waitFor(`${id} to be ready`, () => isReady(id));
  }

  async function stop() {
    for (const { child } of processes.values()) {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    }
    await Promise.all([...processes.values()].map(({ ended }) => ended));
    if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true });
    else process.stderr.write(`logs are in ${folder}\n`);
  }

  return {
    folder,
    keepers,
    gateways,
    at,
    start,
    startAll: () => [...seeds, ...gateways].forEach(start),
    signal,
    waitEnded: (id) => processes.get(id).ended,
    isReady,
    waitReady,
    declare,
    readVersion,
    loseDisk,
    stop,
    controlAddresses: () => keepers.map((keeper) => at(keeper, 'http')),
  };
}

/** Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, run) {
  const record = createRecord(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  const cleanups = [];
  let exitCode = 2;
  const limit = setTimeout(() => {
    record.add('the case took too long');
    void end();
  }, 110_000);
  const end = async () => {
    clearTimeout(limit);
    for (const cleanup of cleanups.reverse()) await cleanup();
    await record.close();
    process.exit(exitCode);
  };
  for (const event of ['SIGINT', 'SIGTERM', 'uncaughtException']) {
    process.once(event, (reason) => {
      record.add('the case was interrupted', { reason });
      void end();
    });
  }
  record.add('case started', { trouble: hasTrouble });
  try {
    const isBroken = await run({ record, hasTrouble, onEnd: (cleanup) => cleanups.push(cleanup) });
    exitCode = isBroken ? 1 : 0;
    record.add('result', { rule: isBroken ? 'broken' : 'held' });
  } catch (caught) {
    record.add('the case could not run', { reason: caught.message });
    process.stderr.write(`${caught.stack}\n`);
  }
  await end();
}
