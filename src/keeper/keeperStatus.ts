/** Describes the keepers of a cluster to operators, as the leader knows them. */

import type { Replica } from '../generated/keeper.js';
import type { Raft } from './raft.js';

/** A keeper and how much of the log it is known to have stored. */
export interface KeeperStatus extends Replica {
  matchIndex: number;
}

/** The voters and learners of the committed membership. */
export interface KeepersStatus {
  voters: KeeperStatus[];
  learners: KeeperStatus[];
}

/**
 * Describes the committed membership; `raft` must lead. A newer membership that no majority has
 * stored yet is left out: an operator who took it for repaired and stopped the leader next could
 * leave too few voters to elect another.
 */
export function describeKeepers(raft: Raft): KeepersStatus {
  const { voters, learners } = raft.committedMembership;
  return { voters: voters.map(describe), learners: learners.map(describe) };

  function describe(keeper: Replica): KeeperStatus {
    const isSelf = keeper.storeId === raft.leader?.storeId;
    const matchIndex = raft.getProgress(keeper.storeId)?.matchIndex ?? 0;
    return { ...keeper, matchIndex: isSelf ? raft.persistedIndex : matchIndex };
  }
}
