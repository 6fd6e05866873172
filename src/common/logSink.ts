/** Buffered writer of log lines to standard output. Its buffer is bounded and it never blocks. */

import { SonicBoom } from 'sonic-boom';

const STDOUT_FD = 1;
const FLUSH_INTERVAL_MS = 500;
/** Buffered lines are written once they reach this size, or at the flush interval. */
const MIN_WRITE_BYTES = 4 * 1024;
/** Lines that would exceed this buffer size are dropped while the reader is too slow. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

export interface LogSink {
  write(line: string): void;
  /** Returns the number of lines dropped since the previous call. */
  takeDroppedCount(): number;
  /** Whether a periodic flush is still pending, as it is while the reader consumes nothing. */
  readonly isBlocked: boolean;
  /** Writes the buffered lines before the process exits. Blocks until the reader has taken them. */
  flushSync(): void;
}

/** Creates the sink for standard output of this process. */
export function createLogSink(): LogSink {
  const stream = new SonicBoom({
    fd: STDOUT_FD,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let dropped = 0;
  stream.on('drop', () => {
    dropped += 1;
  });
  // If standard output is closed, there is nowhere to report the error.
  stream.on('error', () => {});
  let pendingFlushes = 0;
  const timer = setInterval(() => {
    pendingFlushes += 1;
    stream.flush(() => {
      pendingFlushes -= 1;
    });
  }, FLUSH_INTERVAL_MS);
  timer.unref();

  return {
    write: (line) => void stream.write(line),
    takeDroppedCount() {
      const count = dropped;
      dropped = 0;
      return count;
    },
    get isBlocked() {
      return pendingFlushes > 0;
    },
    flushSync() {
      try {
        stream.flushSync();
      } catch {
        // The reader has closed standard output, so there is nowhere to report the error.
      }
    },
  };
}
