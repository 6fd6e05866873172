/** What operators get from a keeper while the lead is lost, changes or is not known. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Metadata, status, type ServiceError } from '@grpc/grpc-js';
import { SystemClock } from '../../../src/common/clock.js';
import { RaisedFailure, toFailure } from '../../../src/common/failure.js';
import type { ControlClient, DeclareResponse } from '../../../src/generated/control.js';
import type { Replica, TableDocument } from '../../../src/generated/keeper.js';
import type { RunningReplica } from '../../../src/keeper/replica.js';
import { createTableAuthority } from '../../../src/keeper/tableAuthority.js';
import { delay } from '../../fixtures/deployment.js';

/** Time until a leader is known. */
const ELECTION_MS = 300;
/** Time without a leader after which a keeper is rather cut off than in an election. */
const CUT_OFF_MS = 3_000;
/** Time after which an operator asks another keeper. */
const OPERATOR_TIMEOUT_MS = 1_000;

type Answer<Response> = (error: ServiceError | null, response?: Response) => void;

/** How another keeper handles what is forwarded to it. */
interface OtherKeeper {
  declare(table: TableDocument, answer: Answer<DeclareResponse>): void;
  readTable?(answer: Answer<TableDocument>): void;
  connectAnew?(): void;
}

const silentKeeper: OtherKeeper = { declare() {}, readTable() {} };

function createReplica(id: string): Replica {
  return { id, storeId: id, address: id, operatorAddress: id };
}

function createTable(revision: number): TableDocument {
  return { revision, document: Buffer.alloc(1) };
}

function accept(table: TableDocument, answer: Answer<DeclareResponse>): void {
  answer(null, { outcome: 'accepted', revision: table.revision });
}

function createError(code: status, details: string): ServiceError {
  return Object.assign(new Error(details), { code, details, metadata: new Metadata() });
}

/** The authority of keeper `self`, whose replica and peers the test controls. */
function createSubject(others: Record<string, OtherKeeper> = {}) {
  const self = createReplica('self');
  let leaderHeardAt = performance.now();
  const raft = {
    role: 'follower',
    term: 1,
    leader: undefined as Replica | undefined,
    getTimeSinceLeaderMs: (now: number) => now - leaderHeardAt,
  };
  const table = { current: createTable(0) };
  const fake = {
    raft,
    state: { table },
    propose: (): Promise<never> => new Promise(() => {}),
    confirmLeadership: () => Promise.resolve(true),
  };
  let replica: typeof fake | undefined = fake;
  const authority = createTableAuthority({
    clock: new SystemClock(),
    metadata: new Metadata(),
    tryGetReplica: () => replica as unknown as RunningReplica | undefined,
    getClient: (address) => createClient(others[address]!),
    renewClient: (address) => others[address]?.connectAnew?.(),
  });

  return {
    authority,
    table,
    setCluster: (isFormed: boolean) => {
      replica = isFormed ? fake : undefined;
    },
    follow(id: string) {
      raft.role = 'follower';
      raft.term += 1;
      raft.leader = createReplica(id);
    },
    lead() {
      raft.role = 'leader';
      raft.term += 1;
      raft.leader = self;
    },
    failProposals(error: Error) {
      fake.propose = () => Promise.reject(error);
    },
    loseLeader(silentMs = 0) {
      raft.role = 'preCandidate';
      raft.leader = undefined;
      leaderHeardAt = performance.now() - silentMs;
    },
  };
}

function createClient({ declare, readTable }: OtherKeeper): ControlClient {
  const client = {
    declare: (
      table: TableDocument,
      _metadata: Metadata,
      options: { deadline: number },
      done: Answer<DeclareResponse>,
    ) => {
      setTimeout(
        () => done(createError(status.DEADLINE_EXCEEDED, 'deadline exceeded')),
        options.deadline - Date.now(),
      ).unref();
      declare(table, done);
    },
    readTable: (
      _request: object,
      _metadata: Metadata,
      _options: object,
      done: Answer<TableDocument>,
    ) => readTable?.(done),
  };
  return client as unknown as ControlClient;
}

async function checkInTime<Response>(run: Promise<Response>): Promise<Response> {
  const startedAt = performance.now();
  try {
    return await run;
  } finally {
    const takenMs = performance.now() - startedAt;
    assert.ok(takenMs < OPERATOR_TIMEOUT_MS, `${takenMs} ms`);
  }
}

describe('a table that is declared', () => {
  // Operators got 503 at once, and came back after ever longer pauses.
  it('is not refused while a leader is being elected', async () => {
    const subject = createSubject({ other: { declare: accept } });
    subject.loseLeader();
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    await delay(ELECTION_MS);
    subject.follow('other');
    assert.deepEqual(await declared, { outcome: 'accepted', revision: 2 });
  });

  it('is not refused while the cluster forms', async () => {
    const subject = createSubject({ other: { declare: accept } });
    subject.setCluster(false);
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    await delay(ELECTION_MS);
    subject.setCluster(true);
    subject.follow('other');
    assert.deepEqual(await declared, { outcome: 'accepted', revision: 2 });
  });

  // The keeper waited for the lost leader until the operator had left.
  it('reaches the next leader in time when the one before is silent', async () => {
    const subject = createSubject({ silent: silentKeeper, other: { declare: accept } });
    subject.follow('silent');
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    await delay(ELECTION_MS);
    subject.follow('other');
    assert.deepEqual(await declared, { outcome: 'accepted', revision: 2 });
  });

  it('reaches the next leader when the one before has lost the lead', async () => {
    const deposed: OtherKeeper = {
      declare: (_table, answer) => answer(createError(status.UNAVAILABLE, 'notLeader')),
    };
    const subject = createSubject({ deposed, other: { declare: accept } });
    subject.follow('deposed');
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    await delay(ELECTION_MS);
    subject.follow('other');
    assert.deepEqual(await declared, { outcome: 'accepted', revision: 2 });
  });

  it('reaches the next leader when this keeper loses the lead', async () => {
    const subject = createSubject({ other: { declare: accept } });
    subject.lead();
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    await delay(ELECTION_MS);
    subject.follow('other');
    assert.deepEqual(await declared, { outcome: 'accepted', revision: 2 });
  });

  it('gets an attempt of its own behind one whose answer is lost', async () => {
    const lost: TableDocument[] = [];
    const declare: OtherKeeper['declare'] = (table, answer) => {
      if (lost.length > 0) accept(table, answer);
      else lost.push(table);
    };
    const subject = createSubject({ other: { declare } });
    subject.follow('other');
    const first = subject.authority.declare(createTable(2)).catch(toFailure);
    const second = checkInTime(subject.authority.declare(createTable(3)));
    assert.deepEqual(await second, { outcome: 'accepted', revision: 3 });
    await first;
  });

  // Each order at this keeper failed for the 4 s until the silent connection was noticed.
  it('is passed on over a new connection when the one before is silent', async () => {
    let isSilent = true;
    const other: OtherKeeper = {
      declare: (table, answer) => {
        if (!isSilent) accept(table, answer);
      },
      connectAnew() {
        isSilent = false;
      },
    };
    const subject = createSubject({ other });
    subject.follow('other');
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    assert.deepEqual(await declared, { outcome: 'accepted', revision: 2 });
  });

  it('is answered while the operator still waits, although nobody leads', async () => {
    const subject = createSubject();
    const declared = checkInTime(subject.authority.declare(createTable(2)));
    await assert.rejects(declared, (caught) => toFailure(caught).kind === 'unavailable');
  });

  // Operators waited at keepers that were cut off, although others could have acknowledged it.
  it('is refused at once by a keeper that has heard no leader for long', async () => {
    const subject = createSubject();
    subject.loseLeader(CUT_OFF_MS);
    const declared = subject.authority.declare(createTable(2)).catch(toFailure);
    const outcome = await Promise.race([declared, delay(ELECTION_MS)]);
    assert.deepEqual(outcome, { kind: 'unavailable', reason: 'no leader' });
  });

  it('is acknowledged without a leader when a later one is in force', async () => {
    const subject = createSubject();
    subject.table.current = createTable(3);
    const declared = await subject.authority.declare(createTable(2));
    assert.deepEqual(declared, { outcome: 'superseded', revision: 3 });
  });

  it('is refused at once for a failure that another leader would not mend', async () => {
    const failure = { kind: 'unexpected', reason: 'a fault' } as const;
    const subject = createSubject();
    subject.lead();
    subject.failProposals(new RaisedFailure(failure));
    const declared = subject.authority.declare(createTable(2)).catch(toFailure);
    assert.deepEqual(await Promise.race([declared, delay(ELECTION_MS)]), failure);
  });
});

describe('the table in force', () => {
  it('is read once there is a leader', async () => {
    const readTable = (answer: Answer<TableDocument>) => answer(null, createTable(4));
    const subject = createSubject({ other: { declare() {}, readTable } });
    subject.loseLeader();
    const read = checkInTime(subject.authority.read());
    await delay(ELECTION_MS);
    subject.follow('other');
    assert.equal((await read).revision, 4);
  });

  it('is read from the next leader when the one before is silent', async () => {
    const readTable = (answer: Answer<TableDocument>) => answer(null, createTable(4));
    const subject = createSubject({ silent: silentKeeper, other: { declare() {}, readTable } });
    subject.follow('silent');
    const read = checkInTime(subject.authority.read());
    await delay(ELECTION_MS);
    subject.follow('other');
    assert.equal((await read).revision, 4);
  });
});
