/** The record of a case, and how it ends. */

import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import process from 'node:process';

const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Whether the case runs with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/** Creates the record of the case in `folder`. */
export function createRecord(folder) {
  const startedAt = performance.now();
  const lines = [];
  const broken = [];

  return {
    /** Notes what was sent, answered, run or done. */
    note(text) {
      const seconds = ((performance.now() - startedAt) / 1_000).toFixed(2);
      lines.push(`${seconds.padStart(6)} s  ${text}`);
    },
    /** Notes that a rule is broken. */
    breaks(text) {
      this.note(`BROKEN: ${text}`);
      broken.push(text);
    },
    save() {
      const verdict = broken.length > 0 ? `broken: ${broken.join('; ')}` : 'held';
      writeFileSync(`${folder}/record.txt`, `${lines.join('\n')}\nthe rule: ${verdict}\n`);
      return broken.length > 0;
    },
  };
}

/** Runs a case; the process ends with 0 if the rule held, 1 if it is broken, 2 if it could not run. */
export async function runCase(folder, run) {
  const record = createRecord(folder);
  const ends = [];
  let code = 0;
  record.note(isTroubled ? 'with the disruption' : 'without the disruption');
  try {
    await run(record, (end) => ends.push(end));
  } catch (caught) {
    record.note(`could not run: ${caught.stack}`);
    code = COULD_NOT_RUN;
  }
  for (const end of ends) {
    try {
      await end();
    } catch (caught) {
      record.note(`could not end: ${caught.message}`);
    }
  }
  const isBroken = record.save();
  if (code === 0 && isBroken) code = BROKEN;
  process.exit(code);
}
