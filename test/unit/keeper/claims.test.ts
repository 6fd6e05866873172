/** Claims and suspects in the replicated state. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ClaimClose, ClaimOpen, Command } from '../../../src/generated/keeper.js';
import { CLAIM_RETENTION_MS, KEY_RETENTION_MS } from '../../../src/keeper/claims.js';
import { createReplicatedState, type State } from '../../../src/keeper/state.js';

const key = { team: 'shops', service: 'order-desk', key: 'order-1' };
let index = 0;

function apply(state: State, change: Command['change']) {
  index += 1;
  return state.apply({ change }, index);
}

function open(state: State, more: Partial<ClaimOpen> = {}): string {
  const value: ClaimOpen = {
    key,
    digest: 'digest',
    entryId: 'entry-0',
    entryIncarnation: 'i0',
    openedAtMs: 1_000,
    requestId: 'r0',
    ...more,
  };
  const result = apply(state, { $case: 'claimOpen', value });
  return result.kind === 'claim' ? result.outcome.kind : result.kind;
}

function close(state: State, more: Partial<ClaimClose> = {}): void {
  const answer = {
    status: 201,
    contentType: 'text/plain',
    body: Buffer.from('x'),
    bodyOmitted: false,
  };
  const value = { key, requestId: 'r0', outcome: 'finished', answer, closedAtMs: 2_000, ...more };
  apply(state, { $case: 'claimClose', value });
}

function leave(state: State, id: string, incarnation: string): void {
  apply(state, { $case: 'memberLeave', value: { id, incarnation } });
}

describe('claims', () => {
  it('are opened once; the same request may open again, another one is pending', () => {
    const state = createReplicatedState();
    assert.equal(open(state), 'opened');
    assert.equal(open(state), 'opened');
    assert.equal(open(state, { requestId: 'r1', entryId: 'entry-1' }), 'pending');
    close(state);
    assert.equal(open(state, { requestId: 'r1' }), 'finished');
  });

  it('conflict when the key was used with another body', () => {
    const state = createReplicatedState();
    open(state);
    assert.equal(open(state, { requestId: 'r1', digest: 'other' }), 'conflict');
  });

  it('become unknown when their entry leaves, and stay so after a later not_run', () => {
    const state = createReplicatedState();
    open(state);
    leave(state, 'entry-0', 'i0');
    assert.equal(open(state, { requestId: 'r1' }), 'unknown');
    close(state, { outcome: 'not_run' });
    assert.equal(open(state, { requestId: 'r1' }), 'unknown');
    close(state);
    assert.equal(open(state, { requestId: 'r1' }), 'finished');
  });

  it('may be opened again after a call that did not run', () => {
    const state = createReplicatedState();
    open(state);
    close(state, { outcome: 'not_run' });
    assert.equal(open(state, { requestId: 'r1' }), 'opened');
    assert.equal(open(state, { requestId: 'r0' }), 'pending');
  });

  it('are rejected as expired after their outcome is deleted, and survive a restart', () => {
    const state = createReplicatedState();
    open(state);
    close(state);
    const restarted = createReplicatedState();
    restarted.load(state.save());
    assert.equal(open(restarted, { requestId: 'r1' }), 'finished');
    const later = 1_000 + CLAIM_RETENTION_MS + 1;
    assert.equal(open(restarted, { requestId: 'r2', openedAtMs: later }), 'expired');
    const muchLater = 1_000 + KEY_RETENTION_MS + 1;
    assert.equal(open(restarted, { requestId: 'r3', openedAtMs: muchLater }), 'opened');
  });
});

function report(state: State, digests: string[]): void {
  const value = { endpoint: 'e', incarnation: 'i', digests, reportedAtMs: 1_000 };
  apply(state, { $case: 'crashReport', value });
}

function openSolo(state: State, digest: string, requestId: string): string {
  const value = { digest, entryId: 'entry-0', entryIncarnation: 'i0', requestId };
  const result = apply(state, { $case: 'soloOpen', value });
  return result.kind === 'solo' ? result.outcome : result.kind;
}

function closeSolo(state: State, digest: string, requestId: string, verdict: string): void {
  apply(state, { $case: 'soloClose', value: { digest, requestId, verdict } });
}

describe('suspects', () => {
  it('run in isolation, one per deployment, and are cleared by a run that completes', () => {
    const state = createReplicatedState();
    report(state, ['a', 'b']);
    assert.equal(openSolo(state, 'a', 'r1'), 'granted');
    assert.equal(openSolo(state, 'b', 'r2'), 'busy');
    closeSolo(state, 'a', 'r1', 'cleared');
    assert.equal(openSolo(state, 'a', 'r3'), 'cleared');
    assert.equal(openSolo(state, 'b', 'r2'), 'granted');
  });

  it('are convicted by a crash during their isolated run', () => {
    const state = createReplicatedState();
    report(state, ['a', 'b']);
    openSolo(state, 'a', 'r1');
    report(state, ['a']);
    assert.equal(openSolo(state, 'a', 'r2'), 'convicted');
    assert.equal(openSolo(state, 'b', 'r3'), 'granted');
  });

  it('can run again when the entry that ran one has left', () => {
    const state = createReplicatedState();
    report(state, ['a', 'b']);
    openSolo(state, 'a', 'r1');
    leave(state, 'entry-0', 'i0');
    assert.equal(openSolo(state, 'b', 'r2'), 'granted');
  });
});
