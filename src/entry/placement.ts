/** Choice of the agents that get a request's next reservations. */

import { createHash } from 'node:crypto';
import type { AgentLink } from './agentLinks.js';
import type { PendingRequest } from './types.js';

/** Prompts shorter than this gain little from a cached prefix; tokens. */
const AFFINITY_TOKENS = 128;
/** The preferred agent is passed over when its load exceeds the mean by this factor. */
const LOAD_BOUND = 1.5;
const BROADEN_MS = 60;
/** Reservations wait for the preferred agent at most for this share of the prompt's prefill time. */
const AFFINITY_PATIENCE = 0.5;
const FIRST_RESERVATIONS = 2;
/** Share of the useful time for which a request waits for busy agents with a warm cache only. */
const LOYALTY = 0.6;
const MAX_RESERVATIONS = 12;

export type PolicyName = 'grants' | 'roundRobin' | 'leastLoad' | 'firstCome';

/** A way to choose agents. */
export interface PlacementPolicy {
  /** Whether tiers and teams count; the baselines know neither. */
  readonly usesTiers: boolean;
  /** Agents to reserve with now, out of `candidates`, which hold no reservation yet. */
  choose(request: PendingRequest, candidates: readonly AgentLink[], now: number): AgentLink[];
}

/** Creates the policy of the name. */
export function createPolicy(
  name: PolicyName,
  without: ReadonlySet<string> = new Set(),
): PlacementPolicy {
  switch (name) {
    case 'roundRobin':
      return new RoundRobin();
    case 'leastLoad':
      return new LeastLoad();
    case 'firstCome':
      return new FirstCome();
    default:
      return new LateBinding(without);
  }
}

/** A few reservations at first, more as time passes; long prompts prefer a warm cache. */
class LateBinding implements PlacementPolicy {
  public readonly usesTiers = true;

  public constructor(private readonly without: ReadonlySet<string>) {}

  public choose(
    request: PendingRequest,
    candidates: readonly AgentLink[],
    now: number,
  ): AgentLink[] {
    const held = request.reservations.size;
    const isFull = held >= MAX_RESERVATIONS || (held > 0 && this.without.has('broadening'));
    if (isFull) return [];
    if (held === 0) {
      const preferred = this.tryGetPreferred(request, candidates);
      return preferred === undefined ? chooseLightest(candidates, FIRST_RESERVATIONS) : [preferred];
    }
    const waitedMs = now - request.lastReservedAt;
    if (waitedMs < this.getPatience(request, candidates)) return [];
    if (!this.hasAffinity(request)) return chooseLightest(candidates, held);
    // A cold agent is worth its prefill only when it has room now, or when time runs short.
    const idle = candidates.filter(hasRoom);
    if (idle.length > 0) return chooseLightest(idle, held);
    const usefulMs = request.deadline - request.arrivedAt;
    return waitedMs < LOYALTY * usefulMs ? [] : chooseLightest(candidates, held);
  }

  private tryGetPreferred(
    request: PendingRequest,
    candidates: readonly AgentLink[],
  ): AgentLink | undefined {
    if (!this.hasAffinity(request)) return undefined;
    const ordered = candidates.toSorted(
      (left, right) =>
        getAffinity(request.prefixHash, right.id) - getAffinity(request.prefixHash, left.id),
    );
    const loads = candidates.map(getLoad);
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
    return ordered.find((link) => getLoad(link) <= LOAD_BOUND * mean + 1);
  }

  private hasAffinity(request: PendingRequest): boolean {
    if (this.without.has('affinity') || request.prefixHash === '') return false;
    return request.promptTokens >= AFFINITY_TOKENS;
  }

  private getPatience(request: PendingRequest, candidates: readonly AgentLink[]): number {
    const speed = Math.max(0, ...candidates.map((link) => link.prefillSpeed));
    if (speed === 0 || request.promptTokens < AFFINITY_TOKENS) return BROADEN_MS;
    const prefillMs = (1000 * request.promptTokens) / speed;
    return Math.max(BROADEN_MS, AFFINITY_PATIENCE * prefillMs);
  }
}

/** Baseline: each agent in turn. */
class RoundRobin implements PlacementPolicy {
  public readonly usesTiers = false;

  private next = 0;

  public choose(request: PendingRequest, candidates: readonly AgentLink[]): AgentLink[] {
    if (request.reservations.size > 0) return [];
    const ordered = candidates.toSorted((left, right) => left.id.localeCompare(right.id));
    this.next += 1;
    const link = ordered[this.next % Math.max(1, ordered.length)];
    return link === undefined ? [] : [link];
  }
}

/** Baseline: the agent that reported the least load. */
class LeastLoad implements PlacementPolicy {
  public readonly usesTiers = false;

  public choose(request: PendingRequest, candidates: readonly AgentLink[]): AgentLink[] {
    if (request.reservations.size > 0) return [];
    let least: AgentLink | undefined;
    for (const link of candidates) {
      if (least === undefined || getReportedLoad(link) < getReportedLoad(least)) least = link;
    }
    return least === undefined ? [] : [least];
  }
}

/** Baseline: whoever has room first, in the order of arrival. */
class FirstCome implements PlacementPolicy {
  public readonly usesTiers = false;

  public choose(request: PendingRequest, candidates: readonly AgentLink[]): AgentLink[] {
    return request.reservations.size > 0 ? [] : [...candidates];
  }
}

function chooseLightest(candidates: readonly AgentLink[], count: number): AgentLink[] {
  // Equal loads are common, so ties are broken at random rather than by position.
  const weighed = candidates.map((link) => ({ link, load: getLoad(link), tie: Math.random() }));
  weighed.sort((left, right) => left.load - right.load || left.tie - right.tie);
  return weighed.slice(0, count).map(({ link }) => link);
}

/** Requests at the agent for each of its slots: those reported, or this entry's own if more. */
function getLoad(link: AgentLink): number {
  const reported = (link.load?.running ?? 0) + (link.load?.waiting ?? 0);
  const own = link.reservedCount + link.dispatchedCount;
  return Math.max(reported, own) / Math.max(1, link.load?.slots ?? 1);
}

function hasRoom(link: AgentLink): boolean {
  const { load } = link;
  return load !== undefined && load.waiting === 0 && load.running < load.slots;
}

function getReportedLoad(link: AgentLink): number {
  return (link.load?.running ?? 0) + (link.load?.waiting ?? 0);
}

/** Rendezvous weight of an agent for a prefix. */
function getAffinity(prefixHash: string, agentId: string): number {
  return createHash('sha256').update(`${prefixHash} ${agentId}`).digest().readUInt32BE(0);
}
