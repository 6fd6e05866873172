/** Numbered log events, one JSON object a line on standard output. */

import loglevel from 'loglevel';
import { events, type EventFields } from '../generated/events.js';
import { createLogSink, type LogSink } from './logSink.js';

type Level = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Writes log events. */
export interface Logger {
  /** Logs the event `name` from the catalogue. */
  event<Name extends keyof EventFields>(name: Name, fields: EventFields[Name]): void;
}

let processSink: LogSink | undefined;

/**
 * Ends the process once its last lines are written. When nobody reads them, a thread is blocked in
 * writing, and a regular exit would wait for that thread.
 */
export function endProcess(exitCode: number): void {
  if (processSink?.isBlocked) process.kill(process.pid, 'SIGKILL');
  processSink?.flushSync();
  process.exit(exitCode);
}

/** Creates a logger that stamps each line with the process's `id`. */
export function createLogger(id: string, level: Level = 'info'): Logger {
  processSink ??= createLogSink();
  const sink = processSink;
  const logger = loglevel.getLogger(id);
  logger.methodFactory = () => (line: string) => sink.write(`${line}\n`);
  logger.setLevel(level, false);

  return { event };

  function event<Name extends keyof EventFields>(name: Name, fields: EventFields[Name]): void {
    const lines = sink.takeDropped();
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
