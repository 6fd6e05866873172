/**
 * Follows the rollouts in progress. Every keeper collects the outcomes that gateways report, so that
 * one that takes the lead can judge at once; the leader judges and proposes steps and ends.
 */

import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import type { Announcement, GatewayReport } from '../generated/control.js';
import type { Command, Rollout } from '../generated/keeper.js';
import type { RolloutSettings } from '../generated/schemas.js';
import type { RunningReplica } from './replica.js';
import { compare } from './rolloutEvidence.js';
import { judgeRollout, type RolloutDecision, type RolloutView } from './rolloutJudge.js';
import { createRolloutOutcomes, type RolloutOutcomes } from './rolloutOutcomes.js';
import type { RolloutRecord } from './rollouts.js';
import type { Counts } from './versionCounts.js';

const JUDGE_INTERVAL_MS = 100;
/**
 * The age of an order is committed this often, since a power loss of all keepers loses what has
 * passed since.
 */
const AGE_INTERVAL_MS = 1_000;
/** Time after which a change whose commit is not known is decided anew; it may be applied twice. */
const PROPOSAL_WAIT_MS = 1_000;

/** What the controller needs of the keeper. */
export interface RolloutControllerHost {
  clock: Pick<Clock, 'now'>;
  logger: Logger;
  metrics: Pick<MetricsRecorder, 'count'>;
  /** Undefined if rollouts are not allowed; those in progress are not judged then. */
  settings: RolloutSettings | undefined;
  tryGetReplica(): Pick<RunningReplica, 'isServing' | 'propose' | 'state'> | undefined;
  /** Latest reports of the gateways. */
  listReports(): GatewayReport[];
  listAnnouncements(): Announcement[];
  /** Time since an order as known from before this process, in milliseconds; 0 if it is not. */
  getSavedAgeMs(pool: string, order: number): number;
  /** Called when a rollout has changed. */
  onChange(): void;
}

/** Follows rollouts. */
export interface RolloutController {
  /** Whether a rollout is in progress. */
  readonly isActive: boolean;
  /** The latest rollout of each pool, with the ages of the moment. */
  list(): Rollout[];
  /** Takes in what was applied to the replicated state. */
  onApplied(): void;
  /** Collects outcomes and, on the leader, decides; called at intervals while a rollout runs. */
  update(): void;
  close(): void;
}

/** An order in progress as this keeper knows it. */
interface Followed {
  order: number;
  /** Monotonic time of the order: the earliest that follows from the ages known here. */
  beganAt: number;
  outcomes: RolloutOutcomes;
  /** Monotonic time of the proposal that is under way; undefined if there is none. */
  proposedAt: number | undefined;
}

/** Creates the controller; its timer runs only while a rollout is in progress. */
export function createRolloutController(host: RolloutControllerHost): RolloutController {
  const { clock, logger, settings } = host;
  const followed = new Map<string, Followed>();
  let seenChange = 0;
  let timer: NodeJS.Timeout | undefined;

  return {
    get isActive() {
      return followed.size > 0;
    },
    list,
    onApplied,
    update,
    close: stopTimer,
  };

  function listRecords(): RolloutRecord[] {
    return host.tryGetReplica()?.state.rollouts.list() ?? [];
  }

  function list(): Rollout[] {
    return listRecords().map((rollout) => ({ ...rollout, ageMs: getAgeMs(rollout) }));
  }

  function getAgeMs({ pool, order, ageMs }: Rollout): number {
    const known = followed.get(pool);
    return known?.order === order ? Math.round(clock.now() - known.beganAt) : ageMs;
  }

  function onApplied(): void {
    const changedAt = host.tryGetReplica()?.state.rollouts.changedAt ?? 0;
    if (changedAt === seenChange) return;
    seenChange = changedAt;
    for (const rollout of listRecords()) follow(rollout);
    if (followed.size > 0) timer ??= setInterval(update, JUDGE_INTERVAL_MS);
    else stopTimer();
    host.onChange();
  }

  function follow({ pool, order, state, ageMs: committedMs }: RolloutRecord): void {
    const now = clock.now();
    const known = followed.get(pool);
    const ageMs = Math.max(committedMs, host.getSavedAgeMs(pool, order));
    if (state !== 'inProgress') {
      followed.delete(pool);
    } else if (known?.order === order) {
      known.beganAt = Math.min(known.beganAt, now - ageMs);
    } else {
      // An order of some age is known from the disk or a snapshot: all counts are since it then.
      const reports = ageMs === 0 ? host.listReports() : [];
      const outcomes = createRolloutOutcomes(pool, reports, now);
      followed.set(pool, { order, beganAt: now - ageMs, outcomes, proposedAt: undefined });
    }
  }

  function stopTimer(): void {
    clearInterval(timer);
    timer = undefined;
  }

  function update(): void {
    const reports = host.listReports();
    for (const { outcomes } of followed.values()) outcomes.collect(reports, clock.now());
    if (settings === undefined || host.tryGetReplica()?.isServing !== true) return;
    for (const rollout of listRecords()) {
      const known = followed.get(rollout.pool);
      if (known === undefined || isProposing(known)) continue;
      const view = createView(rollout, known);
      const decision = judgeRollout(view, settings);
      if (decision.kind !== 'hold') void carryOut(rollout, known, view, decision);
      else if (view.ageMs - rollout.ageMs >= AGE_INTERVAL_MS) void saveAge(rollout, known);
    }
  }

  function isProposing({ proposedAt }: Followed): boolean {
    return proposedAt !== undefined && clock.now() - proposedAt < PROPOSAL_WAIT_MS;
  }

  function createView(rollout: RolloutRecord, { outcomes }: Followed): RolloutView {
    const { toVersion, durationMs, share, sharedAtMs, excludedVersions } = rollout;
    const ageMs = getAgeMs(rollout);
    return {
      toVersion,
      durationMs,
      ageMs,
      share,
      sharedForMs: ageMs - sharedAtMs,
      windows: outcomes
        .listWindows(clock.now())
        .map((window) => window.filter(({ version }) => !excludedVersions.includes(version))),
      othersRunning: outcomes.countOthersRunning(toVersion),
      failureBurst: outcomes.getFailureBurst(toVersion),
      ready: countReady(rollout.pool, host.listAnnouncements()),
    };
  }

  async function carryOut(
    rollout: RolloutRecord,
    known: Followed,
    view: RolloutView,
    decision: Exclude<RolloutDecision, { kind: 'hold' }>,
  ): Promise<void> {
    const { pool, order, toVersion } = rollout;
    const isCommitted = await tryPropose(known, rollout, decision.kind, {
      change: toChange(rollout, view.ageMs, decision),
    });
    if (!isCommitted) return;
    host.metrics.count('rolloutDecisions', 1, { decision: decision.kind });
    const fields = {
      pool,
      version: toVersion,
      order,
      ageMs: view.ageMs,
      reason: decision.reason,
      figures: describeFigures(view),
    };
    if (decision.kind === 'step') {
      logger.event('rolloutStepped', { ...fields, share: decision.share });
    } else {
      logger.event('rolloutEnded', { ...fields, state: toEndState(decision.kind) });
    }
  }

  /** A step to the same share, which only states the age. */
  async function saveAge(rollout: RolloutRecord, known: Followed): Promise<void> {
    const decision = { kind: 'step' as const, share: rollout.share, reason: '' };
    const change = toChange(rollout, getAgeMs(rollout), decision);
    await tryPropose(known, rollout, 'age', { change });
  }

  /** Returns whether the change is known to be committed; it is decided anew otherwise. */
  async function tryPropose(
    known: Followed,
    { pool, order }: RolloutRecord,
    decision: string,
    command: Command,
  ): Promise<boolean> {
    const proposedAt = clock.now();
    known.proposedAt = proposedAt;
    try {
      await host.tryGetReplica()?.propose(command);
      return true;
    } catch (caught) {
      const reason = describeFailure(toFailure(caught));
      logger.event('rolloutUndecided', { pool, order, decision, reason });
      return false;
    } finally {
      if (known.proposedAt === proposedAt) known.proposedAt = undefined;
    }
  }
}

function toChange(
  { pool, order }: RolloutRecord,
  ageMs: number,
  decision: Exclude<RolloutDecision, { kind: 'hold' }>,
): Command['change'] {
  if (decision.kind === 'step') {
    return { $case: 'rolloutStep', value: { pool, order, share: decision.share, ageMs } };
  }
  return { $case: 'rolloutEnd', value: { pool, order, state: toEndState(decision.kind) } };
}

function toEndState(kind: 'complete' | 'revert'): string {
  return kind === 'complete' ? 'completed' : 'reverted';
}

function countReady(pool: string, announcements: Announcement[]): Map<string, number> {
  const ready = new Map<string, number>();
  for (const announcement of announcements) {
    if (announcement.pool !== pool || announcement.state !== 'ready') continue;
    const { softwareVersion } = announcement;
    ready.set(softwareVersion, (ready.get(softwareVersion) ?? 0) + 1);
  }
  return ready;
}

function describeFigures({ windows, toVersion, ready }: RolloutView): string {
  const all = compare(windows[0] ?? [], toVersion)[0];
  if (all === undefined) return '';
  const endpoints = ready.get(toVersion) ?? 0;
  const newVersion = describeCounts(all.newVersion);
  return `${toVersion}: ${newVersion}, ${endpoints} endpoints; others: ${describeCounts(all.others)}`;
}

function describeCounts(counts: Counts): string {
  const { begun, completed, failed, rejected, slow, overdue } = counts;
  const answered = `${completed} completed, ${failed} failed, ${rejected} rejected`;
  return `${begun} begun, ${answered}, ${slow} slow, ${overdue} overdue`;
}
