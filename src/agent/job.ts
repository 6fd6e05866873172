/** Creates jobs. */

import type { Reserve } from '../generated/dispatch.js';
import type { Job } from './types.js';

/** Creates a job for a reservation, or for an answer begun under an earlier incarnation. */
export function createJob(
  entryKey: string,
  requestId: string,
  reserve: Reserve | undefined,
  now: number,
): Job {
  return {
    requestId,
    entryKey,
    tierRank: reserve?.tierRank ?? 0,
    team: reserve?.team ?? '',
    shedOrder: reserve?.shedOrder ?? 0,
    weight: reserve?.weight ?? 1,
    promptTokens: reserve?.promptTokens ?? 0,
    outputTokens: reserve?.outputTokens ?? 0,
    deadline: now + (reserve?.usefulMs ?? 0),
    idempotent: reserve?.idempotent ?? true,
    prefixHash: reserve?.prefixHash ?? '',
    digest: reserve?.digest ?? '',
    isExclusive: reserve?.alone ?? false,
    enqueuedAt: now,
    state: 'waiting',
    grantId: '',
    grantedAt: 0,
    dispatchedAt: 0,
    firstByteAt: 0,
    cachedTokens: 0,
    chunksReceived: 0,
    stopReason: undefined,
    span: { grantedUs: 0, dispatchedUs: 0, firstByteUs: 0, endedUs: 0 },
  };
}
