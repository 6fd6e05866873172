/**
 * Bounds how many large request bodies a process reads and handles at once. What has not been
 * admitted stays in the connection.
 */

import type { IncomingMessage } from 'node:http';
import PQueue from 'p-queue';
import type { ClientMemory } from './clientMemory.js';
import { RaisedFailure } from './failure.js';

const MAX_LARGE_BODIES = 4;
/** Bodies up to this size are admitted at once, however many there are. */
const TINY_BODY_BYTES = 16 * 1024;
/** Bodies up to this size are admitted at once while there is room for them. */
const SMALL_BODY_BYTES = 512 * 1024;
/** Room for small bodies; those beyond it wait as large ones do. */
const SMALL_BODY_ROOM_BYTES = 16 * 1024 * 1024;
/** Largest body of an operator; one in chunks may have any size up to that. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Longest wait for admission; a caller that is refused has time to ask another process. */
const MAX_WAIT_MS = 2_000;
const RETRY_AFTER_MS = 1_000;
/** Time that an admitted body has to arrive. */
const ARRIVAL_TIMEOUT_MS = 5_000;

/** Admits request bodies, large ones and those without room in the order of their arrival. */
export interface BodyAdmission {
  /**
   * Runs `handle`, which reads the body. Raises `overloaded` before anything is read if too many
   * large bodies are ahead of it.
   */
  run<Result>(request: IncomingMessage, handle: () => Promise<Result>): Promise<Result>;
}

export function createBodyAdmission(memory: ClientMemory): BodyAdmission {
  const { bodies, logger } = memory;
  const queue = new PQueue({ concurrency: MAX_LARGE_BODIES });
  /** Part of the account that large bodies take; the room of small ones does not depend on it. */
  let largeBytes = 0;

  return { run };

  async function run<Result>(
    request: IncomingMessage,
    handle: () => Promise<Result>,
  ): Promise<Result> {
    const bytes = getAnnouncedBytes(request);
    if (bytes <= TINY_BODY_BYTES) return handleInTime(request, handle);
    const smallBytes = bodies.total - largeBytes;
    const hasRoom = bodies.hasRoom(bytes) && smallBytes + bytes <= SMALL_BODY_ROOM_BYTES;
    return bytes <= SMALL_BODY_BYTES && hasRoom
      ? handleCounted(request, bytes, handle)
      : handleInTurn(request, Math.min(bytes, MAX_BODY_BYTES), handle);
  }

  async function handleCounted<Result>(
    request: IncomingMessage,
    bytes: number,
    handle: () => Promise<Result>,
  ): Promise<Result> {
    bodies.add(bytes);
    try {
      return await handleInTime(request, handle);
    } finally {
      bodies.add(-bytes);
    }
  }

  async function handleLarge<Result>(
    request: IncomingMessage,
    bytes: number,
    handle: () => Promise<Result>,
  ): Promise<Result> {
    largeBytes += bytes;
    try {
      return await handleCounted(request, bytes, handle);
    } finally {
      largeBytes -= bytes;
    }
  }

  async function handleInTurn<Result>(
    request: IncomingMessage,
    bytes: number,
    handle: () => Promise<Result>,
  ): Promise<Result> {
    const waiting = new AbortController();
    const waitTimer = setTimeout(() => refuse(request, waiting), MAX_WAIT_MS);
    return queue.add(
      () => {
        clearTimeout(waitTimer);
        return handleLarge(request, bytes, handle);
      },
      { signal: waiting.signal },
    );
  }

  function refuse({ url: path = '' }: IncomingMessage, waiting: AbortController): void {
    logger.event('bodyRefused', { path, running: queue.pending, waiting: queue.size });
    memory.countLimited('bodyRoom');
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

/** A body in chunks may have any size. */
function getAnnouncedBytes({ headers }: IncomingMessage): number {
  if (headers['transfer-encoding'] !== undefined) return Infinity;
  return Number(headers['content-length'] ?? 0);
}
