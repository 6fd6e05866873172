/** Stand-ins for a client and for the operator. */

import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { request as sendRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

export function createAttemptId() {
  return randomBytes(8).toString('hex');
}

/** Sends a request to a machine; resolves with what came back, or with the error. */
export function send({ host, port }, { method = 'GET', path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const request = sendRequest({ host, port, method, path, headers, agent: false });
    const timer =
      timeoutMs === undefined ? undefined : setTimeout(() => request.destroy(), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on('error', (error) => finish({ status: 0, error: error.code ?? error.message }));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => finish({ status: 0, error: error.message }));
      response.on('end', () => {
        const { statusCode: status, headers: received } = response;
        finish({ status, headers: received, body: Buffer.concat(chunks).toString() });
      });
    });
    request.end(body);
  });
}

/** Sends a configuration as the operator does: again, to the next node, until it is acknowledged. */
export async function replaceConfiguration(keepers, configuration, record, delay) {
  const body = JSON.stringify(configuration);
  const headers = { 'Content-Type': 'application/json', 'Content-Length': body.length };
  const path = '/turmericrack/config/replace';
  for (let attempt = 0; ; attempt += 1) {
    const { admin, name } = keepers[attempt % keepers.length];
    const { status } = await send(admin, { method: 'POST', path, headers, body, timeoutMs: 1_000 });
    if (status === 200) {
      record(`configuration ${configuration.version} is acknowledged by ${name}`);
      return;
    }
    if (status >= 400 && status < 500) throw new Error(`configuration refused: ${status}`);
    if (attempt > 100) throw new Error('no acknowledgement of the configuration');
    await delay(200);
  }
}
