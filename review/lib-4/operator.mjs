/** The operator: sends configurations and reads them back, as the protocol says. */

import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

const { AbortSignal, fetch } = globalThis;

const CALL_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 100;
const GIVE_UP_MS = 20_000;

/** A route of a configuration; `fields` replace the defaults. */
export function createRoute(name, fields) {
  return {
    name,
    host: 'review.example',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: 10_000,
    sloMs: 500,
    priority: 0,
    attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
    ...fields,
  };
}

/** A configuration; `fields` replace the defaults. */
export function createConfiguration(version, routes, services, fields = {}) {
  return {
    version,
    routes,
    services: services.map((service) => ({
      healthPath: '/healthz',
      maxConns: 360,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...fields,
  };
}

/** Calls one control address; undefined without a clear answer within a second. */
export async function callControl(address, path, body, timeoutMs = CALL_TIMEOUT_MS) {
  try {
    const response = await fetch(`http://${address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { 'Content-Type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return { status: response.status, text: await response.text() };
  } catch {
    return undefined;
  }
}

/** Sends an order to one control address after the other until one acknowledges or refuses it. */
export async function order(deployment, path, body) {
  const endAt = performance.now() + GIVE_UP_MS;
  for (let turn = 0; performance.now() < endAt; turn += 1) {
    const { controls } = deployment;
    const answer = await callControl(controls[turn % controls.length], path, body);
    if (answer !== undefined && answer.status < 500) return answer;
    await delay(RETRY_DELAY_MS);
  }
  throw new Error(`no clear answer to ${path}`);
}

/** Sends a configuration; raises an error unless it is acknowledged. */
export async function configure(deployment, configuration) {
  const answer = await order(deployment, '/turmericrack/config/replace', configuration);
  if (answer.status !== 200) throw new Error(`configuration got ${answer.status}: ${answer.text}`);
}
