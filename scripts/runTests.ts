/**
 * Runs the tests with Node's test runner. A failure that KNOWN-RED.txt lists is printed and passed
 * over; any other failure, and a listed test that no longer fails, is an error.
 */

import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';

const KNOWN_RED = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 240_000;
/** Test files at a time; those with whole deployments use several processes each. */
const CONCURRENCY = 2;
const BUILT = 'dist/run';
const paths = process.argv.length > 2 ? process.argv.slice(2) : ['test'];

function listTestFiles(path: string): string[] {
  if (path.endsWith('.test.ts')) return [path.replace(/\.ts$/, '.mjs')];
  const files: string[] = [];
  for (const entry of readdirSync(path, { withFileTypes: true })) {
    const inner = join(path, entry.name);
    if (entry.isDirectory()) files.push(...listTestFiles(inner));
    else if (entry.name.endsWith('.test.mjs')) files.push(inner);
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
  files: paths.flatMap((path) => listTestFiles(join(BUILT, path))),
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
  const surprising = failed.filter((name) => !knownRed.has(name));
  for (const name of failed) {
    writeLine(knownRed.has(name) ? `known red: ${name}` : `failed: ${name}`);
  }
  writeLine(`${passed} passed, ${failed.length} failed`);
  if (surprising.length > 0 || passed === 0) process.exitCode = 1;
});
