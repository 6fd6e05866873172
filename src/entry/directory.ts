/** Lookup of teams, pools, services and agents in the configuration. */

import { createHash } from 'node:crypto';
import type { ConfigView } from '../common/configView.js';
import type { Member } from '../generated/keeper.js';
import type { PlainService, Pool, Team, Tier } from '../generated/schemas.js';
import type { Target } from './types.js';

/** Indexes over one revision of the configuration. */
export interface Directory {
  tryGetTeam(keyDigest: string): { team: Team; tier: Tier } | undefined;
  tryGetService(name: string): PlainService | undefined;
  listModels(): string[];
  tryGetPool(target: Target): string | undefined;
  /** Returns the newest incarnation of each agent of a pool. */
  listAgents(pool: string): Member[];
  listAllAgents(): Member[];
  /** Returns the state of a crash suspect, if the digest belongs to one. */
  tryGetSuspect(digest: string): string | undefined;
  /** Rank of the lowest tier. Higher ranks are lower tiers. */
  readonly lowestRank: number;
}

/** Returns the digest of a caller's API key, in the form in which teams list it. */
export function digestKey(key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}

/** Builds the indexes. They do not follow the view: build new ones after it has changed. */
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
    const poolMembers = pools.get(member.pool) ?? [];
    poolMembers.push(member);
    pools.set(member.pool, poolMembers);
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
