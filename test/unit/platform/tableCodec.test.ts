/** Decoding the platform's messages, and rejecting them with a typed problem. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decodeDeregistration, decodeHeartbeat } from '../../../platform/announcementCodec.js';
import { platformDialect } from '../../../platform/dialect.js';
import { decodeTable } from '../../../platform/tableCodec.js';
import { RaisedFailure } from '../../../src/common/failure.js';
import { tryGetTableProblem } from '../../../src/routing/checkTable.js';
import { choosePool, createRouteIndex } from '../../../src/routing/routeIndex.js';

function createConfiguration(changes: object = {}, routeChanges: object = {}): object {
  const route = {
    name: 'answers',
    host: 'Shop.example',
    pathPrefix: '/a/',
    kind: 'streaming',
    timeoutMs: 8_000,
    sloMs: 300,
    priority: 1,
    service: 'engines',
    attempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    itlTargetMs: 300,
    ...routeChanges,
  };
  return {
    version: 7,
    routes: [route, { ...route, name: 'deeper', pathPrefix: '/a/b/', kind: 'idempotent' }],
    services: [
      { name: 'engines', maxConns: 360, backend: { capacity: 10, kvCapacity: 600_000 } },
      { name: 'orders', maxConns: 90 },
    ],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
    tenants: [{ name: 'buyers', apiKeys: ['k1', 'k2'], unit: 'token', ratePerS: 5, burst: 6 }],
    ...changes,
  };
}

function decode(configuration: object) {
  return decodeTable(Buffer.from(JSON.stringify(configuration)));
}

function getProblemKind(configuration: object): string | undefined {
  try {
    return tryGetTableProblem(decode(configuration))?.kind;
  } catch (caught) {
    assert.ok(caught instanceof RaisedFailure && caught.failure.kind === 'invalidTable');
    return caught.failure.problem.kind;
  }
}

describe('a configuration', () => {
  it('is decoded into routes, pools, teams and limits', () => {
    const index = createRouteIndex(decode(createConfiguration()));
    assert.equal(index.table.revision, 7);
    assert.equal(index.tryGetRoute('shop.example', '/a/x/y')?.name, 'answers');
    assert.equal(index.tryGetRoute('shop.example', '/a/b/c')?.kind, 'idempotent');
    assert.equal(index.tryGetRoute('shop.example', '/a'), undefined);
    assert.equal(index.tryGetRoute('other.example', '/a/x'), undefined);
    assert.deepEqual(index.tryGetPool('engines')?.engine, { slots: 10, tokenCapacity: 600_000 });
    assert.equal(index.tryGetTeam('k2')?.quota?.unit, 'token');
  });

  it('is rejected with the kind of its problem', () => {
    const createSplit = (weights: number[]): object => ({
      split: weights.map((weight) => ({ service: 'engines', weight })),
    });
    const sharedKey = [
      { name: 'a', apiKeys: ['k'] },
      { name: 'b', apiKeys: ['k'] },
    ];
    const cases: [object, string | undefined][] = [
      [createConfiguration(), undefined],
      [createConfiguration({}, { service: 'nobody' }), 'unknownPool'],
      [createConfiguration({}, { pathPrefix: '/a/b/' }), 'duplicateRoute'],
      [createConfiguration({}, createSplit([0, 0])), 'noWeight'],
      [createConfiguration({}, { timeoutMs: 0 }), 'noTimeout'],
      [createConfiguration({ tenants: sharedKey }), 'sharedKey'],
      [createConfiguration({ tenants: [{ name: 'Плевен', apiKeys: ['k'] }] }), undefined],
      [createConfiguration({ tenants: [{ name: 'a\nb', apiKeys: ['k'] }] }), 'unsendableTeam'],
      [createConfiguration({ tenants: [{ name: 'a ', apiKeys: ['k'] }] }), 'unsendableTeam'],
      [createConfiguration({ tenants: [{ name: '\ud800', apiKeys: ['k'] }] }), 'unsendableTeam'],
      [createConfiguration({ version: 'x' }), 'unreadable'],
      [createConfiguration({ routes: undefined }), 'unreadable'],
    ];
    for (const [configuration, kind] of cases) assert.equal(getProblemKind(configuration), kind);
    const truncated = JSON.stringify(createConfiguration()).slice(0, -9);
    assert.throws(() => decodeTable(Buffer.from(truncated)), RaisedFailure);
  });

  // Such a timer expires at once, so that each request on the route got 504.
  it('bounds a timeout that is longer than a timer can be', () => {
    const [route] = decode(createConfiguration({}, { timeoutMs: 10_000_000_000 })).routes;
    assert.equal(route?.timeoutMs, 2 ** 31 - 1);
  });

  it('splits a route between pools by their weights', () => {
    const split = [
      { service: 'engines', weight: 90 },
      { service: 'orders', weight: 10 },
    ];
    const route = decode(createConfiguration({}, { split })).routes[0]!;
    assert.equal(choosePool(route, 0.89), 'engines');
    assert.equal(choosePool(route, 0.91), 'orders');
  });
});

describe('a heartbeat', () => {
  const heartbeat = {
    service: 'engines',
    address: '10.0.0.1:80',
    zone: 'x',
    version: 'v1',
    capacity: 10,
    state: 'draining',
    warmupLeftMs: 0,
    seq: 4,
    born: 100,
  };

  it('is decoded, or rejected if it is malformed', () => {
    const announcement = decodeHeartbeat('a', Buffer.from(JSON.stringify(heartbeat)));
    assert.equal(announcement.state, 'leaving');
    for (const change of [
      { state: 'odd' },
      { seq: '4' },
      { address: 5 },
      { born: undefined },
      { service: undefined },
    ]) {
      const bytes = Buffer.from(JSON.stringify({ ...heartbeat, ...change }));
      assert.throws(() => decodeHeartbeat('a', bytes), RaisedFailure);
    }
    assert.throws(() => decodeHeartbeat('a', Buffer.from('{"ser')), RaisedFailure);
  });

  it('is followed by a deregistration that marks the known incarnation as gone', () => {
    const known = decodeHeartbeat('a', Buffer.from(JSON.stringify(heartbeat)));
    const gone = { ...known, state: 'gone' };
    assert.deepEqual(decodeDeregistration(Buffer.alloc(0), [known]), [gone]);
    assert.deepEqual(decodeDeregistration(Buffer.from('{"born":200}'), [known]), [
      { ...gone, bornAtMs: 200 },
    ]);
    assert.deepEqual(decodeDeregistration(Buffer.alloc(0), []), []);
    for (const body of ['{"born":"100"}', '{"born":1e999}', '[]', '{"bo']) {
      assert.throws(() => decodeDeregistration(Buffer.from(body), [known]), RaisedFailure, body);
    }
  });
});

describe('an answer', () => {
  const readAnswer = (status: number, fields: string[]) =>
    platformDialect.parseResponse(
      status,
      fields.map((field) => Buffer.from(field)),
    );

  it('states its request, whether it is signed and whether the request has run', () => {
    const signed = readAnswer(200, [
      'Turmericrack-Attempt-Id',
      'x',
      'Turmericrack-Response-Signature',
      's',
      'Turmericrack-Replica-Load',
      '3,1,8',
      'Connection',
      'close',
    ]);
    assert.equal(signed.callId, 'x');
    assert.equal(signed.isSigned, true);
    assert.deepEqual(signed.load, { running: 3, waiting: 1, slots: 8, slowdown: undefined });
    assert.equal(signed.headers.includes('Connection'), false);
    assert.equal(readAnswer(503, ['Turmericrack-Not-Executed', '1']).isNotRun, true);
    assert.equal(readAnswer(421, []).isNotRun, true);
    assert.equal(readAnswer(503, []).isNotRun, false);
  });

  // Placement knew nothing of an endpoint that other work on its VM slowed down.
  it('states how much the VM slows its endpoint down, if that is a positive number', () => {
    const readSlowdown = (load: string) =>
      readAnswer(200, ['Turmericrack-Replica-Load', load]).load?.slowdown;
    assert.equal(readSlowdown('3,1,8,250'), 2.5);
    for (const percent of ['', '0', '-5', 'x', 'Infinity']) {
      assert.equal(readSlowdown(`3,1,8,${percent}`), undefined);
    }
  });
});
