/**
 * Bounds how many large request bodies a process reads and handles at once. What has not been
 * admitted stays in the connection.
 */

import type { IncomingMessage } from 'node:http';
import PQueue from 'p-queue';
import { RaisedFailure } from './failure.js';
import type { Logger } from './logging.js';

const MAX_LARGE_BODIES = 4;
/** Bodies up to this size are admitted at once. */
const SMALL_BODY_BYTES = 512 * 1024;
/** Longest wait for admission; a caller that is refused has time to ask another process. */
const MAX_WAIT_MS = 2_000;
const RETRY_AFTER_MS = 1_000;
/** Time that an admitted body has to arrive. */
const ARRIVAL_TIMEOUT_MS = 5_000;

/** Admits request bodies, large ones in the order of their arrival. */
export interface BodyAdmission {
  /**
   * Runs `handle`, which reads the body. Raises `overloaded` before anything is read if too many
   * large bodies are ahead of it.
   */
  run<Result>(request: IncomingMessage, handle: () => Promise<Result>): Promise<Result>;
}

export function createBodyAdmission(logger: Logger): BodyAdmission {
  const queue = new PQueue({ concurrency: MAX_LARGE_BODIES });

  return { run };

  async function run<Result>(
    request: IncomingMessage,
    handle: () => Promise<Result>,
  ): Promise<Result> {
    if (isSmall(request)) return handle();
    const waiting = new AbortController();
    const waitTimer = setTimeout(() => refuse(request, waiting), MAX_WAIT_MS);
    return queue.add(
      () => {
        clearTimeout(waitTimer);
        return handleInTime(request, handle);
      },
      { signal: waiting.signal },
    );
  }

  function refuse({ url: path = '' }: IncomingMessage, waiting: AbortController): void {
    logger.event('bodyRefused', { path, running: queue.pending, waiting: queue.size });
    const retryAfterMs = RETRY_AFTER_MS;
    waiting.abort(new RaisedFailure({ kind: 'overloaded', retryAfterMs }));
  }
}

async function handleInTime<Result>(
  request: IncomingMessage,
  handle: () => Promise<Result>,
): Promise<Result> {
  const arrivalTimer = setTimeout(() => {
    if (!request.complete) request.destroy();
  }, ARRIVAL_TIMEOUT_MS);
  try {
    return await handle();
  } finally {
    clearTimeout(arrivalTimer);
  }
}

function isSmall({ headers }: IncomingMessage): boolean {
  if (headers['transfer-encoding'] !== undefined) return false;
  return Number(headers['content-length'] ?? 0) <= SMALL_BODY_BYTES;
}
