/** What a member knows of the configuration, as its session with the leading keeper delivers it. */

import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { Metadata, type Server, type ServerDuplexStream } from '@grpc/grpc-js';
import { SystemClock } from '../../../src/common/clock.js';
import { createKeeperSession, type KeeperSession } from '../../../src/common/keeperSession.js';
import { createServer, listen } from '../../../src/common/rpc.js';
import {
  KeeperService,
  type ClaimOpen,
  type KeeperMessage,
  type KeeperServer,
  type Member,
  type MemberMessage,
} from '../../../src/generated/keeper.js';
import { delay, waitFor } from '../../fixtures/deployment.js';
import { getFreePort } from '../../fixtures/ports.js';

const LEASE_MS = 60_000;
const PAUSE_MS = 1_300;
const SETTLE_MS = 1_000;
/** Time after which a keeper that is silent names the leader. */
const HINT_MS = 300;
const LIMIT_MS = 1_000;
const claim: ClaimOpen = {
  key: { team: 'sorters', service: 'tickets', key: 'k' },
  digest: 'd',
  entryId: 'entry-1',
  entryIncarnation: 'first',
  openedAtMs: 0,
  requestId: 'request',
};
const member: Member = {
  id: 'agent-1',
  incarnation: 'first',
  role: 'agent',
  address: '',
  failureDomain: '',
  pool: '',
  endpointKind: 'engine',
  draining: false,
  fencingToken: 0,
  endpoint: '',
};

const host = {
  clock: new SystemClock(),
  logger: { event() {} },
  deployment: 'test',
  metadata: new Metadata(),
  resolve: (announced: string) => announced,
  onChange() {},
  onLease() {},
  onDrain() {},
};

describe('a session with the leading keeper', () => {
  let server: Server;
  let session: KeeperSession;
  let stream: ServerDuplexStream<MemberMessage, KeeperMessage> | undefined;
  let acknowledged = 0;
  let openedCount = 0;

  before(async () => {
    const address = `127.0.0.1:${await getFreePort()}`;
    server = createServer();
    server.addService(KeeperService, {
      session(opened: typeof stream) {
        stream = opened;
        openedCount += 1;
        opened?.on('data', ({ acknowledgedRevision }: MemberMessage) => {
          acknowledged = acknowledgedRevision;
        });
      },
    });
    await listen(server, { logger: { event() {} }, address });
    session = createKeeperSession(
      {
        clock: new SystemClock(),
        logger: { event() {} },
        deployment: 'test',
        getSeeds: () => [address],
        metadata: new Metadata(),
        resolve: (announced) => announced,
        onChange() {},
        onLease() {},
        onDrain() {},
      },
      member,
    );
    await waitFor('the session', () => stream);
  });

  after(async () => {
    await session.leave();
    server.forceShutdown();
  });

  function renewLease(revision: number): void {
    const value = { sentAtMs: 0, leaseMs: LEASE_MS, fencingToken: 1, revision, draining: false };
    stream?.write({ body: { $case: 'leaseRenewal', value } });
  }

  function pushState(revision: number, configRevision: number): void {
    const value = { revision, configRevision, full: false, things: [] };
    stream?.write({ body: { $case: 'stateUpdate', value } });
  }

  it('knows a configuration as soon as it acknowledges it, before the next lease renewal', async () => {
    pushState(5, 5);
    renewLease(5);
    pushState(7, 7);
    await waitFor('the acknowledgement', () => acknowledged >= 7);
    assert.equal(session.configRevision, 7);
  });

  it('does not take a change that no ticket made for a configuration', async () => {
    pushState(9, 7);
    await waitFor('the acknowledgement', () => acknowledged >= 9);
    assert.equal(session.configRevision, 7);
  });

  it('lasts although the process of the member does not run for a while', async () => {
    const timer = setInterval(() => renewLease(9), 100);
    try {
      await delay(SETTLE_MS);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
      await delay(SETTLE_MS);
      assert.equal(openedCount, 1);
    } finally {
      clearInterval(timer);
    }
  });

  it('is opened anew when the keeper is silent', async () => {
    await waitFor('another session', () => openedCount > 1);
  });
});

describe('a session whose keepers are all replaced', () => {
  const closeAll: (() => unknown)[] = [];
  after(async () => {
    for (const close of closeAll.reverse()) await close();
  });

  /** Starts a keeper that tells each member of the keepers that `listKeepers` returns. */
  async function startKeeper(listKeepers: () => string[]) {
    const address = `127.0.0.1:${await getFreePort()}`;
    const started = createServer();
    const keeper = { address, sessionCount: 0, stop: () => started.forceShutdown() };
    started.addService(KeeperService, {
      session(opened: ServerDuplexStream<MemberMessage, KeeperMessage>) {
        keeper.sessionCount += 1;
        opened.on('error', () => {});
        const value = { addresses: listKeepers(), index: 1 };
        opened.write({ body: { $case: 'keepers', value } });
      },
    });
    await listen(started, { logger: { event() {} }, address });
    closeAll.push(keeper.stop);
    return keeper;
  }

  // Found by reading: entries and agents knew only the keepers that their settings named at the start.
  it('goes on with one that an earlier keeper has listed', async () => {
    const successor = await startKeeper(() => []);
    const first = await startKeeper(() => [successor.address]);
    const session = createKeeperSession({ ...host, getSeeds: () => [first.address] }, member);
    closeAll.push(() => session.leave());
    await waitFor('the first session', () => first.sessionCount > 0);
    await delay(SETTLE_MS);
    first.stop();
    await waitFor('the session with the successor', () => successor.sessionCount > 0);
  });

  it('goes on with one that the changed settings name', async () => {
    const successor = await startKeeper(() => []);
    const first = await startKeeper(() => []);
    let seeds = [first.address];
    const session = createKeeperSession({ ...host, getSeeds: () => seeds }, member);
    closeAll.push(() => session.leave());
    await waitFor('the first session', () => first.sessionCount > 0);
    seeds = [successor.address];
    first.stop();
    await waitFor('the session with the successor', () => successor.sessionCount > 0);
  });
});

describe('a call to the keepers', () => {
  const closeAll: (() => unknown)[] = [];
  after(async () => {
    for (const close of closeAll.reverse()) await close();
  });

  /** Starts a keeper that handles the opening of claims as told, and names the leader, if any. */
  async function startKeeper(openClaim: KeeperServer['openClaim'], leader?: string) {
    const address = `127.0.0.1:${await getFreePort()}`;
    const started = createServer();
    const keeper = { address, calls: 0 };
    started.addService(KeeperService, {
      session(opened: ServerDuplexStream<MemberMessage, KeeperMessage>) {
        opened.on('error', () => {});
        if (leader === undefined) return;
        const value = { address: leader };
        setTimeout(() => opened.write({ body: { $case: 'leaderHint', value } }), HINT_MS);
      },
      openClaim(...[call, done]: Parameters<KeeperServer['openClaim']>) {
        keeper.calls += 1;
        openClaim(call, done);
      },
    });
    await listen(started, { logger: { event() {} }, address });
    closeAll.push(() => started.forceShutdown());
    return keeper;
  }

  function startSession(address: string): KeeperSession {
    const session = createKeeperSession({ ...host, getSeeds: () => [address] }, member);
    closeAll.push(() => session.leave());
    return session;
  }

  // It waited 1.5 s for the first keeper, by when callers with short deadlines had left.
  it('is made at the next leader when the keeper before is silent', async () => {
    const leader = await startKeeper((_call, done) => done(null, { outcome: 'opened' } as never));
    const silent = await startKeeper(() => {}, leader.address);
    const session = startSession(silent.address);
    const startedAt = performance.now();
    const response = await session.openClaim(claim, LIMIT_MS);
    assert.equal(response.outcome, 'opened');
    assert.ok(performance.now() - startedAt < LIMIT_MS);
    assert.deepEqual([silent.calls, leader.calls], [1, 1]);
  });

  it('ends when its caller has no time left', async () => {
    const silent = await startKeeper(() => {});
    const session = startSession(silent.address);
    const startedAt = performance.now();
    await assert.rejects(session.openClaim(claim, HINT_MS));
    assert.ok(performance.now() - startedAt < LIMIT_MS);
  });
});
