/** Reads TOML and validates it against a schema. Problems are reported with their line and key. */

import { readFileSync } from 'node:fs';
import { parse, TomlError } from 'smol-toml';
import type { SchemaProblem, Validator } from '../generated/validators.js';
import { raise, type FileProblem } from './failure.js';

/** Parses and validates `text`. Returns the value or the problems found. */
export function checkToml<T>(
  text: string,
  isValid: Validator,
): { kind: 'valid'; value: T } | { kind: 'invalid'; problems: FileProblem[] } {
  let value: unknown;
  try {
    value = parse(text);
  } catch (caught) {
    return { kind: 'invalid', problems: [toSyntaxProblem(caught)] };
  }
  if (isValid(value)) return { kind: 'valid', value: value as T };
  const problems = (isValid.errors ?? []).map((problem) => toFileProblem(text, problem));
  return { kind: 'invalid', problems };
}

/** Reads, parses and validates a file. Raises `unreadableFile` or `invalidToml`. */
export function readTomlFile<T>(path: string, isValid: Validator): T {
  const checked = checkToml<T>(readText(path), isValid);
  if (checked.kind === 'invalid') {
    return raise({ kind: 'invalidToml', path, problems: checked.problems });
  }
  return checked.value;
}

/** Reads a text file. Raises `unreadableFile`. */
export function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (caught) {
    return raise({ kind: 'unreadableFile', path, reason: (caught as Error).message });
  }
}

function toSyntaxProblem(caught: unknown): FileProblem {
  if (!(caught instanceof TomlError)) throw caught;
  const message = caught.message.split('\n')[0] ?? 'syntax error';
  return { line: caught.line, key: '', message };
}

function toFileProblem(text: string, problem: SchemaProblem): FileProblem {
  const path = problem.instancePath.split('/').slice(1);
  const { additionalProperty: unknownKey } = problem.params;
  if (problem.keyword === 'additionalProperties' && typeof unknownKey === 'string') {
    const key = [...path, unknownKey];
    return { line: findLine(text, key), key: key.join('.'), message: 'unknown key' };
  }
  const message = problem.message ?? 'invalid';
  return { line: findLine(text, path), key: path.join('.'), message };
}

/** Returns the 1-based line of the key at `path`, or of the innermost table that encloses it. */
export function findLine(text: string, path: readonly string[]): number | undefined {
  const arrayTableCounts = new Map<string, number>();
  let table: string[] = [];
  let bestLine: number | undefined;
  let bestLength = 0;
  let line = 0;
  for (const lineText of text.split('\n')) {
    line += 1;
    const keyPath = parseKeyPath(lineText, arrayTableCounts, table);
    if (keyPath === undefined) continue;
    if (keyPath.isTable) table = keyPath.path;
    const { length } = keyPath.path;
    if (length <= path.length && length > bestLength && isPrefix(keyPath.path, path)) {
      bestLine = line;
      bestLength = length;
    }
  }
  return bestLine;
}

function parseKeyPath(
  lineText: string,
  arrayTableCounts: Map<string, number>,
  table: readonly string[],
): { path: string[]; isTable: boolean } | undefined {
  const arrayHeader = /^\s*\[\[\s*([\w.-]+)\s*\]\]/.exec(lineText);
  if (arrayHeader) {
    const name = arrayHeader[1] ?? '';
    const index = arrayTableCounts.get(name) ?? 0;
    arrayTableCounts.set(name, index + 1);
    return { path: [...name.split('.'), String(index)], isTable: true };
  }
  const header = /^\s*\[\s*([\w.-]+)\s*\]/.exec(lineText);
  if (header) return { path: (header[1] ?? '').split('.'), isTable: true };
  const key = /^\s*([\w.-]+)\s*=/.exec(lineText);
  if (key) return { path: [...table, ...(key[1] ?? '').split('.')], isTable: false };
  return undefined;
}

function isPrefix(shorter: readonly string[], longer: readonly string[]): boolean {
  return shorter.every((part, index) => longer[index] === part);
}
