/** Begins and reads rollouts on any keeper; followers forward both to the leader. */

import type { Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { raise } from '../common/failure.js';
import type {
  Announcement,
  BeginRolloutResponse,
  ReadRolloutRequest,
  ReadRolloutResponse,
} from '../generated/control.js';
import type { Rollout } from '../generated/keeper.js';
import { callLeader } from './leaderCall.js';
import { CALL_TIMEOUT_MS, callRemotely, type RemoteCallHost } from './remoteCalls.js';
import type { RunningReplica } from './replica.js';
import type { RolloutOrder } from './types.js';

/** External dependencies of the rollout authority. */
export interface RolloutAuthorityHost extends RemoteCallHost {
  clock: Pick<Clock, 'now'>;
  metadata: Metadata;
  /** Whether the settings allow rollouts. */
  isEnabled: boolean;
  tryGetReplica(): RunningReplica | undefined;
  listAnnouncements(): Pick<Announcement, 'pool' | 'softwareVersion' | 'state'>[];
}

/** Begins and reads rollouts. */
export interface RolloutAuthority {
  /**
   * Resolves once a majority has synced the order, or the same order was the pool's latest. Raises
   * `rolloutRefused` if the settings allow no rollouts, `rolloutInProgress`, or `unavailable` within
   * an operator's timeout if the outcome is not known by then. May be repeated at any keeper.
   */
  begin(order: RolloutOrder): Promise<BeginRolloutResponse>;
  /** Begins a rollout on this keeper without forwarding. Raises `notLeader`. */
  beginLocally(order: RolloutOrder): Promise<BeginRolloutResponse>;
  /** Reads the latest rollout of a pool, confirmed by a majority. Raises `unavailable`. */
  read(pool: string): Promise<Rollout | undefined>;
  /**
   * Reads on this keeper without forwarding. Raises `unavailable` unless a majority confirms that it
   * leads.
   */
  readLocally(request: ReadRolloutRequest): Promise<ReadRolloutResponse>;
}

/** Creates the authority. */
export function createRolloutAuthority(host: RolloutAuthorityHost): RolloutAuthority {
  return { begin, beginLocally, read, readLocally };

  function getReplica(): RunningReplica {
    return host.tryGetReplica() ?? raise({ kind: 'unavailable', reason: 'no cluster yet' });
  }

  async function begin(order: RolloutOrder): Promise<BeginRolloutResponse> {
    if (!host.isEnabled) {
      raise({
        kind: 'rolloutRefused',
        reason: 'the settings of this deployment allow no rollouts',
      });
    }
    // Also a repeated order is decided by the leader: what this keeper holds may be out of date.
    const response = await callLeader(host, CALL_TIMEOUT_MS, (leader) =>
      leader.isSelf
        ? beginLocally(order)
        : callRemotely<BeginRolloutResponse>(
            host,
            leader,
            CALL_TIMEOUT_MS,
            (client, options, done) =>
              client.beginRollout({ ...order, knownVersions: [] }, host.metadata, options, done),
          ),
    );
    if (response.outcome === 'inProgress') raise({ kind: 'rolloutInProgress', pool: order.pool });
    return response;
  }

  async function beginLocally(order: RolloutOrder): Promise<BeginRolloutResponse> {
    const replica = getReplica();
    const { raft } = replica;
    if (raft.role !== 'leader') {
      return raise({ kind: 'notLeader', leader: raft.leader?.operatorAddress });
    }
    const value = { ...order, knownVersions: listVersions(order.pool) };
    const change = { $case: 'rolloutBegin' as const, value };
    const result = await replica.propose({ change });
    if (result.kind !== 'rollout') return raise({ kind: 'unexpected', reason: result.kind });
    return { outcome: result.outcome };
  }

  function listVersions(pool: string): string[] {
    const announced = host.listAnnouncements().filter((each) => each.pool === pool);
    const ready = announced.filter(({ state }) => state === 'ready');
    return [...new Set(ready.map(({ softwareVersion }) => softwareVersion))];
  }

  async function read(pool: string): Promise<Rollout | undefined> {
    const { rollout } = await callLeader(host, CALL_TIMEOUT_MS, (leader) =>
      leader.isSelf
        ? readLocally({ pool })
        : callRemotely<ReadRolloutResponse>(
            host,
            leader,
            CALL_TIMEOUT_MS,
            (client, options, done) => client.readRollout({ pool }, host.metadata, options, done),
          ),
    );
    return rollout;
  }

  async function readLocally({ pool }: ReadRolloutRequest): Promise<ReadRolloutResponse> {
    const replica = getReplica();
    if (!(await replica.confirmLeadership())) {
      return raise({ kind: 'unavailable', reason: 'no majority confirms the rollout' });
    }
    return { rollout: replica.state.rollouts.tryGet(pool) };
  }
}
