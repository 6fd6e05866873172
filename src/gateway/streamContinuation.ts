/** Decides where a stream goes on that broke off and that its caller continues by a new request. */

import type { StreamOrigin } from '../generated/control.js';
import type { Route } from '../routing/types.js';
import type { LocalReply } from './responseWriter.js';
import type { RequestHead } from './types.js';

/** Reply while nobody knows where the stream began, which may become known. */
const unknownOriginReply: LocalReply = {
  status: 503,
  reason: 'not known which version began the stream',
  retryAfterMs: 500,
};

/** Reply to a stream whose route no longer leads to the pool where it began. */
const otherPoolReply: LocalReply = {
  status: 503,
  reason: 'the stream began in a pool that its route no longer uses',
  retryAfterMs: 5_000,
};

export type Continuation =
  | { kind: 'possible'; pool: string; softwareVersion: string }
  | { kind: 'refused'; reply: LocalReply };

/** Whether a request continues a stream that has begun in response to an earlier request. */
export function isContinuation(
  { resumeAfter, resumedCallId }: Pick<RequestHead, 'resumeAfter' | 'resumedCallId'>,
  { kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>,
): boolean {
  if (kind !== 'stream' || !isResumable) return false;
  return resumeAfter !== undefined || resumedCallId !== undefined;
}

/**
 * Returns the id of the request that began the stream that a request continues. A caller that does
 * not name it gets no stream: nothing is known under the new id.
 */
export function getStreamId({
  id,
  resumedCallId,
}: Pick<RequestHead, 'id' | 'resumedCallId'>): string {
  return resumedCallId ?? id;
}

/** Decides on a stream that began at `origin`, which is undefined if nobody knows it. */
export function decideContinuation(
  origin: StreamOrigin | undefined,
  { targets }: Pick<Route, 'targets'>,
): Continuation {
  if (origin === undefined) return { kind: 'refused', reply: unknownOriginReply };
  const { pool, softwareVersion } = origin;
  if (!targets.some((target) => target.pool === pool && target.weight > 0)) {
    return { kind: 'refused', reply: otherPoolReply };
  }
  return { kind: 'possible', pool, softwareVersion };
}
