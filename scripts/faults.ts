/**
 * Runs the fault matrix: each fault at each step of a request, in random order. Prints the seed of
 * the order.
 * Usage: npm run faults -- [--seed N] [--fault NAME] [--step NAME] [--lanes N]
 */

import { parseArgs } from 'node:util';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { formatTable } from '../src/cli/table.js';
import { runCell, steps, type StepName } from '../test/faults/cells.js';
import { faults } from '../test/faults/faultKinds.js';
import { createMatrixDeployment } from '../test/faults/matrixDeployment.js';
import type { Deployment } from '../test/fixtures/deployment.js';

interface Cell {
  fault: string;
  step: StepName;
  state: 'held' | 'broken' | 'not run';
  detail: string;
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    fault: { type: 'string', multiple: true },
    step: { type: 'string', multiple: true },
    lanes: { type: 'string', default: '3' },
  },
});

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function createShuffledCells(): Cell[] {
  const cells: Cell[] = [];
  for (const fault of values.fault ?? Object.keys(faults)) {
    for (const step of (values.step ?? Object.keys(steps)) as StepName[]) {
      cells.push({ fault, step, state: 'not run', detail: '' });
    }
  }
  const random = xoroshiro128plus(Number(values.seed));
  for (let index = cells.length - 1; index > 0; index -= 1) {
    const swapIndex = uniformInt(random, 0, index);
    [cells[index], cells[swapIndex]] = [cells[swapIndex] as Cell, cells[index] as Cell];
  }
  return cells;
}

/** Runs queued cells on a deployment of its own, which is replaced after a cell that throws. */
async function runLane(queue: Cell[]): Promise<void> {
  let deployment: Deployment | undefined;
  let cell = queue.shift();
  while (cell !== undefined) {
    deployment ??= await createMatrixDeployment();
    try {
      await runAndRecordCell(deployment, cell);
    } catch (caught) {
      cell.state = 'broken';
      cell.detail = (caught as Error).message;
      writeLine(await deployment.describe());
      await deployment.stop();
      deployment = undefined;
    }
    writeLine(`${cell.state.padEnd(7)} ${cell.fault} at ${cell.step}  ${cell.detail}`);
    cell = queue.shift();
  }
  await deployment?.stop();
}

async function runAndRecordCell(deployment: Deployment, cell: Cell): Promise<void> {
  const fault = faults[cell.fault];
  if (fault === undefined) return;
  const {
    violations,
    complete: whole,
    answers,
    notRun,
    unknown,
  } = await runCell(deployment, fault, cell.step);
  cell.state = violations.length === 0 ? 'held' : 'broken';
  const summary = `${whole} of ${answers} answers complete, ${notRun} not run, ${unknown} unknown`;
  cell.detail = [summary, ...violations].join('; ');
}

const cells = createShuffledCells();
const queue = [...cells];
writeLine(`seed ${values.seed}, ${cells.length} cells`);
await Promise.all(Array.from({ length: Number(values.lanes) }, () => runLane(queue)));
const stepNames = Object.keys(steps);
const rows = Object.keys(faults).map((fault) => [
  fault,
  ...stepNames.map(
    (step) => cells.find((cell) => cell.fault === fault && cell.step === step)?.state ?? '-',
  ),
]);
writeLine(formatTable(['FAULT', ...stepNames], rows));
const broken = cells.filter((cell) => cell.state === 'broken').length;
const notRun = cells.filter((cell) => cell.state === 'not run').length;
writeLine(`faults: ${cells.length - broken - notRun} held, ${broken} broken, ${notRun} not run`);
process.exit(broken + notRun > 0 ? 1 : 0);
