/** Attempts to listen on an address that another process may hold for a while. */

import { delay } from './delay.js';
import { RaisedFailure } from './failure.js';
import type { Logger } from './logging.js';

const RETRY_INTERVAL_MS = 100;
/** Longer than the graceful shutdown of a predecessor that still holds the address. */
const LISTEN_TIMEOUT_MS = 60_000;

/** An address to listen on. */
export interface ListenTarget {
  logger: Logger;
  /** host:port. */
  address: string;
  timeoutMs?: number;
}

/**
 * Calls `tryListen` until it succeeds. The first failure is logged, and so is a success after it.
 * Raises `unavailable` if it still fails at the end of the timeout.
 */
export async function retryListening(
  { logger, address, timeoutMs = LISTEN_TIMEOUT_MS }: ListenTarget,
  tryListen: () => Promise<void>,
): Promise<void> {
  const startedAt = performance.now();
  let hasFailed = false;
  while (true) {
    try {
      await tryListen();
      break;
    } catch (caught) {
      const reason = caught instanceof Error ? caught.message : String(caught);
      if (!hasFailed) logger.event('addressUnavailable', { address, reason });
      hasFailed = true;
      if (performance.now() - startedAt >= timeoutMs) {
        throw new RaisedFailure({ kind: 'unavailable', reason });
      }
      await delay(RETRY_INTERVAL_MS);
    }
  }
  if (!hasFailed) return;
  const waitedMs = Math.round(performance.now() - startedAt);
  logger.event('addressAvailable', { address, waitedMs });
}
