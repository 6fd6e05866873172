/** The operator: sends configurations and orders, and repeats them until they are acknowledged. */
import { Buffer } from 'node:buffer';
import { request as sendRequest } from 'node:http';
import { delay } from './deployment.mjs';

const CALL_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 100;

/** Sends one call; resolves with status 0 if there is no answer within a second. */
export function callControl(address, method, path, body) {
  const [host, port] = address.split(':');
  const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  return new Promise((resolve) => {
    const request = sendRequest(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: bytes && { 'Content-Type': 'application/json', 'Content-Length': bytes.length },
        signal: globalThis.AbortSignal.timeout(CALL_TIMEOUT_MS),
      },
      (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('end', () =>
          resolve({ status: response.statusCode, text: Buffer.concat(parts).toString() }),
        );
        response.on('error', () => resolve({ status: 0, text: '' }));
      },
    );
    request.on('error', () => resolve({ status: 0, text: '' }));
    request.end(bytes);
  });
}

/** Repeats a call at one address after the other until it is answered with 200; throws on a 4xx. */
export async function callUntilAcknowledged(addresses, method, path, body, limitMs = 20_000) {
  const endAt = Date.now() + limitMs;
  for (let attempt = 0; Date.now() < endAt; attempt += 1) {
    const address = addresses[attempt % addresses.length];
    const { status, text } = await callControl(address, method, path, body);
    if (status === 200) return text;
    if (status >= 400 && status < 500) throw new Error(`${path}: ${status} ${text}`);
    await delay(RETRY_DELAY_MS);
  }
  throw new Error(`${path}: no acknowledgement`);
}

export async function declare(addresses, configuration) {
  await callUntilAcknowledged(addresses, 'POST', '/turmericrack/config/replace', configuration);
}

/** A configuration like those of the pages; `routes` and `services` are given in part. */
export function createConfiguration(version, routes, services) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'shop.example',
      kind: 'idempotent',
      timeoutMs: 10_000,
      sloMs: 300,
      priority: 1,
      attempts: 2,
      public: true,
      sticky: false,
      resumable: false,
      itlTargetMs: 300,
      ...route,
    })),
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
  };
}
