/**
 * Runs the tests with the test runner of Node.js. Failures of tests listed in KNOWN-RED.txt are
 * only printed. Any other failure, or a run in which no test passes, sets a nonzero exit code.
 */

import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';

const KNOWN_RED = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 240_000;
/** Number of test files run at once; files that start a deployment use several processes each. */
const CONCURRENCY = 2;
const BUILD_FOLDER = 'dist/run';
const paths = process.argv.length > 2 ? process.argv.slice(2) : ['test'];

function listTestFiles(path: string): string[] {
  if (path.endsWith('.test.ts')) return [path.replace(/\.ts$/, '.mjs')];
  const files: string[] = [];
  for (const entry of readdirSync(path, { withFileTypes: true })) {
    const entryPath = join(path, entry.name);
    if (entry.isDirectory()) files.push(...listTestFiles(entryPath));
    else if (entry.name.endsWith('.test.mjs')) files.push(entryPath);
  }
  return files.sort();
}

/** Names of the tests that are known to fail: the text before the first ` | ` of each entry. */
function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED)) return new Set();
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  const entries = lines.filter((line) => line.includes(' | ') && !line.startsWith('#'));
  return new Set(entries.map((line) => line.slice(0, line.indexOf(' | ')).trim()));
}

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

const knownRed = readKnownRed();
const failed: string[] = [];
let passed = 0;
const stream = run({
  files: paths.flatMap((path) => listTestFiles(join(BUILD_FOLDER, path))),
  concurrency: CONCURRENCY,
  timeout: TEST_TIMEOUT_MS,
});
stream.on('test:pass', (data) => {
  if (data.details.type !== 'suite') passed += 1;
});
stream.on('test:fail', (data) => {
  if (data.details.type !== 'suite') failed.push(data.name);
});
stream.compose(new Spec()).pipe(process.stdout);
stream.on('end', () => {
  const unexpectedFailures = failed.filter((name) => !knownRed.has(name));
  for (const name of failed) {
    writeLine(knownRed.has(name) ? `known red: ${name}` : `failed: ${name}`);
  }
  writeLine(`${passed} passed, ${failed.length} failed`);
  if (unexpectedFailures.length > 0 || passed === 0) process.exitCode = 1;
});
