/** Selects the agents that may receive a reservation and builds the Reserve message. */

import type { Reserve } from '../generated/dispatch.js';
import type { AgentLink, AgentLinks } from './agentLinks.js';
import type { Directory } from './directory.js';
import type { PendingRequest } from './types.js';

/**
 * Returns the agents of the request's pool that are connected, accept work and hold no reservation
 * for the request yet.
 */
export function listCandidates(
  request: PendingRequest,
  directory: Directory,
  links: AgentLinks,
  now: number,
): AgentLink[] {
  const candidates: AgentLink[] = [];
  for (const member of directory.listAgents(request.pool)) {
    const link = links.tryGet(member.id);
    if (link === undefined || !link.isConnected || member.draining) continue;
    if (link.incarnation !== member.incarnation || link.load?.slots === 0) continue;
    if (request.reservations.has(link.id)) continue;
    if ((request.avoidUntil.get(link.id) ?? 0) > now) continue;
    candidates.push(link);
  }
  return candidates;
}

/**
 * Estimates the run time at the fastest endpoint of the pool, in milliseconds. Returns 0 if no
 * endpoint states its speed.
 */
export function estimateRunMs(
  request: PendingRequest,
  directory: Directory,
  links: AgentLinks,
): number {
  let shortestMs = Number.POSITIVE_INFINITY;
  for (const member of directory.listAgents(request.pool)) {
    const link = links.tryGet(member.id);
    if (link === undefined || link.prefillSpeed === 0 || link.decodeSpeed === 0) continue;
    const seconds =
      request.promptTokens / link.prefillSpeed + request.outputTokens / link.decodeSpeed;
    shortestMs = Math.min(shortestMs, 1_000 * seconds);
  }
  return Number.isFinite(shortestMs) ? shortestMs : 0;
}

/** Builds the Reserve message. Without `usesTiers`, tier, team and weight are the same for all. */
export function createReserve(
  request: PendingRequest,
  usesTiers: boolean,
  revision: number,
  now: number,
): Reserve {
  const { team, tier } = request;
  return {
    tierRank: usesTiers ? tier.rank : 0,
    team: usesTiers ? team.name : '',
    shedOrder: team.shedOrder ?? 0,
    weight: usesTiers ? (team.weight ?? 1) : 1,
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    usefulMs: Math.max(0, Math.round(request.deadline - now)),
    idempotent: request.idempotent,
    prefixHash: request.prefixHash,
    digest: request.digest,
    revision,
    alone: request.exclusive,
  };
}
