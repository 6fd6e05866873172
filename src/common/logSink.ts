/** Buffered writer of log lines to standard output. Its buffer is bounded and it never blocks. */

import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { SonicBoom } from 'sonic-boom';

const STDOUT_FD = 1;
const FLUSH_INTERVAL_MS = 500;
/** Buffered lines are written once they reach this size, or at the flush interval. */
const MIN_WRITE_BYTES = 4 * 1024;
/** Lines that would exceed this buffer size are dropped while the reader is too slow. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Time that the reader has to take buffered lines before it counts as stopped. */
const FLUSH_TIMEOUT_MS = 1_000;
/** Synchronous attempts to write the last lines, 100 ms apart. */
const FINAL_WRITE_ATTEMPTS = 10;

export interface LogSink {
  write(line: string): void;
  /** Returns the number of lines dropped since the previous call. */
  takeDroppedCount(): number;
  /**
   * Writes the buffered lines. Resolves once the reader has taken them, or after a timeout, at the
   * latest after `limitMs`.
   */
  flush(limitMs: number): Promise<void>;
  /** Writes the buffered lines before the process exits, as far as the reader takes them in time. */
  flushSync(): void;
  /** Whether a thread is blocked in a write because the reader takes nothing. */
  readonly isBlocked: boolean;
}

/** Creates the sink for standard output of this process. */
export function createLogSink(): LogSink {
  const nonBlocking = tryOpenNonBlocking(STDOUT_FD);
  let attemptsLeft = Number.POSITIVE_INFINITY;
  const stream = new SonicBoom({
    fd: STDOUT_FD,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    retryEAGAIN() {
      attemptsLeft -= 1;
      return attemptsLeft > 0;
    },
  });
  let dropped = 0;
  stream.on('drop', () => {
    dropped += 1;
  });
  /** When the oldest flush that is not complete began. */
  let flushingSince: number | undefined;
  /** Whether the reader has not taken the lines of a last flush in time. */
  let hasGivenUp = false;
  stream.on('drain', endFlush);
  // If standard output is closed, there is nowhere to report the error.
  stream.on('error', endFlush);
  const timer = setInterval(startFlush, FLUSH_INTERVAL_MS);
  timer.unref();

  return {
    write: (line) => void stream.write(line),
    takeDroppedCount() {
      const count = dropped;
      dropped = 0;
      return count;
    },
    flush: (limitMs) =>
      new Promise((resolve) => {
        const giveUp = (): void => {
          hasGivenUp = true;
          resolve();
        };
        setTimeout(giveUp, Math.max(0, Math.min(limitMs, FLUSH_TIMEOUT_MS)));
        stream.once('drain', resolve);
        stream.once('error', resolve);
        startFlush();
      }),
    flushSync() {
      attemptsLeft = hasGivenUp ? 1 : FINAL_WRITE_ATTEMPTS;
      try {
        stream.flushSync();
      } catch {
        // The reader has closed standard output or takes nothing, so nobody would see the error.
      }
    },
    get isBlocked() {
      if (nonBlocking !== undefined || flushingSince === undefined) return false;
      return hasGivenUp || performance.now() - flushingSince >= FLUSH_TIMEOUT_MS;
    },
  };

  function startFlush(): void {
    flushingSince ??= performance.now();
    // With a callback it would sync the file, which takes seconds on a disk that is busy.
    stream.flush();
  }

  function endFlush(): void {
    flushingSince = undefined;
  }
}

/**
 * Sets a pipe or socket to non-blocking mode by opening a stream on it. The mode lasts while the
 * stream is referenced. Returns undefined if the descriptor is something else.
 */
function tryOpenNonBlocking(fd: number): Socket | undefined {
  try {
    const status = fstatSync(fd);
    if (!status.isFIFO() && !status.isSocket()) return undefined;
    return new Socket({ fd, readable: false, writable: true }).unref();
  } catch {
    // The descriptor is closed or of an unknown kind. Writes to it may block a thread.
    return undefined;
  }
}
