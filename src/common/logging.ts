/** Numbered log events, one JSON object a line on standard output. */

import loglevel from 'loglevel';
import { events, type EventFields } from '../generated/events.js';

type Level = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Writes log events. */
export interface Logger {
  /** Logs the event `name` from the catalogue. */
  event<Name extends keyof EventFields>(name: Name, fields: EventFields[Name]): void;
}

/** Creates a logger that stamps each line with the process's `id`. */
export function createLogger(id: string, level: Level = 'info'): Logger {
  const logger = loglevel.getLogger(id);
  logger.methodFactory = () => writeLine;
  logger.setLevel(level, false);

  return {
    event(name, fields) {
      const { code, level: eventLevel } = events[name];
      const time = new Date().toISOString();
      logger[eventLevel](
        JSON.stringify({ time, code, event: name, level: eventLevel, id, ...fields }),
      );
    },
  };
}

function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
