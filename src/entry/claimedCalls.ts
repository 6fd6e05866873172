/**
 * Runs calls that carry an idempotency key. A claim on the key is committed before the call is
 * dispatched, and its outcome is committed before the response is sent, so that a repeated call
 * finds both at any entry.
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
const PENDING_POLL_INTERVAL_MS = 100;
/** Larger response bodies are not stored for repeated calls. */
const MAX_STORED_BODY_BYTES = 64 * 1024;
const MAX_KEY_LENGTH = 255;

export type ClaimedResult =
  | { kind: 'answer'; response: BufferedResponse; isReplay: boolean }
  | { kind: 'problem'; problem: Problem };

/** Dependencies of calls with an idempotency key. */
export interface ClaimedCallsHost {
  clock: Clock;
  session: KeeperSession;
  entryId: string;
  incarnation: string;
  /** Runs the request and resolves when it has ended. */
  run(request: CallerRequest): Promise<{ response: BufferedResponse; result: RequestResult }>;
}

/** Returns whether the value of an `Idempotency-Key` header is acceptable. */
export function isValidIdempotencyKey(key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH;
}

/** Runs a request at most once for its idempotency key; repeated calls get the stored response. */
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
    const remainingMs = request.deadline - host.clock.now();
    const response = await tryOpenClaim(host, open, Math.min(CLAIM_TIMEOUT_MS, remainingMs));
    if (response === undefined) {
      // The claim may have been committed even though the keepers' response was lost.
      void closeClaim(host, claimKey, request.id, 'not_run', undefined);
      return createProblemResult('key_unavailable', 'not_run', 'no quorum of keepers answered');
    }
    switch (response.outcome) {
      case 'opened':
        return runAndCloseClaim(host, request, claimKey);
      case 'finished':
        return createReplay(response.answer);
      case 'conflict':
        return createProblemResult('key_conflict', 'not_run', 'the key belongs to another request');
      case 'expired':
        return createProblemResult(
          'key_expired',
          'not_run',
          'the key was used before and its answer is gone',
        );
      case 'pending':
        break;
      default:
        return createProblemResult(
          'lost',
          'unknown',
          'what became of the earlier call is not known',
        );
    }
    if (host.clock.now() > request.deadline) {
      return createProblemResult(
        'lost',
        'unknown',
        'the earlier call under this key has not ended yet',
      );
    }
    await delay(PENDING_POLL_INTERVAL_MS);
  }
}

async function tryOpenClaim(host: ClaimedCallsHost, open: ClaimOpen, timeoutMs: number) {
  try {
    return await host.session.openClaim(open, timeoutMs);
  } catch {
    return undefined;
  }
}

async function runAndCloseClaim(
  host: ClaimedCallsHost,
  request: CallerRequest,
  key: ClaimKey,
): Promise<ClaimedResult> {
  const { response, result } = await host.run(request);
  if (result.kind === 'complete') {
    await closeClaim(host, key, request.id, 'finished', toStoredAnswer(response));
    return { kind: 'answer', response, isReplay: false };
  }
  const { problem } = result;
  const outcome = problem.outcome === 'not_run' ? 'not_run' : 'unknown';
  await closeClaim(host, key, request.id, outcome, undefined);
  return { kind: 'problem', problem };
}

/** Closes a claim, best effort: one that stays open becomes `unknown` once this entry is gone. */
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
    // The caller still gets the response to its own call.
  }
}

function createReplay(stored: StoredAnswer | undefined): ClaimedResult {
  if (stored === undefined || stored.bodyOmitted) {
    return createProblemResult(
      'answer_not_kept',
      'ran',
      'the call ran before; its answer was too large to keep',
    );
  }
  const headers = [{ name: 'content-type', value: stored.contentType }];
  const body = Buffer.from(stored.body);
  const response = { status: stored.status, headers, body, agentId: '' };
  return { kind: 'answer', response, isReplay: true };
}

function toStoredAnswer(response: BufferedResponse): StoredAnswer {
  const contentType = response.headers.find(({ name }) => name === 'content-type')?.value ?? '';
  const bodyOmitted = response.body.length > MAX_STORED_BODY_BYTES;
  const body = bodyOmitted ? Buffer.alloc(0) : response.body;
  return { status: response.status, contentType, body, bodyOmitted };
}

function digestCall(request: CallerRequest): string {
  const hash = createHash('sha256').update(`${request.method} ${request.path}\n`);
  return hash.update(request.body).digest('hex');
}

function createProblemResult(
  kind: Problem['kind'],
  outcome: Problem['outcome'],
  detail: string,
): ClaimedResult {
  const problem = outcome === 'not_run' ? createRejection(kind, detail) : { kind, outcome, detail };
  return { kind: 'problem', problem };
}
