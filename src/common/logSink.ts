/** Standard output for log lines: buffered, bounded and never waited for. */

import { SonicBoom } from 'sonic-boom';

const STDOUT = 1;
const FLUSH_INTERVAL_MS = 500;
/** Lines are written together once they reach this size. */
const WRITE_BYTES = 4 * 1024;
/** Lines beyond this are dropped while the reader does not keep up. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Takes log lines. */
export interface LogSink {
  write(line: string): void;
  /** Lines dropped since the last call. */
  takeDropped(): number;
  /** Whether the reader has taken nothing for at least one flush interval. */
  readonly isBlocked: boolean;
  /** Writes what is buffered, before the process ends; waits for the reader. */
  flushSync(): void;
}

/** The sink of this process. */
export function createLogSink(): LogSink {
  const stream = new SonicBoom({
    fd: STDOUT,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let dropped = 0;
  stream.on('drop', () => {
    dropped += 1;
  });
  // Nobody is left to tell when standard output itself is gone.
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
    takeDropped() {
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
        // The reader is gone, and with it the place to say so.
      }
    },
  };
}
