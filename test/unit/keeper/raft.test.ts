/** Single rules of the agreement, each by the messages that would break it. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LogEntry, Membership, PeerMessage, Replica } from '../../../src/generated/keeper.js';
import { createRaft, type Raft } from '../../../src/keeper/raft.js';
import { ELECTION_TIMEOUT_MS, type Envelope } from '../../../src/keeper/raftCore.js';
import { emptySnapshotHeader } from '../../../src/keeper/raftLog.js';
import { admitLearner, repairMembership } from '../../../src/keeper/membershipChanges.js';

const LONG_MS = 10 * ELECTION_TIMEOUT_MS;

function createReplicaId(id: string): Replica {
  return { id, storeId: `store-${id}`, address: id, operatorAddress: '' };
}

const [a, b, c] = ['a', 'b', 'c'].map(createReplicaId) as [Replica, Replica, Replica];
const three: Membership = { voters: [a, b, c], learners: [] };

function createMembershipEntry(membership: Membership): LogEntry {
  return { index: 1, term: 1, payload: { $case: 'membership', value: membership } };
}

function createNode(membership = three, more: LogEntry[] = [], now = 0): Raft {
  const entries = [createMembershipEntry(membership), ...more];
  const initial = {
    hardState: { term: entries.at(-1)?.term ?? 1, votedFor: '' },
    header: emptySnapshotHeader,
    entries,
  };
  const host = { random: () => 0, readSnapshot: () => undefined };
  return createRaft(host, 'test', a, initial, now);
}

function createMessage(from: Replica, term: number, body: PeerMessage['body']): PeerMessage {
  return { deployment: 'test', from, toStoreId: a.storeId, term, body };
}

function takeMessages(raft: Raft): Envelope[] {
  return raft.takeReady().messages;
}

function askVote(raft: Raft, from: Replica, term: number, preVote: boolean, now: number): boolean {
  const value = { preVote, lastIndex: 99, lastTerm: 99 };
  raft.step(createMessage(from, term, { $case: 'voteRequest', value }), now);
  const body = takeMessages(raft).at(-1)?.message.body;
  return body?.$case === 'voteResponse' && body.value.granted;
}

function heartbeat(raft: Raft, from: Replica, term: number, now: number): void {
  const value = { previousIndex: 1, previousTerm: 1, commitIndex: 0, entries: [], sentAtMs: 0 };
  raft.step(createMessage(from, term, { $case: 'appendRequest', value }), now);
  takeMessages(raft);
}

function grantVote(raft: Raft, from: Replica, term: number, preVote: boolean, now: number): void {
  const body = { $case: 'voteResponse' as const, value: { preVote, granted: true } };
  raft.step(createMessage(from, term, body), now);
}

/** Makes the node a leader; returns the time. */
function elect(raft: Raft): number {
  raft.tick(LONG_MS);
  grantVote(raft, b, raft.term + 1, true, LONG_MS);
  grantVote(raft, b, raft.term, false, LONG_MS);
  assert.equal(raft.role, 'leader');
  return LONG_MS;
}

function acknowledge(raft: Raft, from: Replica, matchIndex: number, sentAtMs: number): void {
  const value = { accepted: true, matchIndex, sentAtMs };
  raft.step(createMessage(from, raft.term, { $case: 'appendResponse', value }), sentAtMs);
}

function persistAll(raft: Raft): void {
  const { lastIndex, lastTerm } = raft.log;
  raft.takeReady();
  raft.persisted(lastIndex, lastTerm);
}

function propose(raft: Raft): void {
  const value = { id: 'x', draining: true };
  raft.tryPropose({ change: { $case: 'drainRequest', value } });
}

describe('votes', () => {
  it('are not given while a leader was heard within the election timeout', () => {
    const raft = createNode();
    heartbeat(raft, b, 2, LONG_MS);
    const soon = LONG_MS + ELECTION_TIMEOUT_MS - 1;
    assert.ok(!askVote(raft, c, 3, true, soon));
    assert.ok(!askVote(raft, c, 3, false, soon));
    assert.ok(askVote(raft, c, 3, true, soon + 1));
    assert.ok(askVote(raft, c, 3, false, soon + 1));
  });

  it('are not given by a restarted replica for a whole timeout', () => {
    const raft = createNode(three, [], LONG_MS);
    assert.ok(!askVote(raft, c, 3, false, LONG_MS + ELECTION_TIMEOUT_MS - 1));
    assert.ok(askVote(raft, c, 3, false, LONG_MS + ELECTION_TIMEOUT_MS));
  });

  it('are given once a term', () => {
    const raft = createNode();
    assert.ok(askVote(raft, b, 5, false, LONG_MS));
    assert.ok(!askVote(raft, c, 5, false, LONG_MS));
    assert.ok(askVote(raft, b, 5, false, LONG_MS));
  });

  it('are not given to a replica whose log is older', () => {
    const raft = createNode(three, [
      { index: 2, term: 4, payload: { $case: 'noop', value: true } },
    ]);
    const value = { preVote: false, lastIndex: 9, lastTerm: 3 };
    raft.step(createMessage(b, 5, { $case: 'voteRequest', value }), LONG_MS);
    const body = takeMessages(raft).at(-1)?.message.body;
    assert.ok(body?.$case === 'voteResponse' && !body.value.granted);
  });

  it('asked of an earlier store of this replica are ignored', () => {
    const raft = createNode();
    const value = { preVote: false, lastIndex: 99, lastTerm: 99 };
    const message = createMessage(b, 5, { $case: 'voteRequest', value });
    raft.step({ ...message, toStoreId: 'lost' }, LONG_MS);
    assert.equal(takeMessages(raft).length, 0);
    assert.equal(raft.term, 1);
  });
});

describe('a leader', () => {
  it('commits nothing before a majority, itself included, has synced it', () => {
    const raft = createNode();
    elect(raft);
    const index = raft.log.lastIndex;
    raft.takeReady();
    acknowledge(raft, b, index, LONG_MS);
    assert.equal(raft.commitIndex, 0, 'its own write is not synced yet');
    raft.persisted(index, raft.term);
    assert.equal(raft.commitIndex, index);
  });

  it('does not commit entries of earlier terms by counting copies', () => {
    const old: LogEntry = { index: 2, term: 2, payload: { $case: 'noop', value: true } };
    const raft = createNode(three, [old]);
    elect(raft);
    persistAll(raft);
    acknowledge(raft, b, 2, LONG_MS);
    acknowledge(raft, c, 2, LONG_MS);
    assert.equal(raft.commitIndex, 0);
    acknowledge(raft, b, 3, LONG_MS);
    assert.equal(raft.commitIndex, 3);
  });

  it('sends again what a replica has lost after acknowledging it', () => {
    const raft = createNode();
    elect(raft);
    for (let count = 0; count < 5; count += 1) propose(raft);
    persistAll(raft);
    acknowledge(raft, b, raft.log.lastIndex, LONG_MS);
    raft.takeReady();
    const value = { accepted: false, matchIndex: 3, sentAtMs: LONG_MS };
    raft.step(createMessage(b, raft.term, { $case: 'appendResponse', value }), LONG_MS);
    const body = takeMessages(raft).at(-1)?.message.body;
    assert.ok(body?.$case === 'appendRequest');
    assert.equal(body.value.previousIndex, 3);
    assert.equal(body.value.entries.length, raft.log.lastIndex - 3);
  });

  it('holds its lease for less than the election timeout after a majority answered', () => {
    const raft = createNode();
    elect(raft);
    assert.ok(!raft.hasLeaderLease(LONG_MS), 'nobody has answered yet');
    acknowledge(raft, b, 1, LONG_MS);
    assert.ok(raft.hasLeaderLease(LONG_MS + 1));
    assert.ok(!raft.hasLeaderLease(LONG_MS + ELECTION_TIMEOUT_MS * 0.95));
  });

  it('steps down without a majority', () => {
    const raft = createNode();
    const now = elect(raft);
    raft.tick(now + 2 * ELECTION_TIMEOUT_MS + 1);
    assert.equal(raft.role, 'follower');
  });
});

describe('changes of the membership', () => {
  const learner = createReplicaId('c2');

  function createSettledLeader(): Raft {
    const raft = createNode();
    elect(raft);
    persistAll(raft);
    acknowledge(raft, b, raft.log.lastIndex, LONG_MS);
    return raft;
  }

  function createOwner(raft: Raft) {
    return {
      raft,
      isServing: true,
      proposeMembership: (membership: Membership) => raft.tryProposeMembership(membership),
    };
  }

  const clock = { now: () => LONG_MS, wallTime: () => 0 };

  it('come one at a time', () => {
    const raft = createSettledLeader();
    assert.ok(raft.tryProposeMembership({ voters: [a, b], learners: [] }));
    assert.ok(!raft.tryProposeMembership({ voters: [a], learners: [] }));
  });

  it('wait for an entry of the present term', () => {
    const raft = createNode();
    elect(raft);
    assert.ok(!raft.tryProposeMembership({ voters: [a, b], learners: [] }));
  });

  it('promote a learner only when it has caught up, and after the lost voter is removed', () => {
    const raft = createSettledLeader();
    for (let count = 0; count < 100; count += 1) propose(raft);
    persistAll(raft);
    acknowledge(raft, b, raft.log.lastIndex, LONG_MS);
    const replaced = { ...learner, id: c.id };
    assert.equal(admitLearner(createOwner(raft), replaced), 'learner');
    persistAll(raft);
    acknowledge(raft, b, raft.log.lastIndex, LONG_MS);
    acknowledge(raft, replaced, 5, LONG_MS);
    repairMembership(createOwner(raft), clock);
    assert.deepEqual(raft.log.membership.voters, [a, b, c], 'it lags behind');
    acknowledge(raft, replaced, raft.log.lastIndex, LONG_MS);
    repairMembership(createOwner(raft), clock);
    assert.deepEqual(raft.log.membership.voters, [a, b]);
    persistAll(raft);
    acknowledge(raft, b, raft.log.lastIndex, LONG_MS);
    repairMembership(createOwner(raft), clock);
    assert.deepEqual(raft.log.membership.voters, [a, b, replaced]);
  });
});
