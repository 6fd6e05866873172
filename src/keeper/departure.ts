/**
 * A keeper that is told to stop hands over its lead first, and then gives up its vote, if another
 * one can take its place.
 */

import type { Clock } from '../common/clock.js';
import { delay } from '../common/delay.js';
import { deadlineIn } from '../common/rpc.js';
import type { FormationHost } from './formation.js';
import { releaseVoter } from './membershipChanges.js';
import type { RunningReplica } from './replica.js';

const STEP_INTERVAL_MS = 50;
const STEP_TIMEOUT_MS = 300;
/** A stop takes at most this much longer. */
const DEPARTURE_TIMEOUT_MS = 1_500;
/** Time for which a keeper that has handed over its lead waits to hear of its successor. */
const SUCCESSOR_TIMEOUT_MS = 800;

/** Resolves once this keeper has no vote, or when its vote is needed or cannot be given up soon. */
export async function giveUpVote(
  host: FormationHost,
  replica: RunningReplica,
  clock: Clock,
  requiredVoters: number,
): Promise<void> {
  const deadline = clock.now() + DEPARTURE_TIMEOUT_MS;
  let transferredAt: number | undefined;
  while (clock.now() < deadline) {
    const outcome = await takeStep();
    if (outcome !== 'changing') {
      host.logger.event('keeperLeaves', { outcome: outcome ?? 'unknown' });
      return;
    }
    await delay(STEP_INTERVAL_MS);
  }
  host.logger.event('keeperLeaves', { outcome: 'changing' });

  async function takeStep(): Promise<string | undefined> {
    const { leader, role } = replica.raft;
    if (role === 'leader') {
      // One attempt: if it fails, the vote is given up nevertheless.
      if (transferredAt === undefined && replica.tryTransferLead()) transferredAt = clock.now();
      if (isAwaitingSuccessor()) return 'changing';
      return releaseVoter(replica, host.self, clock.now(), requiredVoters);
    }
    if (leader !== undefined) return tryAskLeader(leader.address);
    // The successor may be about to stop as well.
    return isAwaitingSuccessor() ? 'changing' : undefined;
  }

  function isAwaitingSuccessor(): boolean {
    return transferredAt !== undefined && clock.now() - transferredAt < SUCCESSOR_TIMEOUT_MS;
  }

  /** Resolves to undefined if the leader does not answer in time. */
  function tryAskLeader(address: string): Promise<string | undefined> {
    const request = { deployment: host.deployment, replica: host.self };
    return new Promise((resolve) => {
      host.peers
        .getClient(address)
        .leave(request, host.metadata, deadlineIn(STEP_TIMEOUT_MS), (error, response) => {
          resolve(error === null ? response.outcome : undefined);
        });
    });
  }
}
