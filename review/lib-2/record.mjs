/** Writes what happens in a run of a case, one line each, to record.txt in its folder. */

import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

export function createRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedAt = performance.now();
  writeFileSync(path, '');
  return (line) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds.padStart(8)} ${line}\n`);
  };
}
