/** Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, else 2. */

import process from 'node:process';

const COULD_NOT_RUN = 2;

/** `run` resolves with 0 or 1. Processes that the case has started end with this one. */
export async function runCase(record, run, cleanUp) {
  process.on('uncaughtException', giveUp);
  process.on('unhandledRejection', giveUp);
  process.on('SIGINT', () => giveUp(new Error('SIGINT')));
  process.on('SIGTERM', () => giveUp(new Error('SIGTERM')));
  try {
    const code = await run();
    await cleanUp();
    process.exit(code);
  } catch (caught) {
    giveUp(caught);
  }

  function giveUp(caught) {
    record(`the case could not run: ${caught.stack}`);
    process.exit(COULD_NOT_RUN);
  }
}
