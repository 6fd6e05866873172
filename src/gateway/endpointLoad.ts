/** What a gateway reports of one endpoint to the other gateways. */

import type { EndpointLoad } from '../generated/control.js';
import type { Endpoint } from './endpointTracker.js';
import type { RequestRateLimit } from './requestRateLimit.js';

/** Largest number that a report can hold. */
const MAX_REPORTED_TOKENS = 2 ** 32 - 1;

/** Which of the statements on an endpoint are of use to other gateways. */
export interface ReportedKinds {
  /** Its speed and the slowdown of its VM. */
  isShared: boolean;
  /** Its pace. */
  isPaced: boolean;
}

/** Describes the load at an endpoint; returns undefined if there is nothing to report. */
export function tryDescribeLoad(
  endpoint: Endpoint,
  { isShared, isPaced }: ReportedKinds,
  now: number,
): EndpointLoad | undefined {
  const { announcement, running, unreadTokens, health, rateLimit } = endpoint;
  const { isEjected: isOut } = health;
  const rateStatement = toRateStatement(rateLimit, now);
  const pace = isPaced ? endpoint.pace.report : undefined;
  const speed = isShared ? endpoint.sharedSpeed.takeSums() : undefined;
  const slowdown = isShared ? endpoint.vmSlowdown.takeStatement() : undefined;
  const statements = [rateStatement, pace, speed, slowdown];
  if (running === 0 && !isOut && statements.every((each) => each === undefined)) return undefined;
  return {
    endpointId: announcement.endpointId,
    running,
    isOut,
    unreadTokens: Math.min(unreadTokens, MAX_REPORTED_TOKENS),
    rateStatement,
    pace,
    speed,
    slowdown,
  };
}

function toRateStatement(
  { statement, sent, isWanted }: RequestRateLimit,
  now: number,
): EndpointLoad['rateStatement'] {
  if (statement === undefined) return undefined;
  const ageMs = Math.round(now - statement.at);
  return { perSecond: statement.perSecond, ageMs, sent, isWanted };
}
