/** Helpers for benchmarks: process statistics, histograms and output. */

import { readFileSync } from 'node:fs';
import { build, type Histogram } from 'hdr-histogram-js';

/** Clock ticks per second in /proc/PID/stat (USER_HZ), as Linux reports them to programs. */
const TICKS_PER_SECOND = 100;
const KIB = 1_024;

/** CPU time that a process has used so far, in microseconds. */
export function readCpuUs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name in parentheses may contain spaces, so fields are counted from its end.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const userTicks = Number(fields[11]);
  const systemTicks = Number(fields[12]);
  return ((userTicks + systemTicks) * 1_000_000) / TICKS_PER_SECOND;
}

/** Resident memory of a process, in MiB. */
export function readResidentMiB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kib = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return kib / KIB;
}

/** Prints one line with a result, followed by the value to compare it with, if any. */
export function printResult(name: string, value: number, unit: string, comparison?: string): void {
  const text = Number.isInteger(value) ? String(value) : value.toFixed(value < 10 ? 2 : 1);
  const suffix = comparison === undefined ? '' : ` (${comparison})`;
  process.stdout.write(`${name} ${text} ${unit}${suffix}\n`);
}

/** Histogram of durations with a resolution of one microsecond. */
export interface DurationHistogram {
  /** Adds a duration in milliseconds. */
  add(milliseconds: number): void;
  /** Returns the duration at a percentile, in milliseconds. */
  getPercentile(percentile: number): number;
  readonly count: number;
}

/** Creates an empty histogram. */
export function createDurationHistogram(): DurationHistogram {
  const histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });
  return {
    add: (milliseconds) => histogram.recordValue(Math.max(0, Math.round(milliseconds * 1_000))),
    getPercentile: (percentile) => histogram.getValueAtPercentile(percentile) / 1_000,
    get count() {
      return histogram.totalCount;
    },
  };
}

/** Returns the least-squares slope of `values` over `sizes`. */
export function computeSlope(sizes: readonly number[], values: readonly number[]): number {
  const meanSize = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
  const meanValue = values.reduce((sum, value) => sum + value, 0) / values.length;
  let numerator = 0;
  let denominator = 0;
  for (const [index, size] of sizes.entries()) {
    numerator += (size - meanSize) * ((values[index] ?? 0) - meanValue);
    denominator += (size - meanSize) ** 2;
  }
  return numerator / denominator;
}
