/** Logs whom a replica follows, and what it knows while there is no leader or no commit. */

import type { Logger } from '../common/logging.js';
import type { Replica } from '../generated/keeper.js';
import type { Raft } from './raft.js';

/** Time without a leader or a commit after which it is logged, and then again. */
const REPORT_INTERVAL_MS = 2_000;

/** Reports on one replica. */
export interface ProgressReports {
  /** Called with each tick. */
  update(now: number, diskBusyMs: number): void;
}

/** Creates the reports on the replica that `raft` drives. */
export function createProgressReports(logger: Logger, raft: Raft): ProgressReports {
  let followed = '';
  let commitIndex = 0;
  let commitChangedAt = Number.NEGATIVE_INFINITY;
  let reportedAt = Number.NEGATIVE_INFINITY;

  return { update };

  function update(now: number, diskBusyMs: number): void {
    reportLeader();
    const isCommitting = raft.role === 'leader' && raft.commitIndex < raft.log.lastIndex;
    if (!isCommitting || raft.commitIndex !== commitIndex) commitChangedAt = now;
    ({ commitIndex } = raft);
    if (now - reportedAt < REPORT_INTERVAL_MS) return;
    const leaderlessMs = raft.getTimeSinceLeaderMs(now);
    const uncommittedMs = now - commitChangedAt;
    if (Math.max(leaderlessMs, uncommittedMs) < REPORT_INTERVAL_MS) return;
    reportedAt = now;
    if (raft.role === 'leader') reportMissingCommit(uncommittedMs, diskBusyMs);
    else reportMissingLeader(leaderlessMs, diskBusyMs);
  }

  function reportLeader(): void {
    const { role, leader, term } = raft;
    if (role === 'leader') followed = '';
    if (role !== 'follower' || leader === undefined) return;
    const key = `${leader.storeId} ${term}`;
    if (key === followed) return;
    followed = key;
    logger.event('leaderFollowed', { leader: leader.id, term });
  }

  function reportMissingLeader(milliseconds: number, diskBusyMs: number): void {
    const { membership } = raft.log;
    logger.event('leaderMissing', {
      milliseconds: Math.round(milliseconds),
      role: raft.role,
      vote: raft.hardState.votedFor,
      voters: listIds(membership.voters),
      learners: listIds(membership.learners),
      ...describeLog(diskBusyMs),
    });
  }

  function reportMissingCommit(milliseconds: number, diskBusyMs: number): void {
    const { voters, learners } = raft.log.membership;
    const keepers = [...voters, ...learners].map(
      ({ id, storeId }) => `${id}:${raft.getProgress(storeId)?.matchIndex ?? '-'}`,
    );
    logger.event('commitMissing', {
      milliseconds: Math.round(milliseconds),
      keepers: keepers.join(','),
      ...describeLog(diskBusyMs),
    });
  }

  function describeLog(diskBusyMs: number) {
    const { term, commitIndex: committed, persistedIndex, log } = raft;
    const { lastIndex } = log;
    return {
      term,
      commitIndex: committed,
      persistedIndex,
      lastIndex,
      diskBusyMs: Math.round(diskBusyMs),
    };
  }
}

function listIds(replicas: readonly Replica[]): string {
  return replicas.map(({ id }) => id).join(',');
}
