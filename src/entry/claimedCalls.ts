/**
 * Calls under an idempotency key: a claim is committed before the call is dispatched, and its
 * outcome before the caller is told, so that a second arrival at any entry finds it.
 */

import { createHash } from 'node:crypto';
import { delay } from '../common/delay.js';
import type { Clock } from '../common/clock.js';
import type { KeeperSession } from '../common/keeperSession.js';
import type { ClaimKey, ClaimOpen, StoredAnswer } from '../generated/keeper.js';
import type { BufferedResponse } from './responseSinks.js';
import { createRejection, type Problem } from './problem.js';
import type { CallerRequest, RequestResult } from './types.js';

const CLAIM_TIMEOUT_MS = 4_000;
const PENDING_POLL_MS = 100;
/** Larger answers are not kept for a second arrival. */
const MAX_KEPT_BYTES = 64 * 1024;
const MAX_KEY_LENGTH = 255;

export type ClaimedResult =
  | { kind: 'answer'; answer: BufferedResponse; isReplay: boolean }
  | { kind: 'problem'; problem: Problem };

/** What claimed calls need from outside. */
export interface ClaimedCallsHost {
  clock: Clock;
  session: KeeperSession;
  entryId: string;
  incarnation: string;
  /** Runs the request; resolves when it has ended. */
  run(request: CallerRequest): Promise<{ answer: BufferedResponse; end: RequestResult }>;
}

/** Whether a key may be used. */
export function isValidKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH;
}

/** Runs a request at most once under its key. */
export async function runClaimed(
  host: ClaimedCallsHost,
  request: CallerRequest,
  service: string,
  key: string,
): Promise<ClaimedResult> {
  const claimKey = { team: request.team.name, service, key };
  const open: ClaimOpen = {
    key: claimKey,
    digest: digestCall(request),
    entryId: host.entryId,
    entryIncarnation: host.incarnation,
    openedAtMs: host.clock.wallTime(),
    requestId: request.id,
  };
  while (true) {
    const response = await tryOpen(host, open);
    if (response === undefined) {
      // The claim may have been committed although its answer was lost.
      void closeClaim(host, claimKey, request.id, 'not_run', undefined);
      return toProblem('key_unavailable', 'not_run', 'no quorum of keepers answered');
    }
    switch (response.outcome) {
      case 'opened':
        return runOpened(host, request, claimKey);
      case 'finished':
        return replay(response.answer);
      case 'conflict':
        return toProblem('key_conflict', 'not_run', 'the key belongs to another request');
      case 'expired':
        return toProblem(
          'key_expired',
          'not_run',
          'the key was used before and its answer is gone',
        );
      case 'pending':
        break;
      default:
        return toProblem('lost', 'unknown', 'what became of the earlier call is not known');
    }
    if (host.clock.now() > request.deadline) {
      return toProblem('lost', 'unknown', 'the earlier call under this key has not ended yet');
    }
    await delay(PENDING_POLL_MS);
  }
}

async function tryOpen(host: ClaimedCallsHost, open: ClaimOpen) {
  try {
    return await host.session.openClaim(open, CLAIM_TIMEOUT_MS);
  } catch {
    return undefined;
  }
}

async function runOpened(
  host: ClaimedCallsHost,
  request: CallerRequest,
  key: ClaimKey,
): Promise<ClaimedResult> {
  const { answer, end } = await host.run(request);
  if (end.kind === 'complete') {
    await closeClaim(host, key, request.id, 'finished', toStored(answer));
    return { kind: 'answer', answer, isReplay: false };
  }
  const { problem } = end;
  const outcome = problem.outcome === 'not_run' ? 'not_run' : 'unknown';
  await closeClaim(host, key, request.id, outcome, undefined);
  return { kind: 'problem', problem };
}

/** Best effort: a claim that stays open becomes `unknown` once this entry is gone. */
async function closeClaim(
  host: ClaimedCallsHost,
  key: ClaimKey,
  requestId: string,
  outcome: string,
  answer: StoredAnswer | undefined,
): Promise<void> {
  const closedAtMs = host.clock.wallTime();
  try {
    const close = { key, requestId, outcome, answer, closedAtMs };
    await host.session.closeClaim(close, CLAIM_TIMEOUT_MS);
  } catch {
    // The caller still gets the answer of its own call.
  }
}

function replay(stored: StoredAnswer | undefined): ClaimedResult {
  if (stored === undefined || stored.bodyOmitted) {
    return toProblem(
      'answer_not_kept',
      'ran',
      'the call ran before; its answer was too large to keep',
    );
  }
  const headers = [{ name: 'content-type', value: stored.contentType }];
  const body = Buffer.from(stored.body);
  const answer = { status: stored.status, headers, body, agentId: '' };
  return { kind: 'answer', answer, isReplay: true };
}

function toStored(answer: BufferedResponse): StoredAnswer {
  const contentType = answer.headers.find(({ name }) => name === 'content-type')?.value ?? '';
  const bodyOmitted = answer.body.length > MAX_KEPT_BYTES;
  const body = bodyOmitted ? Buffer.alloc(0) : answer.body;
  return { status: answer.status, contentType, body, bodyOmitted };
}

function digestCall(request: CallerRequest): string {
  const hash = createHash('sha256').update(`${request.method} ${request.path}\n`);
  return hash.update(request.body).digest('hex');
}

function toProblem(
  kind: Problem['kind'],
  outcome: Problem['outcome'],
  detail: string,
): ClaimedResult {
  const problem = outcome === 'not_run' ? createRejection(kind, detail) : { kind, outcome, detail };
  return { kind: 'problem', problem };
}
