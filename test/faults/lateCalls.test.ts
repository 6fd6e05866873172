/** Calls of many kinds that callers send throughout the grace of a stopping gateway. */

import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { after, before, describe, it } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Client } from 'undici';
import { delay } from '../fixtures/deployment.js';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  drainLimitMs,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

const SEED = Number(process.env.LATE_CALLS_SEED ?? 37);
const CALLER_COUNT = 40;
/** Time before the signal in which the callers begin. */
const LEAD_MS = 500;
const MAX_PAUSE_MS = 400;
const MIN_WAIT_MS = 300;
const MAX_WAIT_MS = 6_000;
/** Last time after the signal at which a call that outlasts the gateway may be accepted. */
const ACCEPTED_MS = 3_000;
/** Time after the signal from which on calls that outlast the gateway are ended. */
const LAST_RESULTS_MS = (drainLimitMs * 5) / 6;
const MAX_BODY_PAUSE_MS = 300;
const STREAM = { eventCount: 15, intervalMs: 100 };
/** Routes, by the time that their endpoint works on a call and the number that it takes at once. */
const kinds = [
  { name: 'short', workMs: 30, slots: 100 },
  { name: 'slow', workMs: 1_500, slots: 100 },
  { name: 'long', workMs: 4_000, slots: 100 },
  { name: 'busy', workMs: 200, slots: 2 },
  { name: 'stream', workMs: 50, slots: 100, stream: STREAM },
];

interface Outcome {
  id: string;
  /** Milliseconds from the signal. */
  sentAt: number;
  endedAt: number;
  waitMs: number;
  result: number | 'cut';
}

/** Whether the caller of a request that has run was told otherwise, or not told anything in time. */
function isLost({ sentAt, endedAt, waitMs, result }: Outcome): boolean {
  if (result === 503) return true;
  if (result !== 'cut' && result !== 502) return false;
  const outlastsGateway = sentAt <= ACCEPTED_MS && endedAt > LAST_RESULTS_MS;
  return endedAt < sentAt + waitMs && !outlastsGateway;
}

describe('a stopping gateway', () => {
  let deployment: GatewayDeployment;

  before(async () => {
    const plans = kinds.map((kind) => ({ ...kind, id: `${kind.name}-a`, pool: kind.name }));
    deployment = await createGatewayDeployment([
      { id: 'desk-a', pool: 'desk', slots: 10, workMs: 20 },
      ...plans,
    ]);
    const routes = kinds.map(({ name, stream }) => ({
      name,
      service: name,
      fields: {
        kind: stream === undefined ? 'non_idempotent' : 'streaming',
        timeoutMs: 12_000,
        attempts: 1,
      },
    }));
    assert.equal(await deployment.declare(addRoutes(createTableBody(1), routes)), 200);
    await deployment.waitServing();
  });

  after(() => deployment.stop());

  async function* writeBody(pauseMs: number): AsyncGenerator<Buffer> {
    yield Buffer.from('{');
    await delay(pauseMs);
    yield Buffer.from('}');
  }

  it('answers each call that has run, whenever it was sent', async () => {
    const generator = xoroshiro128plus(SEED);
    const random = (max: number): number => uniformInt(generator, 0, max);
    const outcomes: Outcome[] = [];
    const startedAt = performance.now() + LEAD_MS;
    const now = (): number => performance.now() - startedAt;
    const gateway = deployment.getProcess('gateway-0');
    const signalled = delay(LEAD_MS).then(() => gateway.signal('SIGTERM'));

    async function send(client: Client, id: string, path: string): Promise<boolean> {
      const sentAt = now();
      const waitMs = MIN_WAIT_MS + random(MAX_WAIT_MS - MIN_WAIT_MS);
      const hasBody = random(3) === 0;
      const headers = {
        host: 'a.example',
        'turmericrack-attempt-id': id,
        'turmericrack-deadline-ms': String(waitMs),
      };
      let result: Outcome['result'] = 'cut';
      try {
        const method = hasBody ? 'POST' : 'GET';
        const body = hasBody ? Readable.from(writeBody(random(MAX_BODY_PAUSE_MS))) : null;
        const response = await client.request({ method, path, headers, body });
        await response.body.text();
        result = response.statusCode;
      } catch {
        // The connection was closed without a whole answer.
      }
      outcomes.push({ id, sentAt, endedAt: now(), waitMs, result });
      return result !== 'cut';
    }

    async function runCaller(index: number): Promise<void> {
      await delay(random(LEAD_MS));
      const client = new Client(`http://${deployment.getGatewayAddress(0)}`, { pipelining: 1 });
      for (let number = 0; now() < drainLimitMs; number += 1) {
        const { name } = kinds[random(kinds.length - 1)] ?? { name: '' };
        const isOpen = await send(client, `${index}-${number}`, `/${name}/1`);
        if (!isOpen && !gateway.isRunning) break;
        await delay(random(MAX_PAUSE_MS));
      }
      await client.destroy();
    }

    await Promise.all([
      signalled,
      ...Array.from({ length: CALLER_COUNT }, (_u, i) => runCaller(i)),
    ]);
    assert.equal(await gateway.exited, 0);
    const ran = new Set(deployment.endpoints.flatMap(({ arrivals }) => arrivals));
    const violations = outcomes.filter((outcome) => ran.has(outcome.id) && isLost(outcome));
    assert.deepEqual(violations, []);
    assert.ok(outcomes.some(({ result }) => result === 200));
  });
});
