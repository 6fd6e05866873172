/**
 * Outcomes of the versions of one pool since the order of its rollout, summed over the gateways. A
 * gateway's counts begin when it starts, so what it had counted at the order is subtracted.
 */

import type { GatewayReport, VersionOutcome } from '../generated/control.js';
import {
  combineCounts,
  countRunning,
  noCounts,
  toVersionCounts,
  type VersionCounts,
} from './versionCounts.js';

/** Time in which reports may still count what came before the order. */
const BASELINE_MS = 500;
const SNAPSHOT_INTERVAL_MS = 500;
/** Time within which all gateways report what failed at one moment. */
const BURST_MS = 300;
/** Recent times whose counts are kept apart, so that good ones before do not hide bad ones. */
const recentMs = [10_000, 3_000];

/** Sums the outcomes of one order. */
export interface RolloutOutcomes {
  /** Takes in the latest reports at a monotonic time. */
  collect(reports: readonly GatewayReport[], now: number): void;
  /** Counts since the order, then those of ever shorter recent times. */
  listWindows(now: number): VersionCounts[][];
  /** Requests of the gateways last collected that run at other versions than this one. */
  countOthersRunning(version: string): number;
  /** Most failures of a version at about the same moment. */
  getFailureBurst(version: string): number;
}

/** Counts of one incarnation of a gateway. Those that it no longer reports stay. */
interface Source {
  /** Until then, counts belong to the baseline; no baseline if the gateway began after the order. */
  baselineUntil: number;
  rows: Map<string, { baseline: VersionCounts; latest: VersionCounts }>;
}

interface Snapshot {
  at: number;
  rows: Map<string, VersionCounts>;
}

/** Begins at an order that is made `now`, known gateways being those that sent `reports`. */
export function createRolloutOutcomes(
  pool: string,
  reports: readonly GatewayReport[],
  now: number,
): RolloutOutcomes {
  const sources = new Map<string, Source>();
  const snapshots: Snapshot[] = [{ at: now, rows: new Map() }];
  let current: Source[] = [];
  let moments: { at: number; failed: Map<string, number> }[] = [];
  const bursts = new Map<string, number>();
  for (const report of reports) addSource(report, now + BASELINE_MS);

  return {
    collect,
    listWindows,
    countOthersRunning,
    getFailureBurst: (version) => bursts.get(version) ?? 0,
  };

  function addSource({ gatewayId, incarnation }: GatewayReport, baselineUntil: number): Source {
    const source: Source = { baselineUntil, rows: new Map() };
    sources.set(toKey(gatewayId, incarnation), source);
    return source;
  }

  function collect(latest: readonly GatewayReport[], at: number): void {
    current = [];
    for (const report of latest) {
      const key = toKey(report.gatewayId, report.incarnation);
      const source = sources.get(key) ?? addSource(report, Number.NEGATIVE_INFINITY);
      current.push(source);
      for (const outcome of report.versionOutcomes) {
        if (outcome.pool === pool) record(source, outcome, at);
      }
    }
    const rows = sum();
    recordBurst(rows, at);
    const last = snapshots.at(-1);
    if (last !== undefined && at - last.at < SNAPSHOT_INTERVAL_MS) return;
    snapshots.push({ at, rows });
    const [longest = 0] = recentMs;
    // The last one before the longest time is its beginning.
    while (snapshots.length > 1 && at - snapshots[1]!.at >= longest) snapshots.shift();
  }

  function record(source: Source, outcome: VersionOutcome, at: number): void {
    const key = toKey(outcome.softwareVersion, outcome.route);
    const latest = toVersionCounts(outcome);
    const row = source.rows.get(key);
    const isBaseline = at < source.baselineUntil;
    if (row === undefined) {
      source.rows.set(key, { baseline: isBaseline ? latest : { ...latest, ...noCounts }, latest });
      return;
    }
    row.latest = latest;
    if (isBaseline) row.baseline = latest;
  }

  function recordBurst(rows: Map<string, VersionCounts>, at: number): void {
    const failed = new Map<string, number>();
    for (const row of rows.values()) {
      failed.set(row.version, (failed.get(row.version) ?? 0) + row.failed);
    }
    moments = [...moments.filter((moment) => at - moment.at <= BURST_MS), { at, failed }];
    for (const [version, count] of failed) {
      const burst = count - (moments[0]?.failed.get(version) ?? 0);
      bursts.set(version, Math.max(burst, bursts.get(version) ?? 0));
    }
  }

  function sum(): Map<string, VersionCounts> {
    const sums = new Map<string, VersionCounts>();
    for (const { rows } of sources.values()) {
      for (const [key, { baseline, latest }] of rows) {
        const known = sums.get(key) ?? noCounts;
        const sinceOrder = combineCounts(latest, baseline, -1);
        sums.set(key, { ...latest, ...combineCounts(known, sinceOrder) });
      }
    }
    return sums;
  }

  /** What ran at the order began before it, so the whole counts are compared. */
  function countOthersRunning(version: string): number {
    const latest = current.flatMap(({ rows }) => [...rows.values()].map((row) => row.latest));
    return latest
      .filter((counts) => counts.version !== version)
      .reduce((total, counts) => total + countRunning(counts), 0);
  }

  function listWindows(at: number): VersionCounts[][] {
    const sums = sum();
    const windows = recentMs.map((milliseconds) => {
      const start = snapshots.findLast((snapshot) => at - snapshot.at >= milliseconds);
      return [...sums].map(([key, counts]) => {
        const before = start?.rows.get(key);
        return before === undefined ? counts : { ...counts, ...combineCounts(counts, before, -1) };
      });
    });
    return [[...sums.values()], ...windows];
  }
}

function toKey(...parts: string[]): string {
  return JSON.stringify(parts);
}
