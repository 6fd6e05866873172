/**
 * Slow start of one incarnation of an endpoint, over all gateways. The allowance is the number of
 * requests that may run there at once. It begins small, rises with each response in time and is cut
 * when responses are late, refused or broken; an endpoint that has served well has its full slots.
 *
 * The state is a round: a number and the allowance that the round began with. Each response in time
 * to a request of the round adds to the allowance, at whichever gateway it arrived. A cut begins the
 * next round. Gateways report their round and what they have counted in it. All follow the round with
 * the highest number, of those the one that began lowest, so that cuts that several gateways make at
 * the same time count once.
 */

import type { PaceReport } from '../generated/control.js';
import type { GatewayCounts } from './requestRateLimit.js';
import { createSlotLimiter, type ShareTiming } from './slotLimiter.js';

/** Share of the slots that an endpoint starts with; half of it if it announces that it warms up. */
const START_SHARE = 1 / 3;
/**
 * Requests that each response in time adds to the allowance, which so doubles within the time of one
 * response.
 */
const GAIN = 1;
/** Multiple of the expected time above which a first event is late. */
const LATE_RATIO = 2;
/** Share of the allowance that a cut leaves. */
const CUT_SHARE = 1 / 2;
/** Share of bad signs among recent signs that cuts the allowance of a limited endpoint. */
const BAD_SHARE = 1 / 4;
/** Weight of a rejection or a failure relative to a late response, which may be due to its prompt. */
const FAILURE_WEIGHT = 2;
/** Time for which a sign counts as recent; one slowdown by other work on the VM lasts as long. */
const WINDOW_MS = 600;
/**
 * An endpoint with full slots is cut only if late responses for half of its slots, and at least this
 * number, stay recent for `SUSTAINED_MS`. One very long prompt or one slowdown of the VM makes all
 * streams late for a shorter time, and a cut would outlast it.
 */
const MIN_ESTABLISHED_BAD = 4;
const SUSTAINED_MS = 1_500;
const ESTABLISHED_CUT_SHARE = 3 / 4;
/** Age after which the report of another gateway is ignored. */
const REPORT_RETENTION_MS = 1_500;
/** Time for which a gateway reports that an endpoint has its full slots again. */
const END_RETENTION_MS = 3_000;
/** Age after which the recent signs in a report no longer count as recent. */
const SIGN_RETENTION_MS = 350;
/**
 * Time for which a gateway must have had requests before it takes the shares of those without: after
 * a quiet time, requests may arrive at all gateways at once.
 */
const DEMAND_REPORT_MS = 350;
/** Time for which requests that wait inside the endpoint keep its allowance from rising. */
const QUEUED_RETENTION_MS = 300;
/**
 * Time for which the full slots are still divided as the allowance was, since the last placements
 * are not in the reports yet.
 */
const HANDOVER_MS = 1_000;
/**
 * Time after an ejection in which the others' reports tell whether they have ejected the endpoint as
 * well; half of the shortest ejection, so that all know of the decision when it returns.
 */
const EJECTION_REPORT_MS = 250;
/** Draws no more often than reports arrive: a slot that one gateway has taken looks free until then. */
const paceTiming: ShareTiming = { propagationMs: 250, drawIntervalMs: 250 };

/** Why an allowance is limited. */
export type LimitReason = 'started' | 'ejected' | 'responses' | 'report';

/** Dependencies of a pace. */
export interface EndpointPaceHost {
  now(): number;
  random(): number;
  /** Start of the incarnation. */
  bornAtMs: number;
  slots: number;
  /** Whether it starts slowly; one that ran before this gateway joined has its full slots. */
  isNew: boolean;
  /** Whether it announces that it warms up. */
  isWarming: boolean;
  /** Since when this gateway has had requests for the pool; undefined if it has had none lately. */
  wantedSince(): number | undefined;
  /** Whether another gateway has running requests there and has not ejected it. */
  isServingOthers(): boolean;
  onLimited(allowance: number, reason: LimitReason): void;
  onFull(limitedMs: number): void;
}

/** Pace of one incarnation of an endpoint. `sentAt` is when the request was sent. */
export interface EndpointPace {
  readonly isLimited: boolean;
  /** Whether `canPlace` divides the free slots among the gateways. */
  readonly isDividing: boolean;
  /** Requests that may run at the endpoint at once, over all gateways; a fraction counts as a chance. */
  readonly allowance: number;
  /** Undefined unless other gateways need it. */
  readonly report: PaceReport | undefined;
  /** Whether this gateway may place one more request, if `occupancy` run there. */
  canPlace(occupancy: number, gateways: GatewayCounts): boolean;
  recordPlacement(): void;
  recordRelease(): void;
  /** Records that a stream's events have begun to come in time (1), or no longer do so (-1). */
  recordServing(change: 1 | -1): void;
  recordFirstEvent(expectedMs: number, observedMs: number, sentAt: number): void;
  /** Records that a stream paused for longer than its route allows. */
  recordLatePause(sentAt: number): void;
  /** Records that the endpoint stated not to have run a request, or that an attempt failed. */
  recordFailure(sentAt: number): void;
  /** Records the number of requests that wait inside the endpoint. */
  recordQueue(waiting: number): void;
  /** Records that this gateway has ejected the endpoint. */
  recordEjection(): void;
  /** Replaces the report of a gateway that has requests there; undefined if it states no limit. */
  applyPeer(gatewayId: string, report: PaceReport | undefined): void;
}

interface Sign {
  at: number;
  weight: number;
}

interface Peer {
  report: PaceReport;
  at: number;
}

/** Creates the pace of an incarnation that has become known. */
export function createEndpointPace(host: EndpointPaceHost): EndpointPace {
  const { now, slots, bornAtMs } = host;
  const shares = createSlotLimiter(now, host.random, paceTiming);
  const peers = new Map<string, Peer>();
  const recentGood: Sign[] = [];
  const recentBad: Sign[] = [];
  let round = 0;
  /** Allowance that the round began with. */
  let start = slots;
  let roundAt = now();
  /** Sum of the rises by responses to this gateway in the round. */
  let good = 0;
  /** Highest allowance known of the round; what has been earned stays when a gateway is lost. */
  let earned = slots;
  /** Streams of this gateway whose events come in time. */
  let serving = 0;
  let isLimited = false;
  let limitedAt = 0;
  let fullAt = Number.NEGATIVE_INFINITY;
  let reportedUntil = Number.NEGATIVE_INFINITY;
  /** When this gateway ejected the endpoint; undefined once it is decided what follows. */
  let ejectedAt: number | undefined;
  /** Since when an endpoint with full slots has had bad signs without interruption. */
  let badSince: number | undefined;
  let badCheckedAt = Number.NEGATIVE_INFINITY;
  let queuedAt = Number.NEGATIVE_INFINITY;
  const least = Math.max(1, slots * START_SHARE * (host.isWarming ? 1 / 2 : 1));
  if (host.isNew) beginRound(1, least, 'started');

  return {
    get isLimited() {
      return isLimited;
    },
    get isDividing() {
      return isDividing();
    },
    get allowance() {
      return earned;
    },
    get report() {
      return createReport();
    },
    canPlace,
    recordPlacement() {
      if (isDividing()) shares.recordPlacement();
    },
    recordRelease() {
      if (isDividing()) shares.recordRelease();
    },
    recordServing(change) {
      serving += change;
      if (isLimited) update();
    },
    recordFirstEvent,
    recordLatePause: (sentAt) => recordBad(1, sentAt),
    recordFailure: (sentAt) => recordBad(FAILURE_WEIGHT, sentAt),
    recordQueue(waiting) {
      if (waiting > 0) queuedAt = now();
    },
    recordEjection() {
      ejectedAt = now();
    },
    applyPeer,
  };

  function canPlace(occupancy: number, { responsive, known }: GatewayCounts): boolean {
    checkEjection();
    if (!isDividing()) return true;
    if (isLimited) update();
    // The shares of silent gateways, which may still send, are left to them.
    const free = earned * (responsive / known) - occupancy;
    // With 0 slots no gateway is guaranteed one.
    const isIdleKnown = now() - (host.wantedSince() ?? now()) >= DEMAND_REPORT_MS;
    const wanting = isIdleKnown ? responsive - countIdle() : responsive;
    return shares.canPlace(free, 0, Math.max(1, wanting));
  }

  function isDividing(): boolean {
    return isLimited || now() - fullAt < HANDOVER_MS;
  }

  /** A failed link of this gateway alone limits no endpoint for all. */
  function checkEjection(): void {
    if (ejectedAt === undefined || now() - ejectedAt < EJECTION_REPORT_MS) return;
    ejectedAt = undefined;
    if (!host.isServingOthers()) beginRound(round + 1, Math.min(least, earned), 'ejected');
  }

  function recordFirstEvent(expectedMs: number, observedMs: number, sentAt: number): void {
    if (observedMs > LATE_RATIO * expectedMs) {
      recordBad(1, sentAt);
      return;
    }
    if (sentAt < roundAt) return;
    recentGood.push({ at: now(), weight: 1 });
    dropOld(recentGood);
    if (isLimited && now() - queuedAt > QUEUED_RETENTION_MS) good += GAIN;
    update();
  }

  /** Ignores requests sent before the round, whose lateness may have been its reason. */
  function recordBad(weight: number, sentAt: number): void {
    if (sentAt < roundAt) return;
    recentBad.push({ at: now(), weight });
    update();
  }

  function applyPeer(gatewayId: string, report: PaceReport | undefined): void {
    if (report === undefined) {
      peers.delete(gatewayId);
      // Most reports are these: in a steady state they cost nothing.
      if (!isLimited) return;
      // The others have found it sound for so long that they no longer report it.
      if (now() - roundAt > END_RETENTION_MS + REPORT_RETENTION_MS) earned = slots;
    } else if (report.bornAtMs === bornAtMs) {
      peers.set(gatewayId, { report, at: now() });
      follow(report);
    }
    update();
  }

  function follow(report: PaceReport): void {
    if (report.round > round || (report.round === round && report.start < start)) {
      beginRound(report.round, report.start, 'report', report.allowance);
    } else if (report.round < round || report.allowance < earned) {
      // Tells a gateway that joined or was cut off what is in force.
      reportedUntil = now() + END_RETENTION_MS;
    }
    if (isOfRound(report)) earned = Math.max(earned, Math.min(slots, report.allowance));
  }

  function isOfRound(report: PaceReport): boolean {
    return report.round === round && report.start === start;
  }

  /** Brings the allowance up to date with the signs that all gateways have seen. */
  function update(): void {
    const goodCount =
      sumOf(recentGood) + sumPeers((report) => report.recentGood, SIGN_RETENTION_MS);
    const badCount = sumOf(recentBad) + sumPeers((report) => report.recentBad, SIGN_RETENTION_MS);
    // One more than are served in time may always run. It takes no more than its prompt from them.
    const floor = 1 + serving + sumPeers((report) => report.serving, SIGN_RETENTION_MS);
    if (isLimited) {
      const raised = start + good + sumPeers((report) => report.good);
      earned = Math.max(earned, Math.min(slots, Math.max(raised, floor)));
      const cut = Math.max(earned * CUT_SHARE, floor);
      const isBad = badCount > 0 && badCount >= BAD_SHARE * (goodCount + badCount);
      if (isBad && cut < earned) beginRound(round + 1, cut, 'responses');
    } else if (isBadForLong(badCount)) {
      const cut = Math.max(slots * ESTABLISHED_CUT_SHARE, floor);
      if (cut < earned) beginRound(round + 1, cut, 'responses');
    }
    if (isLimited && earned >= slots) endLimit();
  }

  function isBadForLong(badCount: number): boolean {
    // While bad signs come, so do checks; a longer break between them is an interruption.
    const wasInterrupted = now() - badCheckedAt > WINDOW_MS;
    badCheckedAt = now();
    const isBad = badCount >= Math.max(MIN_ESTABLISHED_BAD, slots / 2);
    if (wasInterrupted || !isBad) badSince = undefined;
    if (isBad) badSince ??= now();
    return badSince !== undefined && now() - badSince >= SUSTAINED_MS;
  }

  /** `reached` is the allowance of a round that others have begun before. */
  function beginRound(number: number, from: number, reason: LimitReason, reached = from): void {
    round = number;
    start = from;
    earned = Math.max(from, Math.min(slots, reached));
    roundAt = now();
    good = 0;
    recentGood.length = 0;
    recentBad.length = 0;
    badSince = undefined;
    reportedUntil = now() + END_RETENTION_MS;
    if (isLimited || earned >= slots) return;
    isLimited = true;
    limitedAt = now();
    host.onLimited(earned, reason);
  }

  function endLimit(): void {
    isLimited = false;
    fullAt = now();
    recentBad.length = 0;
    reportedUntil = now() + END_RETENTION_MS;
    host.onFull(now() - limitedAt);
  }

  function createReport(): PaceReport | undefined {
    checkEjection();
    const [goodCount, badCount] = [sumOf(recentGood), sumOf(recentBad)];
    if (!isLimited && badCount === 0 && now() > reportedUntil) return undefined;
    return {
      bornAtMs,
      round,
      start,
      allowance: earned,
      good,
      recentGood: goodCount,
      recentBad: badCount,
      isWanted: host.wantedSince() !== undefined,
      serving,
    };
  }

  /** Sums a count of the other gateways' recent reports of this round. */
  function sumPeers(
    getCount: (report: PaceReport) => number,
    retentionMs = REPORT_RETENTION_MS,
  ): number {
    const oldest = now() - retentionMs;
    let sum = 0;
    for (const { report, at } of peers.values()) {
      if (at >= oldest && isOfRound(report)) sum += getCount(report);
    }
    return sum;
  }

  function countIdle(): number {
    const oldest = now() - REPORT_RETENTION_MS;
    let count = 0;
    for (const { report, at } of peers.values()) {
      if (at >= oldest && !report.isWanted) count += 1;
    }
    return count;
  }

  function sumOf(signs: Sign[]): number {
    dropOld(signs);
    return signs.reduce((sum, { weight }) => sum + weight, 0);
  }

  function dropOld(signs: Sign[]): void {
    const oldest = now() - WINDOW_MS;
    while (signs[0] !== undefined && signs[0].at < oldest) signs.shift();
  }
}
