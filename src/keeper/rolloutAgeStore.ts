/**
 * Ages of rollouts in the data folder of a keeper. After a restart of all keepers they tell how long
 * an order has been in progress, the time away included: monotonic clocks begin anew, and the wall
 * clocks of several machines differ, so each keeper goes by its own wall clock.
 */

import { existsSync, readFileSync } from 'node:fs';
import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import { encodeRecord, readRecord, replaceFile } from '../common/recordFile.js';
import { RolloutAgeFile } from '../generated/control.js';
import type { Rollout } from '../generated/keeper.js';

/** Dependencies of the store. */
export interface RolloutAgeStoreHost {
  clock: Clock;
  logger: Logger;
  /** Path of the file. */
  path: string;
}

/** A running store. */
export interface RolloutAgeStore {
  /** Time since an order as known from the file, in milliseconds; 0 if it is not. */
  getAgeMs(pool: string, order: number): number;
  /** Saves the ages of the moment of the rollouts that are in progress. */
  save(rollouts: readonly Rollout[]): Promise<void>;
}

/** Reads the file, if there is one. */
export function startRolloutAgeStore(host: RolloutAgeStoreHost): RolloutAgeStore {
  const { clock, logger, path } = host;
  const startedAt = clock.now();
  const saved = load();
  let isSaving = false;
  let isEmpty = saved.length === 0;

  return { getAgeMs, save };

  function load(): Rollout[] {
    if (!existsSync(path)) return [];
    try {
      const found = readRecord(readFileSync(path), 0);
      if (found.kind !== 'record') return reportLoss(found.kind);
      const { savedAtMs, rollouts } = RolloutAgeFile.decode(found.payload);
      const awayMs = Math.max(0, clock.wallTime() - savedAtMs);
      return rollouts.map((rollout) => ({ ...rollout, ageMs: rollout.ageMs + awayMs }));
    } catch (caught) {
      return reportLoss(describeFailure(toFailure(caught)));
    }
  }

  function reportLoss(reason: string): [] {
    logger.event('rolloutAgesLost', { reason });
    return [];
  }

  function getAgeMs(pool: string, order: number): number {
    const known = saved.find((rollout) => rollout.pool === pool && rollout.order === order);
    return known === undefined ? 0 : Math.round(known.ageMs + clock.now() - startedAt);
  }

  /** One that fails is made up for by the next, a second later; the log holds the order itself. */
  async function save(all: readonly Rollout[]): Promise<void> {
    const rollouts = all.filter(({ state }) => state === 'inProgress');
    if (isSaving || (isEmpty && rollouts.length === 0)) return;
    isSaving = true;
    isEmpty = rollouts.length === 0;
    const file = { savedAtMs: Math.round(clock.wallTime()), rollouts };
    try {
      await replaceFile(path, encodeRecord(Buffer.from(RolloutAgeFile.encode(file).finish())));
    } catch (caught) {
      reportLoss(describeFailure(toFailure(caught)));
    } finally {
      isSaving = false;
    }
  }
}
