/** How much other work on its VM slows an endpoint down, as it last stated to any gateway. */

import type { SlowdownStatement } from '../generated/control.js';

/** Age after which a statement is ignored: other work on a VM comes and goes in this time. */
const RETENTION_MS = 600;

/** Slowdown of one endpoint. */
export interface VmSlowdown {
  /** How long work takes there now, relative to its usual time; 1 if that is not known. */
  readonly current: number;
  /** Records what the endpoint stated in a response. */
  record(slowdown: number): void;
  /** Applies what the endpoint stated to another gateway, unless something newer is known. */
  applyPeer(statement: SlowdownStatement): void;
  /** Returns what was stated to this gateway since the last call, for its report. */
  takeStatement(): SlowdownStatement | undefined;
}

/** Creates the state of an endpoint that has stated nothing. */
export function createVmSlowdown(now: () => number): VmSlowdown {
  let slowdown = 1;
  let statedAt = Number.NEGATIVE_INFINITY;
  let isReported = true;

  return {
    get current() {
      return now() - statedAt > RETENTION_MS ? 1 : slowdown;
    },
    record(stated) {
      slowdown = stated;
      statedAt = now();
      isReported = false;
    },
    applyPeer({ percent, ageMs }) {
      const at = now() - ageMs;
      if (at <= statedAt) return;
      slowdown = percent / 100;
      statedAt = at;
      isReported = true;
    },
    takeStatement() {
      if (isReported) return undefined;
      isReported = true;
      return { percent: Math.round(100 * slowdown), ageMs: Math.round(now() - statedAt) };
    },
  };
}
