/**
 * Idempotency records ("claims") of calls that must run at most once, keyed by team, service and
 * idempotency key.
 */

import { createHash } from 'node:crypto';
import { assertNever } from '../common/debug.js';
import type { ClaimClose, ClaimKey, ClaimOpen, StoredAnswer } from '../generated/keeper.js';
import type { Claim, ClaimOutcome, ClaimState } from './types.js';

/** How long a claim and its outcome are kept. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;
/** How long a used key is remembered; it is rejected as expired after its claim is deleted. */
export const KEY_RETENTION_MS = 30 * 24 * 60 * 60 * 1000;

/** All claims of the deployment. */
export interface Claims {
  open(command: ClaimOpen): ClaimOutcome;
  close(command: ClaimClose): void;
  /** Marks the pending claims of an entry that has left as `unknown`. */
  markPendingUnknown(entryId: string, entryIncarnation: string): void;
  readonly size: number;
  save(): SavedClaims;
  load(saved: SavedClaims): void;
}

export interface SavedClaims {
  claims: [string, Claim][];
  expiredKeys: [string, number][];
}

/** Creates an empty collection. */
export function createClaims(): Claims {
  // Both maps are ordered by opening time, oldest first; `expire` relies on this.
  const claims = new Map<string, Claim>();
  const expiredKeys = new Map<string, number>();

  return {
    get size() {
      return claims.size;
    },
    open,
    close,
    markPendingUnknown,
    save: () => ({ claims: [...claims], expiredKeys: [...expiredKeys] }),
    load,
  };

  function open(command: ClaimOpen): ClaimOutcome {
    expire(command.openedAtMs);
    const key = toMapKey(command.key);
    if (expiredKeys.has(key)) return { kind: 'expired' };
    const earlier = claims.get(key);
    if (earlier === undefined) {
      claims.set(key, toClaim(command));
      return { kind: 'opened' };
    }
    if (earlier.digest !== command.digest) return { kind: 'conflict' };
    if (earlier.state === 'notRun') {
      // The earlier call is known not to have run, so this one may run.
      claims.set(key, toClaim(command));
      return { kind: 'opened' };
    }
    return toOutcome(earlier, command);
  }

  function close(command: ClaimClose): void {
    const claim = claims.get(toMapKey(command.key));
    if (claim === undefined || claim.requestId !== command.requestId) return;
    // An entry that was considered dead may still report the outcome of its call.
    const isUndecided = claim.state === 'pending' || claim.state === 'unknown';
    if (!isUndecided) return;
    // A caller may have been told `unknown`, so a later `not_run` must not allow a second run.
    if (claim.state === 'unknown' && command.outcome !== 'finished') return;
    claim.state = toClaimState(command.outcome);
    claim.answer = command.answer;
  }

  function markPendingUnknown(entryId: string, entryIncarnation: string): void {
    for (const claim of claims.values()) {
      const isOwn = claim.entryId === entryId && claim.entryIncarnation === entryIncarnation;
      if (isOwn && claim.state === 'pending') claim.state = 'unknown';
    }
  }

  function expire(nowMs: number): void {
    for (const [key, claim] of claims) {
      if (claim.openedAtMs > nowMs - CLAIM_RETENTION_MS) break;
      claims.delete(key);
      if (claim.state !== 'notRun') expiredKeys.set(key, claim.openedAtMs);
    }
    for (const [key, openedAtMs] of expiredKeys) {
      if (openedAtMs > nowMs - KEY_RETENTION_MS) break;
      expiredKeys.delete(key);
    }
  }

  function load(saved: SavedClaims): void {
    claims.clear();
    expiredKeys.clear();
    for (const [key, claim] of saved.claims) claims.set(key, reviveClaim(claim));
    for (const [key, openedAtMs] of saved.expiredKeys) expiredKeys.set(key, openedAtMs);
  }
}

function toOutcome(claim: Claim, command: ClaimOpen): ClaimOutcome {
  switch (claim.state) {
    case 'pending':
      // The same request opens its claim again if the first response was lost.
      return { kind: claim.requestId === command.requestId ? 'opened' : 'pending' };
    case 'finished':
      return { kind: 'finished', answer: claim.answer ?? emptyAnswer };
    case 'unknown':
    case 'notRun':
      return { kind: 'unknown' };
    default:
      return assertNever(claim.state);
  }
}

const emptyAnswer: StoredAnswer = {
  status: 0,
  contentType: '',
  body: Buffer.alloc(0),
  bodyOmitted: true,
};

function toClaim(command: ClaimOpen): Claim {
  const { digest, entryId, entryIncarnation, requestId, openedAtMs } = command;
  return {
    digest,
    entryId,
    entryIncarnation,
    requestId,
    openedAtMs,
    state: 'pending',
    answer: undefined,
  };
}

function toClaimState(outcome: string): ClaimState {
  if (outcome === 'finished') return 'finished';
  return outcome === 'not_run' ? 'notRun' : 'unknown';
}

function toMapKey(key: ClaimKey | undefined): string {
  const parts = [key?.team ?? '', key?.service ?? '', key?.key ?? ''];
  return createHash('sha256').update(JSON.stringify(parts)).digest('base64');
}

/** Restores the answer's body as a Buffer: JSON snapshots store it as a plain object. */
function reviveClaim(claim: Claim): Claim {
  if (claim.answer === undefined) return claim;
  const body = Buffer.from(claim.answer.body);
  return { ...claim, answer: { ...claim.answer, body } };
}
