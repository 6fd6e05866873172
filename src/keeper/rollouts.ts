/**
 * The latest rollout of each pool, as part of the replicated state. Each record carries what later
 * rollouts of the pool must respect of the earlier ones.
 */

import type { Rollout, RolloutBegin, RolloutEnd, RolloutStep } from '../generated/keeper.js';
import type { RolloutOutcome } from './types.js';

/** Versions excluded beyond this number are those of rollouts long ago, whose endpoints are gone. */
const MAX_EXCLUDED_VERSIONS = 256;

/** A rollout, as stored in a snapshot. */
export interface RolloutRecord extends Rollout {
  /** Age of the order at the latest change of the share, in milliseconds. */
  sharedAtMs: number;
}

/** The latest rollout of each pool. Steps and ends of other orders than the latest are ignored. */
export interface Rollouts {
  /** Log index of the latest change of any rollout; 0 if there is none. */
  readonly changedAt: number;
  begin(command: RolloutBegin, index: number): RolloutOutcome;
  step(command: RolloutStep, index: number): void;
  end(command: RolloutEnd, index: number): void;
  list(): RolloutRecord[];
  tryGet(pool: string): RolloutRecord | undefined;
  /** `saved` is undefined in snapshots that were written before rollouts were introduced. */
  load(saved: readonly RolloutRecord[] | undefined): void;
}

/** Creates an empty collection. */
export function createRollouts(): Rollouts {
  const byPool = new Map<string, RolloutRecord>();

  return {
    get changedAt() {
      return Math.max(0, ...[...byPool.values()].map(({ changedAt }) => changedAt));
    },
    begin,
    step,
    end,
    list: () => [...byPool.values()],
    tryGet: (pool) => byPool.get(pool),
    load,
  };

  function begin(command: RolloutBegin, index: number): RolloutOutcome {
    const { pool, toVersion, durationMs } = command;
    const latest = byPool.get(pool);
    if (latest?.toVersion === toVersion && latest.durationMs === durationMs) return 'repeated';
    if (latest?.state === 'inProgress') return 'inProgress';
    byPool.set(pool, {
      pool,
      toVersion,
      durationMs,
      order: index,
      state: 'inProgress',
      share: 0,
      ageMs: 0,
      sharedAtMs: 0,
      changedAt: index,
      oldVersions: listOldVersions(command, latest),
      excludedVersions: (latest?.excludedVersions ?? []).filter((each) => each !== toVersion),
    });
    return 'accepted';
  }

  function step({ pool, order, share, ageMs }: RolloutStep, index: number): void {
    const rollout = tryGetInProgress(pool, order);
    if (rollout === undefined || !(share >= 0 && share <= 1)) return;
    // A leader that knows of the order since later must not make it younger.
    const age = Math.max(ageMs, rollout.ageMs);
    const sharedAtMs = share === rollout.share ? rollout.sharedAtMs : age;
    byPool.set(pool, { ...rollout, share, ageMs: age, sharedAtMs, changedAt: index });
  }

  function end({ pool, order, state }: RolloutEnd, index: number): void {
    const rollout = tryGetInProgress(pool, order);
    if (rollout === undefined || (state !== 'completed' && state !== 'reverted')) return;
    const share = state === 'completed' ? 1 : 0;
    const excludedVersions = listExcludedVersions(rollout, state);
    byPool.set(pool, { ...rollout, state, share, excludedVersions, changedAt: index });
  }

  function tryGetInProgress(pool: string, order: number): RolloutRecord | undefined {
    const rollout = byPool.get(pool);
    return rollout?.order === order && rollout.state === 'inProgress' ? rollout : undefined;
  }

  function load(saved: readonly RolloutRecord[] | undefined): void {
    byPool.clear();
    for (const rollout of saved ?? []) byPool.set(rollout.pool, withVersions(rollout));
  }
}

/** Snapshots that were written before the lists of versions were introduced lack them. */
function withVersions(saved: RolloutRecord): RolloutRecord {
  const { oldVersions, excludedVersions }: Partial<RolloutRecord> = saved;
  return { ...saved, oldVersions: oldVersions ?? [], excludedVersions: excludedVersions ?? [] };
}

/**
 * Lists the versions that serve the pool at an order. Endpoints of the ordered version may start just
 * before the order is accepted, so it counts only if the rollout before left it in service.
 */
function listOldVersions(
  { toVersion, knownVersions }: RolloutBegin,
  latest: RolloutRecord | undefined,
): string[] {
  const excluded = latest?.excludedVersions ?? [];
  const serving = latest === undefined ? [] : listServingVersions(latest);
  const known = knownVersions.filter((version) => version !== toVersion);
  return [...new Set([...serving, ...known])].filter((version) => !excluded.includes(version));
}

/** Lists the versions that an ended rollout has left in service. */
function listServingVersions({ state, toVersion, oldVersions }: RolloutRecord): string[] {
  return state === 'completed' ? [toVersion] : oldVersions;
}

function listExcludedVersions(
  { toVersion, oldVersions, excludedVersions }: RolloutRecord,
  state: 'completed' | 'reverted',
): string[] {
  const replaced = oldVersions.filter((version) => version !== toVersion);
  // A version that served the pool before the order goes on doing so when the order is reverted.
  const reverted = oldVersions.includes(toVersion) ? [] : [toVersion];
  const added = state === 'completed' ? replaced : reverted;
  return [...new Set([...excludedVersions, ...added])].slice(-MAX_EXCLUDED_VERSIONS);
}
