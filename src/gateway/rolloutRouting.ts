/**
 * Decides which software versions of a pool new requests may go to while traffic moves from one
 * version to another (a rollout), and after it. The keepers set the share of the new version; each
 * gateway applies it to the requests that it gets itself, so the gateways need not agree on single
 * requests.
 *
 * The share is kept in two ways. Each request is drawn for one version when it is submitted. And
 * each placement at the new version is taken from a budget that grows by the share with each
 * request, so that retries and requests that find the old version full cannot exceed the share.
 */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { Announcement } from '../generated/control.js';
import type { Rollout } from '../generated/keeper.js';

/**
 * Time without an update from a current keeper after which nothing more goes to the new version. It
 * is half of the 5,000 ms within which a bad version must have got its last request; the other half
 * is for the keepers to judge and to commit the revert.
 */
const REFRESH_TIMEOUT_MS = 2_500;
/**
 * Requests that all gateways together may send to the new version beyond its share. Deployments
 * allow 50 beyond `maxShare`; the rest is for continued streams and for gateways that restart.
 */
const TOTAL_EXCESS = 10;
/** Unused budget that a gateway keeps, so that a version that was full or absent gets no burst. */
const MAX_BUDGET = 2;
/** More than the rounding errors of sums of shares. */
const ROUNDING_ERROR = 1e-9;
/** Time after the end of a rollout during which outcomes are still of use to the keepers. */
const ENDED_RETENTION_MS = 60_000;

/**
 * The version that a request was drawn for. `either` stands for a request that has found no free
 * slot at the endpoints of that version.
 */
export type VersionDraw = 'new' | 'old' | 'either';

/** Dependencies of the routing. */
export interface RolloutRoutingHost {
  clock: Clock;
  logger: Logger;
  random(): number;
  /** Number of all gateways that are known, including this one. */
  countGateways(): number;
  /** Whether an endpoint of this software version takes requests. */
  hasReady(pool: string, softwareVersion: string): boolean;
}

/** The rollouts of all pools, as one gateway knows them. */
export interface RolloutRouting {
  /** Takes the records in an update from a keeper; `isCurrent` if it lacks nothing committed. */
  receive(rollouts: readonly Rollout[], isCurrent: boolean): void;
  /** Takes notice of the software versions that run in each pool. */
  recordAnnouncement(announcement: Announcement): void;
  /**
   * Draws a version for a request that has not begun anywhere; undefined unless a rollout is in
   * progress. `previous` is the draw of a request that is submitted again, which counts once.
   */
  draw(pool: string, previous: VersionDraw | undefined): VersionDraw | undefined;
  /** Whether a request with this draw may go to a software version. */
  mayUse(pool: string, softwareVersion: string, draw: VersionDraw | undefined): boolean;
  /** Records a placement of any request, also of one that continues a stream. */
  recordPlacement(pool: string, softwareVersion: string): void;
  /** Whether a rollout of the pool is in progress or has ended lately. */
  isTracked(pool: string): boolean;
}

type RolloutState = 'inProgress' | 'completed' | 'reverted';

const states: readonly RolloutState[] = ['inProgress', 'completed', 'reverted'];

interface PoolRollout {
  record: Rollout;
  state: RolloutState;
  /** From 0 to 1. */
  share: number;
  /** Wall-clock time of the order, in milliseconds. */
  orderedAt: number;
  /** Monotonic time at which the end became known here; undefined before. */
  endedAt: number | undefined;
  /** Versions other than the new one that were known here before the order. */
  oldVersions: ReadonlySet<string>;
  /** Sum of the shares of the requests drawn. */
  drawnShare: number;
  /** Value of `drawnShare` at which the next request is drawn for the new version. */
  nextAt: number;
  drawnCount: number;
  budget: number;
}

export function createRolloutRouting(host: RolloutRoutingHost): RolloutRouting {
  const { clock, logger } = host;
  const rollouts = new Map<string, PoolRollout>();
  /** Earliest start of an endpoint, on its own wall clock, by pool and software version. */
  const bornAt = new Map<string, Map<string, number>>();
  let refreshedAt = Number.NEGATIVE_INFINITY;

  return { receive, recordAnnouncement, draw, mayUse, recordPlacement, isTracked };

  function receive(records: readonly Rollout[], isCurrent: boolean): void {
    // A keeper that is cut off from the leader would not know of a revert.
    if (isCurrent) refreshedAt = clock.now();
    for (const record of records) {
      const state = states.find((known) => known === record.state);
      const current = rollouts.get(record.pool);
      if (state !== undefined && isLater(record, current?.record)) apply(record, state, current);
    }
  }

  function apply(record: Rollout, state: RolloutState, current: PoolRollout | undefined): void {
    const isSameOrder = current?.record.order === record.order;
    const rollout = isSameOrder ? current : createRollout(record, state);
    rollout.record = record;
    rollout.state = state;
    rollout.share = clampShare(record.share);
    if (state !== 'inProgress') rollout.endedAt ??= clock.now();
    rollouts.set(record.pool, rollout);
    logger.event('rolloutInForce', {
      pool: record.pool,
      softwareVersion: record.toVersion,
      order: record.order,
      state,
      share: rollout.share,
    });
  }

  function createRollout(record: Rollout, state: RolloutState): PoolRollout {
    const orderedAt = clock.wallTime() - record.ageMs;
    const known = bornAt.get(record.pool) ?? new Map<string, number>();
    // Versions seen before the order are old whatever the clocks of their endpoints say.
    const oldVersions = new Set(known.keys());
    oldVersions.delete(record.toVersion);
    const rollout = { record, state, share: 0, orderedAt, endedAt: undefined, oldVersions };
    return { ...rollout, drawnShare: 0, nextAt: drawPosition(), drawnCount: 0, budget: 0 };
  }

  function recordAnnouncement({ pool, softwareVersion, bornAtMs }: Announcement): void {
    const versions = bornAt.get(pool) ?? new Map<string, number>();
    bornAt.set(pool, versions);
    versions.set(softwareVersion, Math.min(bornAtMs, versions.get(softwareVersion) ?? bornAtMs));
  }

  function draw(pool: string, previous: VersionDraw | undefined): VersionDraw | undefined {
    const rollout = rollouts.get(pool);
    if (rollout?.state !== 'inProgress') return undefined;
    const { share } = rollout;
    if (share >= 1) return 'new';
    if (share === 0) return 'old';
    // A retry is no further request, so it adds nothing to the new version's share.
    if (previous !== undefined || !isFresh()) return 'old';
    rollout.budget = Math.min(rollout.budget + share, MAX_BUDGET);
    rollout.drawnShare += share;
    if (rollout.drawnShare < rollout.nextAt) return 'old';
    rollout.drawnCount += 1;
    rollout.nextAt = rollout.drawnCount + drawPosition();
    return 'new';
  }

  /**
   * Position of a draw for the new version within one unit of the summed shares. One draw at random
   * in each unit keeps to the share more closely than independent draws, and does not always meet
   * the same route if the routes alternate. It is not so early that the budget lacks it.
   */
  function drawPosition(): number {
    const excess = getExcess();
    return 1 - excess + excess * host.random();
  }

  /** This gateway's part of the excess. Less than a whole request is used up by the first one. */
  function getExcess(): number {
    return Math.min(1, TOTAL_EXCESS / Math.max(1, host.countGateways()));
  }

  function mayUse(pool: string, softwareVersion: string, drawn: VersionDraw | undefined): boolean {
    const rollout = rollouts.get(pool);
    if (rollout === undefined) return true;
    const { record, state } = rollout;
    if (record.excludedVersions.includes(softwareVersion)) return false;
    const isNew = softwareVersion === record.toVersion;
    // A version that was in service at its order is no risk and may be the only one left.
    if (isNew && record.oldVersions.includes(softwareVersion)) return true;
    if (state === 'reverted') return !isNew;
    const isOld = !isNew && isOldVersion(rollout, softwareVersion);
    if (state === 'completed') return !isOld;
    if (!isFresh()) return !isNew;
    if (rollout.share >= 1) return !isOld || !host.hasReady(pool, record.toVersion);
    if (isNew) return (drawn === 'new' || drawn === 'either') && hasBudget(rollout);
    return drawn !== 'new' || !isOld;
  }

  function hasBudget({ budget, share }: PoolRollout): boolean {
    return share > 0 && budget >= 1 - getExcess() - ROUNDING_ERROR;
  }

  /**
   * Whether endpoints of a version other than the new one were there before the order. After a
   * restart of this gateway only their start times tell.
   */
  function isOldVersion({ record, orderedAt, oldVersions }: PoolRollout, version: string): boolean {
    if (oldVersions.has(version) || record.oldVersions.includes(version)) return true;
    const startedAt = bornAt.get(record.pool)?.get(version);
    return startedAt !== undefined && startedAt < orderedAt;
  }

  function isFresh(): boolean {
    return clock.now() - refreshedAt <= REFRESH_TIMEOUT_MS;
  }

  function recordPlacement(pool: string, softwareVersion: string): void {
    const rollout = rollouts.get(pool);
    if (rollout?.record.toVersion === softwareVersion) rollout.budget -= 1;
  }

  function isTracked(pool: string): boolean {
    const rollout = rollouts.get(pool);
    if (rollout === undefined) return false;
    return rollout.endedAt === undefined || clock.now() - rollout.endedAt <= ENDED_RETENTION_MS;
  }
}

/** Whether a record takes the place of another one of the same pool. */
function isLater(record: Rollout, current: Rollout | undefined): boolean {
  if (current === undefined) return true;
  if (record.order !== current.order) return record.order > current.order;
  const hasEnded = record.state !== 'inProgress';
  if (hasEnded !== (current.state !== 'inProgress')) return hasEnded;
  return record.changedAt > current.changedAt;
}

function clampShare(share: number): number {
  return share > 0 ? Math.min(share, 1) : 0;
}
