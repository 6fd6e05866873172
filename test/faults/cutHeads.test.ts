/** Endpoints that stop in the middle of the head of a response, behind a real gateway. */

import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import {
  addRoutes,
  createGatewayDeployment,
  createTableBody,
  type GatewayAnswer,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';
import {
  startRawPlatformEndpoint,
  type RawPlatformEndpoint,
  type RawRequest,
} from '../fixtures/rawPlatformEndpoint.js';

/** Pools of one endpoint each: few cut heads at each, so that none is ejected for them. */
const POOL_COUNT = 90;
const CUTS_PER_POOL = 4;
/** Pools whose endpoints break streams off. */
const STREAM_POOL_COUNT = 20;
const STREAM_ENDPOINT_COUNT = 3;
/** Events of a stream before its first endpoint breaks off. */
const FIRST_EVENT_COUNT = 2;
/** Each position of a head is cut in one of the ways in turn. */
const cutWays = ['end', 'reset', 'pauseAndEnd'] as const;
const interims = ['', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'] as const;
const framings = ['Content-Length: 14', 'Transfer-Encoding: chunked', 'Connection: close'] as const;

type CutWay = (typeof cutWays)[number];

function createHead(callId: string, framing: string): string {
  return [
    'HTTP/1.1 200 OK',
    'Content-Type: text/event-stream',
    framing,
    `Turmericrack-Attempt-Id: ${callId}`,
    'Turmericrack-Response-Signature: 3e1b.07.5a2',
    '\r\n',
  ].join('\r\n');
}

function cut(socket: Socket, text: string, way: CutWay): void {
  switch (way) {
    case 'end':
      socket.end(text);
      break;
    case 'reset':
      socket.write(text, () => socket.resetAndDestroy());
      break;
    case 'pauseAndEnd':
      socket.write(text);
      setTimeout(() => socket.end(), 10);
      break;
    default:
      assert.fail(way);
  }
}

/**
 * Serves `/POOL/sound`, and `/POOL/INTERIM/FRAMING/POSITION/WAY`, which cuts a head at a position. A
 * stream is first broken off; the head of its continuation is cut.
 */
function serve({ target, callId, resumeAfter }: RawRequest, socket: Socket): void {
  const [, pool = '', interim, framing, position, way] = target.split('/');
  if (interim === 'sound') {
    socket.write(`${createHead(callId, 'Content-Length: 14')}the whole body`);
    return;
  }
  if (pool.startsWith('stream') && resumeAfter === 0) {
    const events = Array.from({ length: FIRST_EVENT_COUNT }, (_unused, index) => index + 1);
    const body = events.map((id) => `id: ${id}\ndata: x\n\n`).join('');
    socket.write(createHead(callId, 'Transfer-Encoding: chunked'));
    socket.write(`${body.length.toString(16)}\r\n${body}\r\n`);
    setTimeout(() => socket.resetAndDestroy(), 20);
    return;
  }
  const head = createHead(callId, framings[Number(framing)] ?? '');
  const text = `${interims[Number(interim)] ?? ''}${head.slice(0, Number(position))}`;
  cut(socket, text, cutWays[Number(way)] ?? 'end');
}

/** Paths below the prefix of a pool that cut heads at positions spread over all kinds of heads. */
function createCutPaths(count: number): string[] {
  return Array.from({ length: count }, (_unused, index) => {
    const interim = index % interims.length;
    const framing = Math.floor(index / interims.length) % framings.length;
    const { length } = createHead('call-1000', framings[framing] ?? '');
    const position = Math.floor((index / count) * length);
    return [interim, framing, position, index % cutWays.length].join('/');
  });
}

describe('a response that ends in the middle of its head', () => {
  let deployment: GatewayDeployment;
  const endpoints: RawPlatformEndpoint[] = [];
  const pools = Array.from({ length: POOL_COUNT }, (_unused, index) => `pool-${index}`);
  const streamPools = Array.from({ length: STREAM_POOL_COUNT }, (_unused, i) => `stream-${i}`);
  // All ids have the same length, and so do all heads of one kind.
  let lastCallNumber = 1_000;

  before(async () => {
    deployment = await createGatewayDeployment([{ id: 'desk', pool: 'desk', slots: 8, workMs: 5 }]);
    const once = { kind: 'non_idempotent', attempts: 1 };
    const stream = { kind: 'streaming', attempts: STREAM_ENDPOINT_COUNT, resumable: true };
    const table = addRoutes(createTableBody(1), [
      ...pools.map((name) => ({ name, service: name, fields: once })),
      ...streamPools.map((name) => ({ name, service: name, fields: stream })),
    ]);
    assert.equal(await deployment.declare(table), 200);
    for (const pool of pools) await startEndpoint(pool, pool);
    for (const pool of streamPools) {
      for (let number = 0; number < STREAM_ENDPOINT_COUNT; number += 1) {
        await startEndpoint(pool, `${pool}-${number}`);
      }
    }
    await deployment.waitServing();
  });

  after(async () => {
    for (const endpoint of endpoints) endpoint.close();
    await deployment.stop();
  });

  async function startEndpoint(pool: string, id: string): Promise<void> {
    endpoints.push(await startRawPlatformEndpoint(deployment, { id, pool, slots: 8 }, serve));
  }

  /** Returns undefined if the response was broken off. */
  async function tryCall(path: string): Promise<GatewayAnswer | undefined> {
    lastCallNumber += 1;
    try {
      return await deployment.call(0, path, `call-${lastCallNumber}`);
    } catch {
      return undefined;
    }
  }

  async function callSound(pool: string): Promise<void> {
    const answer = await tryCall(`/${pool}/sound`);
    assert.deepEqual([answer?.status, answer?.body], [200, 'the whole body']);
  }

  // The reports of other operators: a 200 with an empty or a short body, framed as complete.
  it('is no success, on a new or a used connection, or after an interim response', async () => {
    for (const [index, cutPath] of createCutPaths(POOL_COUNT * CUTS_PER_POOL).entries()) {
      const pool = pools[Math.floor(index / CUTS_PER_POOL)] ?? '';
      // Each second one meets a connection that has been used, the others a new one.
      if (index % 2 === 0) for (let sound = 0; sound < 2; sound += 1) await callSound(pool);
      const path = `/${pool}/${cutPath}`;
      const answer = await tryCall(path);
      assert.equal(answer?.status, 502, path);
    }
  });

  it('does not end a stream that it was to continue', async () => {
    for (const [index, cutPath] of createCutPaths(STREAM_POOL_COUNT).entries()) {
      const path = `/${streamPools[index]}/${cutPath}`;
      const answer = await tryCall(path);
      assert.equal(answer, undefined, `${path} ${answer?.status}`);
    }
  });
});
