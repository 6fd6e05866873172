/** Finds teams, pools, services and agents in the configuration. */

import { createHash } from 'node:crypto';
import type { ConfigView } from '../common/configView.js';
import type { Member } from '../generated/keeper.js';
import type { PlainService, Pool, Team, Tier } from '../generated/schemas.js';
import type { Target } from './types.js';

/** Look-ups in one revision of the configuration. */
export interface Directory {
  tryGetTeam(keyDigest: string): { team: Team; tier: Tier } | undefined;
  tryGetService(name: string): PlainService | undefined;
  listModels(): string[];
  tryGetPool(target: Target): string | undefined;
  /** The newest incarnation of each agent of a pool. */
  listAgents(pool: string): Member[];
  listAllAgents(): Member[];
  tryGetSuspect(digest: string): string | undefined;
  /** Rank of the lowest tier; larger is lower. */
  readonly lowestRank: number;
}

/** Digest of a caller's key, in the form that teams list. */
export function digestKey(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}

/** Creates look-ups; call again after the view changed. */
export function createDirectory(view: ConfigView): Directory {
  const teams = new Map<string, Team>();
  const models = new Map<string, Pool>();
  const agents = new Map<string, Member>();
  const pools = new Map<string, Member[]>();
  for (const team of view.list('team')) {
    for (const digest of team.keyDigests) teams.set(digest, team);
  }
  for (const pool of view.list('pool')) {
    for (const model of pool.models ?? []) models.set(model, pool);
  }
  for (const member of view.list('member')) {
    const known = agents.get(member.id);
    const isNewer = known === undefined || known.fencingToken < member.fencingToken;
    if (member.role === 'agent' && isNewer) agents.set(member.id, member);
  }
  for (const member of agents.values()) {
    const listed = pools.get(member.pool) ?? [];
    listed.push(member);
    pools.set(member.pool, listed);
  }
  const ranks = view.list('tier').map((tier) => tier.rank);
  const lowestRank = Math.max(0, ...ranks);

  return {
    tryGetTeam,
    tryGetPool,
    tryGetService: (name) => view.tryGet('service', name),
    listModels: () => [...models.keys()],
    listAgents: (pool) => pools.get(pool) ?? [],
    listAllAgents: () => [...agents.values()],
    tryGetSuspect: (digest) => view.tryGet('suspect', digest)?.state,
    lowestRank,
  };

  function tryGetPool(target: Target): string | undefined {
    if (target.kind === 'model') return models.get(target.name)?.name;
    return view.tryGet('service', target.name)?.pool;
  }

  function tryGetTeam(keyDigest: string): { team: Team; tier: Tier } | undefined {
    const team = teams.get(keyDigest);
    const tier = team === undefined ? undefined : view.tryGet('tier', team.tier);
    return team === undefined || tier === undefined ? undefined : { team, tier };
  }
}
