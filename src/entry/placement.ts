/** Placement policies: they choose the agents with which a request is reserved next. */

import { createHash } from 'node:crypto';
import type { AgentLink } from './agentLinks.js';
import type { PendingRequest } from './types.js';

/** Prompts with fewer tokens gain little from a cached prefix. */
const MIN_AFFINITY_TOKENS = 128;
/** An agent is not preferred if its load exceeds the mean load by more than this factor. */
const MAX_LOAD_FACTOR = 1.5;
const BROADENING_INTERVAL_MS = 60;
/** Share of the prompt's prefill time for which a request waits for its preferred agent alone. */
const AFFINITY_WAIT_SHARE = 0.5;
const INITIAL_RESERVATIONS = 2;
/** Share of the useful time for which a request waits for busy agents with a warm cache alone. */
const WARM_CACHE_WAIT_SHARE = 0.6;
const MAX_RESERVATIONS = 12;

export type PolicyName = 'grants' | 'roundRobin' | 'leastLoad' | 'firstCome';

/** A strategy for choosing agents. */
export interface PlacementPolicy {
  /** Whether tiers and teams matter; the baseline policies ignore both. */
  readonly usesTiers: boolean;
  /** Returns the agents to reserve with now; none of the candidates holds a reservation yet. */
  choose(request: PendingRequest, candidates: readonly AgentLink[], now: number): AgentLink[];
}

/** Creates a policy by name; `disabledFeatures` turns off parts of the default policy. */
export function createPolicy(
  name: PolicyName,
  disabledFeatures: ReadonlySet<string> = new Set(),
): PlacementPolicy {
  switch (name) {
    case 'roundRobin':
      return new RoundRobin();
    case 'leastLoad':
      return new LeastLoad();
    case 'firstCome':
      return new FirstCome();
    default:
      return new LateBinding(disabledFeatures);
  }
}

/**
 * Default policy: starts with few reservations and adds more over time. Long prompts prefer agents
 * whose cache is likely to hold their prefix.
 */
class LateBinding implements PlacementPolicy {
  public readonly usesTiers = true;

  public constructor(private readonly disabledFeatures: ReadonlySet<string>) {}

  public choose(
    request: PendingRequest,
    candidates: readonly AgentLink[],
    now: number,
  ): AgentLink[] {
    const reserved = request.reservations.size;
    const isLimitReached =
      reserved >= MAX_RESERVATIONS || (reserved > 0 && this.disabledFeatures.has('broadening'));
    if (isLimitReached) return [];
    if (reserved === 0) {
      const preferred = this.tryGetPreferred(request, candidates);
      return preferred === undefined
        ? chooseLeastLoaded(candidates, INITIAL_RESERVATIONS)
        : [preferred];
    }
    const waitedMs = now - request.lastReservedAt;
    if (waitedMs < this.getBroadeningDelayMs(request, candidates)) return [];
    if (!this.hasAffinity(request)) return chooseLeastLoaded(candidates, reserved);
    // A cold agent is worth its prefill only if it has a free slot now, or if time runs short.
    const available = candidates.filter(hasFreeSlot);
    if (available.length > 0) return chooseLeastLoaded(available, reserved);
    const usefulMs = request.deadline - request.arrivedAt;
    return waitedMs < WARM_CACHE_WAIT_SHARE * usefulMs
      ? []
      : chooseLeastLoaded(candidates, reserved);
  }

  private tryGetPreferred(
    request: PendingRequest,
    candidates: readonly AgentLink[],
  ): AgentLink | undefined {
    if (!this.hasAffinity(request)) return undefined;
    const ordered = candidates.toSorted(
      (left, right) =>
        getRendezvousWeight(request.prefixHash, right.id) -
        getRendezvousWeight(request.prefixHash, left.id),
    );
    const loads = candidates.map(getLoadPerSlot);
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
    return ordered.find((link) => getLoadPerSlot(link) <= MAX_LOAD_FACTOR * mean + 1);
  }

  private hasAffinity(request: PendingRequest): boolean {
    if (this.disabledFeatures.has('affinity') || request.prefixHash === '') return false;
    return request.promptTokens >= MIN_AFFINITY_TOKENS;
  }

  private getBroadeningDelayMs(request: PendingRequest, candidates: readonly AgentLink[]): number {
    const speed = Math.max(0, ...candidates.map((link) => link.prefillSpeed));
    if (speed === 0 || request.promptTokens < MIN_AFFINITY_TOKENS) return BROADENING_INTERVAL_MS;
    const prefillMs = (1000 * request.promptTokens) / speed;
    return Math.max(BROADENING_INTERVAL_MS, AFFINITY_WAIT_SHARE * prefillMs);
  }
}

/** Baseline: agents in turn, ordered by ID. */
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

/** Baseline: the agent with the least reported load. */
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

/** Baseline: reserves with all agents; requests run in order of arrival where room is first. */
class FirstCome implements PlacementPolicy {
  public readonly usesTiers = false;

  public choose(request: PendingRequest, candidates: readonly AgentLink[]): AgentLink[] {
    return request.reservations.size > 0 ? [] : [...candidates];
  }
}

function chooseLeastLoaded(candidates: readonly AgentLink[], count: number): AgentLink[] {
  // Equal loads are common: break ties at random, so that no agent is favoured by its position.
  const ranked = candidates.map((link) => ({
    link,
    load: getLoadPerSlot(link),
    tieBreaker: Math.random(),
  }));
  ranked.sort((left, right) => left.load - right.load || left.tieBreaker - right.tieBreaker);
  return ranked.slice(0, count).map(({ link }) => link);
}

/** Returns the requests per slot: the agent's reported count or this entry's own, if larger. */
function getLoadPerSlot(link: AgentLink): number {
  const reported = (link.load?.running ?? 0) + (link.load?.waiting ?? 0);
  const ownRequests = link.reservedCount + link.dispatchedCount;
  return Math.max(reported, ownRequests) / Math.max(1, link.load?.slots ?? 1);
}

function hasFreeSlot(link: AgentLink): boolean {
  const { load } = link;
  return load !== undefined && load.waiting === 0 && load.running < load.slots;
}

function getReportedLoad(link: AgentLink): number {
  return (link.load?.running ?? 0) + (link.load?.waiting ?? 0);
}

/** Returns the weight of an agent for a prefix in rendezvous hashing. */
function getRendezvousWeight(prefixHash: string, agentId: string): number {
  return createHash('sha256').update(`${prefixHash} ${agentId}`).digest().readUInt32BE(0);
}
