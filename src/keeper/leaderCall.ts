/** Calls that only the leader can answer: they wait for a leader and follow changes of the lead. */

import type { Clock } from '../common/clock.js';
import { delay } from '../common/delay.js';
import { raise, RaisedFailure, toFailure, type Failure } from '../common/failure.js';
import type { Replica } from '../generated/keeper.js';
import type { RunningReplica } from './replica.js';

const POLL_INTERVAL_MS = 20;
/** Longer than an election takes; a keeper that has heard no leader for so long may be cut off. */
const LEADERLESS_LIMIT_MS = 2_000;

/** External dependencies of the calls. */
export interface LeaderCallHost {
  clock: Pick<Clock, 'now'>;
  tryGetReplica(): Pick<RunningReplica, 'raft'> | undefined;
}

/** The leader of a term as this keeper knows it. */
export interface KnownLeader {
  term: number;
  /** Whether this keeper leads. */
  isSelf: boolean;
  replica: Replica;
}

/**
 * Runs `attempt` at the leader. It waits while one may be elected, and tries again when an attempt
 * finds the leader unavailable or another replica takes the lead meanwhile, so `attempt` must be
 * idempotent. Raises the last failure after `timeoutMs`, and at once any failure of another kind or
 * `unavailable` if no leader was heard for long: another keeper may know one.
 */
export async function callLeader<Response>(
  host: LeaderCallHost,
  timeoutMs: number,
  attempt: (leader: KnownLeader) => Promise<Response>,
): Promise<Response> {
  const endAt = host.clock.now() + timeoutMs;
  let failure = describeMissingLeader(host);
  while (host.clock.now() < endAt) {
    const leader = tryGetLeader(host);
    if (leader === undefined) {
      failure = describeMissingLeader(host);
      if (isLeaderless(host)) break;
    } else {
      try {
        return await runWhileLeading(host, leader, endAt, attempt);
      } catch (caught) {
        failure = toFailure(caught);
        if (failure.kind !== 'unavailable' && failure.kind !== 'notLeader') throw caught;
      }
    }
    await delay(POLL_INTERVAL_MS);
  }
  return raise(failure);
}

/** Returns the leader that this keeper follows, or itself if it leads. */
function tryGetLeader(host: LeaderCallHost): KnownLeader | undefined {
  const raft = host.tryGetReplica()?.raft;
  if (raft?.leader === undefined) return undefined;
  return { term: raft.term, isSelf: raft.role === 'leader', replica: raft.leader };
}

function isLeaderless({ clock, tryGetReplica }: LeaderCallHost): boolean {
  const silentMs = tryGetReplica()?.raft.getTimeSinceLeaderMs(clock.now()) ?? 0;
  return silentMs > LEADERLESS_LIMIT_MS;
}

function describeMissingLeader(host: LeaderCallHost): Failure {
  const hasCluster = host.tryGetReplica() !== undefined;
  return { kind: 'unavailable', reason: hasCluster ? 'no leader' : 'no cluster yet' };
}

/** Raises `unavailable` once `leader` no longer leads or `endAt` is reached. */
function runWhileLeading<Response>(
  host: LeaderCallHost,
  leader: KnownLeader,
  endAt: number,
  attempt: (leader: KnownLeader) => Promise<Response>,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    const timer = setInterval(() => {
      const current = tryGetLeader(host);
      const isLeading = current?.term === leader.term && current.isSelf === leader.isSelf;
      if (!isLeading) abandon(`${leader.replica.id} no longer leads`);
      else if (host.clock.now() >= endAt) abandon(`no answer of ${leader.replica.id} in time`);
    }, POLL_INTERVAL_MS);
    attempt(leader)
      .then(resolve, reject)
      .finally(() => clearInterval(timer));

    function abandon(reason: string): void {
      clearInterval(timer);
      reject(new RaisedFailure({ kind: 'unavailable', reason }));
    }
  });
}
