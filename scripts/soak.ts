/**
 * Runs the soak test for consecutive seeds.
 * Usage: npm run soak -- [--first SEED] [--count N] [--seconds S]
 */

import { parseArgs } from 'node:util';
import { runSoak } from '../test/soak/soak.js';

const { values } = parseArgs({
  options: {
    first: { type: 'string', default: String(Date.now() % 1_000_000) },
    count: { type: 'string', default: '10' },
    seconds: { type: 'string', default: '20' },
  },
});
const first = Number(values.first);
let violatingSeedCount = 0;
for (let seed = first; seed < first + Number(values.count); seed += 1) {
  const { violations, faults, ...counts } = await runSoak(seed, Number(values.seconds));
  process.stdout.write(`${JSON.stringify({ seed, ...counts, faults: faults.length })}\n`);
  if (violations.length === 0) continue;
  violatingSeedCount += 1;
  process.stdout.write(`${[...violations, `faults: ${faults.join(', ')}`].join('\n')}\n`);
}
process.stdout.write(`${violatingSeedCount} seeds with violations\n`);
if (violatingSeedCount > 0) process.exitCode = 1;
