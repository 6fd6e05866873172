/** Structured log events with numeric codes, written to standard output as JSON lines. */

import loglevel from 'loglevel';
import { events, type EventFields } from '../generated/events.js';
import { delay } from './delay.js';
import { awaitTurns } from './eventLoop.js';
import { createLogSink, type LogSink } from './logSink.js';

type Level = 'trace' | 'debug' | 'info' | 'warn' | 'error';

export interface Logger {
  /** Logs the event that the event catalogue lists under `name`. */
  event<Name extends keyof EventFields>(name: Name, fields: EventFields[Name]): void;
}

/** Resources of Node.js that occupy a thread, for which a regular exit waits. */
const threadResources = new Set(['FSReqCallback', 'FSReqPromise', 'GetAddrInfoReqWrap']);
/** Time that operations on files have to end before the process does. */
const THREADS_TIMEOUT_MS = 1_000;
const THREADS_POLL_MS = 20;
/** Time for each step of the end that is given however late the end comes. */
const MIN_END_MS = 100;
/**
 * Share of the time that is left that the last lines may take. The rest is for threads and the exit,
 * for which a busy host may let the process wait.
 */
const LOG_SHARE = 1 / 2;

let processSink: LogSink | undefined;

/**
 * Exits after a regular stop, once the reader of the log has taken the buffered lines. Whether the
 * reader takes them or not, the exit begins long before `leftMs` have passed, or within some 200 ms
 * if that is more. If a thread is blocked, for example by a disk that does not return, the process
 * kills itself shortly before that time at the latest.
 */
export async function endProcess(exitCode: number, leftMs: number): Promise<void> {
  const endAt = performance.now() + leftMs;
  await processSink?.flush(Math.max(MIN_END_MS, leftMs * LOG_SHARE));
  // Counted in polls, each of which reads what threads have done while the process did not run.
  const threadsMs = Math.max(MIN_END_MS, endAt - MIN_END_MS - performance.now());
  let pollsLeft = Math.min(threadsMs, THREADS_TIMEOUT_MS) / THREADS_POLL_MS;
  while (hasBusyThread()) {
    if (pollsLeft <= 0) process.kill(process.pid, 'SIGKILL');
    pollsLeft -= 1;
    await delay(THREADS_POLL_MS);
    await awaitTurns(1);
  }
  abortProcess(exitCode);
}

function hasBusyThread(): boolean {
  return process.getActiveResourcesInfo().some((resource) => threadResources.has(resource));
}

/**
 * Exits at once; used after an internal error. Buffered log lines are written as far as the reader
 * takes them. If a thread is blocked in a write, a regular exit would wait for that thread, so the
 * process kills itself.
 */
export function abortProcess(exitCode: number): void {
  if (processSink?.isBlocked) process.kill(process.pid, 'SIGKILL');
  processSink?.flushSync();
  process.exit(exitCode);
}

/** Creates a logger that adds the `id` of the process to each line. */
export function createLogger(id: string, level: Level = 'info'): Logger {
  processSink ??= createLogSink();
  const sink = processSink;
  const logger = loglevel.getLogger(id);
  logger.methodFactory = () => (line: string) => sink.write(`${line}\n`);
  logger.setLevel(level, false);

  return { event };

  function event<Name extends keyof EventFields>(name: Name, fields: EventFields[Name]): void {
    const lines = sink.takeDroppedCount();
    if (lines > 0) write('logLinesDropped', { lines });
    write(name, fields);
  }

  function write<Name extends keyof EventFields>(name: Name, fields: EventFields[Name]): void {
    const { code, level: eventLevel } = events[name];
    const time = new Date().toISOString();
    logger[eventLevel](
      JSON.stringify({ time, code, event: name, level: eventLevel, id, ...fields }),
    );
  }
}
