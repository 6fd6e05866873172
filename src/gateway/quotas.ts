/**
 * Enforces teams' quotas across all gateways. Each gateway keeps a token bucket with the whole quota
 * of every team, and deducts what it admits itself and what the other gateways report. Quotas also
 * hold while gateways cannot reach each other: a gateway whose reports stop is assumed to use its
 * equal share of the rate, and a gateway that receives no reports at all limits itself to its own
 * share.
 */

import type { GatewayReport, TeamUse } from '../generated/control.js';
import type { Quota, Team } from '../routing/types.js';

/** Age of the last report after which a gateway counts as silent. */
const SILENCE_MS = 400;
/** Initial fill of a new bucket, in seconds of the quota's rate. */
const INITIAL_FILL_S = 0.25;
/** Time between the admission of a request and the arrival of its report at another gateway. */
const REPORT_LAG_MS = 150;
/** Lower bound of the time between two reports, for the computation of rates. */
const MIN_ELAPSED_MS = 50;
/** Time after which a silent gateway is removed. */
const PEER_EXPIRY_MS = 30_000;
/** Share of the slack that is added to each bucket, for callers unevenly spread over the gateways. */
const SLACK_SHARE = 0.4;
/** Share of a request's units that the bucket must hold for the request to be admitted. */
const MIN_AVAILABLE_SHARE = 0.5;
/**
 * What new requests leave in the bucket for requests that continue a stream, in seconds of the
 * quota's rate, while there are such requests.
 */
const CONTINUED_RESERVE_S = 0.4;
/** Time after the last request that continues a stream for which the reserve is kept. */
const RESERVE_RETENTION_MS = 3_000;

/** Dependencies of the quotas. */
export interface QuotaHost {
  now(): number;
  /** Units by which all gateways together may exceed a quota in one window. */
  slack: number;
  /** Whether reports of other gateways can currently be expected. */
  isConnected(): boolean;
}

/** Result of a request for units. */
export type QuotaDecision = { kind: 'admitted' } | { kind: 'exceeded'; retryAfterMs: number };

/** The buckets of all teams at this gateway. */
export interface Quotas {
  /** Applies the teams of a new routing table. */
  updateTeams(teams: readonly Team[]): void;
  /** `isContinued` tells whether the request continues a stream that has begun. */
  consume(team: Team, units: number, isContinued: boolean): QuotaDecision;
  /** Deducts the use that another gateway reports. */
  applyReport(report: GatewayReport): void;
  /** Units admitted by this gateway since the start, for its own report. */
  listUses(): TeamUse[];
  /** Number of gateways known to be alive, including this one. */
  readonly gatewayCount: number;
}

interface Bucket {
  quota: Quota;
  level: number;
  refilledAt: number;
  /** Units admitted by this gateway. */
  used: number;
  /** When a request last asked for units to continue a stream. */
  continuedAt: number | undefined;
}

interface PeerUse {
  used: number;
  /** Units per millisecond between the last two reports. */
  rate: number;
}

interface Peer {
  incarnation: string;
  reportedAt: number;
  uses: Map<string, PeerUse>;
}

export function createQuotas(host: QuotaHost): Quotas {
  const buckets = new Map<string, Bucket>();
  const peers = new Map<string, Peer>();

  return {
    updateTeams,
    consume,
    applyReport,
    listUses: () => [...buckets].map(([team, { used }]) => ({ team, used })),
    get gatewayCount() {
      return peers.size + 1;
    },
  };

  function updateTeams(teams: readonly Team[]): void {
    const now = host.now();
    for (const { name, quota } of teams) {
      if (quota === undefined) {
        buckets.delete(name);
        continue;
      }
      const known = buckets.get(name);
      if (known === undefined) {
        // A gateway that starts does not know how much of the quota others have used recently.
        const level = quota.ratePerSecond * INITIAL_FILL_S;
        buckets.set(name, { quota, level, refilledAt: now, used: 0, continuedAt: undefined });
        continue;
      }
      refill(known, now);
      known.quota = quota;
      known.level = Math.min(known.level, getCapacity(quota));
    }
  }

  function consume(team: Team, units: number, isContinued: boolean): QuotaDecision {
    const bucket = buckets.get(team.name);
    if (bucket === undefined) return { kind: 'admitted' };
    refill(bucket, host.now());
    if (isContinued) bucket.continuedAt = host.now();
    const reserve = isContinued ? 0 : getReserve(bucket);
    const level = bucket.level - estimateUnreported(team.name) - reserve;
    const needed = Math.min(units, getCapacity(bucket.quota)) * MIN_AVAILABLE_SHARE;
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

  /** Counts the silent gateways and removes the expired ones. */
  function countSilent(now: number): number {
    let count = 0;
    for (const [id, peer] of peers) {
      if (now - peer.reportedAt > PEER_EXPIRY_MS) peers.delete(id);
      else if (now - peer.reportedAt > SILENCE_MS) count += 1;
    }
    return count;
  }

  function applyReport(report: GatewayReport): void {
    const now = host.now();
    const known = peers.get(report.gatewayId);
    const isSame = known?.incarnation === report.incarnation;
    const uses = isSame ? known.uses : new Map<string, PeerUse>();
    const elapsedMs = isSame ? Math.max(now - known.reportedAt, MIN_ELAPSED_MS) : PEER_EXPIRY_MS;
    peers.set(report.gatewayId, { incarnation: report.incarnation, reportedAt: now, uses });
    // The use in a gateway's very first report is not deducted, as it may not be recent.
    const isDeducted = known !== undefined;
    for (const { team, used } of report.uses) {
      const units = used - (uses.get(team)?.used ?? 0);
      uses.set(team, { used, rate: units / elapsedMs });
      if (isDeducted) deduct(team, units);
    }
  }

  /** Estimates the units that the other gateways have admitted since their last reports. */
  function estimateUnreported(team: string): number {
    const now = host.now();
    let units = 0;
    for (const peer of peers.values()) {
      // Units admitted while the last report was in transit are not included in it either.
      const ageMs = Math.min(now - peer.reportedAt, SILENCE_MS) + REPORT_LAG_MS;
      units += (peer.uses.get(team)?.rate ?? 0) * ageMs;
    }
    return units;
  }

  function deduct(team: string, units: number): void {
    const bucket = buckets.get(team);
    if (bucket !== undefined) bucket.level -= units;
  }

  function getReserve({ quota, continuedAt }: Bucket): number {
    if (continuedAt === undefined || host.now() - continuedAt > RESERVE_RETENTION_MS) return 0;
    return quota.ratePerSecond * CONTINUED_RESERVE_S;
  }

  function getCapacity(quota: Quota): number {
    return quota.burst + host.slack * SLACK_SHARE;
  }
}
