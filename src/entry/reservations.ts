/** Which agents may get a reservation, and what it says. */

import type { Reserve } from '../generated/dispatch.js';
import type { AgentLink, AgentLinks } from './agentLinks.js';
import type { Directory } from './directory.js';
import type { PendingRequest } from './types.js';

/** Agents of the request's pool that can be reached, take work and hold no reservation yet. */
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

/** Time that the fastest of the pool's endpoints would take, in milliseconds; 0 when not stated. */
export function estimateRunMs(
  request: PendingRequest,
  directory: Directory,
  links: AgentLinks,
): number {
  let fastest = Number.POSITIVE_INFINITY;
  for (const member of directory.listAgents(request.pool)) {
    const link = links.tryGet(member.id);
    if (link === undefined || link.prefillSpeed === 0 || link.decodeSpeed === 0) continue;
    const seconds =
      request.promptTokens / link.prefillSpeed + request.outputTokens / link.decodeSpeed;
    fastest = Math.min(fastest, 1_000 * seconds);
  }
  return Number.isFinite(fastest) ? fastest : 0;
}

/** The frame that reserves; without `knowsTiers` all requests are alike. */
export function createReserve(
  request: PendingRequest,
  knowsTiers: boolean,
  revision: number,
  now: number,
): Reserve {
  const { team, tier } = request;
  return {
    tierRank: knowsTiers ? tier.rank : 0,
    team: knowsTiers ? team.name : '',
    shedOrder: team.shedOrder ?? 0,
    weight: knowsTiers ? (team.weight ?? 1) : 1,
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
