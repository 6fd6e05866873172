/** Client of the operator API: tries the keepers in turn and follows redirects to the leader. */

import { request } from 'undici';
import { delay } from '../common/delay.js';
import { raise, type Failure } from '../common/failure.js';

const MAX_ATTEMPTS = 40;
const RETRY_DELAY_MS = 150;
/** Time after which no further attempt is made; keepers without a leader answer late. */
const RETRY_LIMIT_MS = 20_000;
const CALL_TIMEOUT_MS = 8_000;

/** Addresses of the keepers and the key for them. */
export interface KeeperTarget {
  /** host:port of each keeper's operator API. */
  keepers: readonly string[];
  /** Operator key, sent as a bearer token. */
  key: string | undefined;
}

type CallResult =
  | { kind: 'answer'; body: unknown }
  | { kind: 'redirect'; address: string }
  | { kind: 'retry'; reason: string };

/** Calls the leader. Raises the failure that a keeper returns, or `unreachable`. */
export async function callKeeper<T>(
  target: KeeperTarget,
  method: 'GET' | 'POST',
  path: string,
  body?: string,
): Promise<T> {
  let reason = 'no keeper answered';
  let address = target.keepers[0] ?? '';
  const retryUntil = performance.now() + RETRY_LIMIT_MS;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (performance.now() > retryUntil) break;
    const result = await tryCall(target, address, method, path, body);
    if (result.kind === 'answer') return result.body as T;
    if (result.kind === 'redirect') {
      address = result.address;
      continue;
    }
    reason = result.reason;
    address = target.keepers[(attempt + 1) % target.keepers.length] ?? '';
    await delay(RETRY_DELAY_MS);
  }
  return raise({ kind: 'unreachable', address: target.keepers.join(','), reason });
}

async function tryCall(
  target: KeeperTarget,
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body: string | undefined,
): Promise<CallResult> {
  const headers: Record<string, string> = {};
  if (target.key !== undefined) headers.authorization = `Bearer ${target.key}`;
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers,
      body: body ?? null,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await response.body.text();
    const { location } = response.headers;
    if (response.statusCode === 307 && typeof location === 'string') {
      return { kind: 'redirect', address: new URL(location).host };
    }
    if (response.statusCode === 503) return { kind: 'retry', reason: text };
    const parsed = JSON.parse(text) as { failure?: Failure };
    if (response.statusCode >= 400) {
      raise(parsed.failure ?? { kind: 'unexpected', reason: text });
    }
    return { kind: 'answer', body: parsed };
  } catch (caught) {
    if (caught instanceof Error && 'failure' in caught) throw caught;
    return { kind: 'retry', reason: (caught as Error).message };
  }
}
