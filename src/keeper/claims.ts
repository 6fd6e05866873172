/** Claims on calls that may run at most once, by team, service and idempotency key. */

import { createHash } from 'node:crypto';
import { assertNever } from '../common/debug.js';
import type { ClaimClose, ClaimKey, ClaimOpen, StoredAnswer } from '../generated/keeper.js';
import type { Claim, ClaimOutcome, ClaimState } from './types.js';

/** How long an outcome is kept; milliseconds. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;
/** How long a key is remembered as used after its outcome is gone; milliseconds. */
export const KEY_RETENTION_MS = 30 * 24 * 60 * 60 * 1000;

/** All claims of the deployment. */
export interface Claims {
  open(command: ClaimOpen): ClaimOutcome;
  close(command: ClaimClose): void;
  /** Makes undecided claims of an entry that is gone `unknown`. */
  abandon(entryId: string, entryIncarnation: string): void;
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
  // Both maps are in order of opening, so that the oldest come first.
  const claims = new Map<string, Claim>();
  const expiredKeys = new Map<string, number>();

  return {
    get size() {
      return claims.size;
    },
    open,
    close,
    abandon,
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
      // The earlier call certainly did not run, so this one may.
      claims.set(key, toClaim(command));
      return { kind: 'opened' };
    }
    return toOutcome(earlier, command);
  }

  function close(command: ClaimClose): void {
    const claim = claims.get(toMapKey(command.key));
    if (claim === undefined || claim.requestId !== command.requestId) return;
    // An entry that was taken for dead may still learn what became of its call.
    const isUndecided = claim.state === 'pending' || claim.state === 'unknown';
    if (!isUndecided) return;
    // Once `unknown` was told to anyone, a later `not run` must not allow a second run.
    if (claim.state === 'unknown' && command.outcome !== 'finished') return;
    claim.state = toClaimState(command.outcome);
    claim.answer = command.answer;
  }

  function abandon(entryId: string, entryIncarnation: string): void {
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
      // The same request asks again when the first answer was lost on its way.
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

/** Snapshots are JSON, in which a buffer turns into an object. */
function reviveClaim(claim: Claim): Claim {
  if (claim.answer === undefined) return claim;
  const body = Buffer.from(claim.answer.body);
  return { ...claim, answer: { ...claim.answer, body } };
}
