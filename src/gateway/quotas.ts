/**
 * Teams' quotas over all gateways. Each gateway keeps the whole bucket of every team and takes from
 * it what it admits itself and what the others report. A gateway that has gone silent is taken to
 * use its share, and one that hears nobody keeps to its own share, so no quota is exceeded while
 * gateways cannot see each other.
 */

import type { GatewayReport, TeamUse } from '../generated/control.js';
import type { Quota, Team } from '../routing/types.js';

/** Age of a report after which its gateway counts as silent. */
const SILENCE_MS = 1_000;
/** Seconds of a quota's rate that a new bucket holds. */
const INITIAL_S = 0.25;
/** Time between a gateway's use and the arrival of its report at another one. */
const REPORT_LAG_MS = 150;
const MIN_ELAPSED_MS = 50;
/** Time after which a silent gateway is taken to be gone for good. */
const FORGET_MS = 30_000;
/** Share of the allowed excess that the buckets hold, to serve callers that are unevenly spread. */
const SLACK_SHARE = 0.4;
/** Share of a request's units that the bucket must hold for it to be admitted. */
const HELD_SHARE = 0.5;

/** What quotas need from outside. */
export interface QuotaHost {
  now(): number;
  /** Units by which one window may exceed a quota, over all gateways. */
  slack: number;
  /** Whether reports of other gateways can be expected now. */
  isConnected(): boolean;
}

/** Outcome of asking for units. */
export type QuotaDecision = { kind: 'admitted' } | { kind: 'exceeded'; retryAfterMs: number };

/** All teams' buckets at this gateway. */
export interface Quotas {
  /** Follows the teams of a new table. */
  updateTeams(teams: readonly Team[]): void;
  consume(team: Team, units: number): QuotaDecision;
  /** Takes in another gateway's report. */
  applyReport(report: GatewayReport): void;
  /** Units admitted here since the start, for this gateway's own report. */
  listUses(): TeamUse[];
  /** Gateways known to be alive, this one included. */
  readonly gatewayCount: number;
}

interface Bucket {
  quota: Quota;
  level: number;
  refilledAt: number;
  /** Units admitted by this gateway. */
  used: number;
}

interface PeerUse {
  used: number;
  /** Units a millisecond between the last two reports. */
  rate: number;
}

interface Peer {
  incarnation: string;
  heardAt: number;
  uses: Map<string, PeerUse>;
}

/** Creates empty buckets. */
export function createQuotas(host: QuotaHost): Quotas {
  const buckets = new Map<string, Bucket>();
  const peers = new Map<string, Peer>();

  return {
    updateTeams: follow,
    consume: take,
    applyReport: receive,
    listUses: () => [...buckets].map(([team, { used }]) => ({ team, used })),
    get gatewayCount() {
      return peers.size + 1;
    },
  };

  function follow(teams: readonly Team[]): void {
    const now = host.now();
    for (const { name, quota } of teams) {
      if (quota === undefined) {
        buckets.delete(name);
        continue;
      }
      const known = buckets.get(name);
      if (known === undefined) {
        // What others have used of a team's quota lately is not known to a gateway that starts.
        const level = quota.ratePerSecond * INITIAL_S;
        buckets.set(name, { quota, level, refilledAt: now, used: 0 });
        continue;
      }
      refill(known, now);
      known.quota = quota;
      known.level = Math.min(known.level, getCapacity(quota));
    }
  }

  function take(team: Team, units: number): QuotaDecision {
    const bucket = buckets.get(team.name);
    if (bucket === undefined) return { kind: 'admitted' };
    refill(bucket, host.now());
    const level = bucket.level - estimateUnreported(team.name);
    const needed = Math.min(units, getCapacity(bucket.quota)) * HELD_SHARE;
    if (level < needed) {
      const { ratePerSecond } = bucket.quota;
      const missing = needed - level;
      return { kind: 'exceeded', retryAfterMs: (1_000 * missing) / ratePerSecond };
    }
    bucket.level -= units;
    bucket.used += units;
    return { kind: 'admitted' };
  }

  function refill(bucket: Bucket, now: number): void {
    const { ratePerSecond } = bucket.quota;
    const share = host.isConnected()
      ? 1 - countSilent(now) / (peers.size + 1)
      : 1 / (peers.size + 1);
    const added = (ratePerSecond * share * (now - bucket.refilledAt)) / 1_000;
    bucket.level = Math.min(getCapacity(bucket.quota), bucket.level + added);
    bucket.refilledAt = now;
  }

  function countSilent(now: number): number {
    let count = 0;
    for (const [id, peer] of peers) {
      if (now - peer.heardAt > FORGET_MS) peers.delete(id);
      else if (now - peer.heardAt > SILENCE_MS) count += 1;
    }
    return count;
  }

  function receive(report: GatewayReport): void {
    const now = host.now();
    const known = peers.get(report.gatewayId);
    const isSame = known?.incarnation === report.incarnation;
    const uses = isSame ? known.uses : new Map<string, PeerUse>();
    const elapsedMs = isSame ? Math.max(now - known.heardAt, MIN_ELAPSED_MS) : FORGET_MS;
    peers.set(report.gatewayId, { incarnation: report.incarnation, heardAt: now, uses });
    // What a gateway used before it was first heard is not known to be recent.
    const counts = known !== undefined;
    for (const { team, used } of report.uses) {
      const units = used - (uses.get(team)?.used ?? 0);
      uses.set(team, { used, rate: units / elapsedMs });
      if (counts) charge(team, units);
    }
  }

  /** Units that the other gateways have probably admitted since their last reports. */
  function estimateUnreported(team: string): number {
    const now = host.now();
    let units = 0;
    for (const peer of peers.values()) {
      // Reports are some time under way, which the same time stands for.
      const ageMs = Math.min(now - peer.heardAt, SILENCE_MS) + REPORT_LAG_MS;
      units += (peer.uses.get(team)?.rate ?? 0) * ageMs;
    }
    return units;
  }

  function charge(team: string, units: number): void {
    const bucket = buckets.get(team);
    if (bucket !== undefined) bucket.level -= units;
  }

  function getCapacity(quota: Quota): number {
    return quota.burst + host.slack * SLACK_SHARE;
  }
}
