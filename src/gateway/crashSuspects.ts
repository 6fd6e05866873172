/**
 * Identifies requests that crash the endpoints running them, by a digest of their content, across
 * all gateways. A crash is counted for every request that was running when its endpoint went away.
 * This includes requests that were merely interrupted by another one's crash, so a request becomes
 * a suspect only after several crashes.
 */

import { createHash } from 'node:crypto';
import type { CrashCount, GatewayReport } from '../generated/control.js';
import type { Call } from './types.js';

const MAX_CRASHES = 3;
const RETENTION_MS = 60_000;
const MAX_ENTRIES = 2_000;

/** Crash counts by content digest. */
export interface CrashSuspects {
  /** 0 if no crashes are recorded here or reported by other gateways. */
  readonly size: number;
  /** Whether requests with this content must not be sent to any endpoint. */
  isSuspect(digest: string): boolean;
  recordCrash(digest: string): void;
  applyReport(report: GatewayReport): void;
  /** Crashes seen by this gateway, for its own report. */
  listCounts(): CrashCount[];
}

interface Count {
  crashes: number;
  at: number;
}

/** Returns a digest of the content of a call: target, team and body. */
export function getCallDigest({ head, team, body }: Call): string {
  const hash = createHash('sha256').update(`${head.target}\n${team?.name ?? ''}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest('base64url').slice(0, 22);
}

export function createCrashSuspects(now: () => number): CrashSuspects {
  const own = new Map<string, Count>();
  const peers = new Map<string, Map<string, number>>();

  return {
    get size() {
      return own.size + peers.size;
    },
    isSuspect,
    recordCrash,
    applyReport,
    listCounts,
  };

  function isSuspect(digest: string): boolean {
    let crashes = own.get(digest)?.crashes ?? 0;
    for (const counts of peers.values()) crashes += counts.get(digest) ?? 0;
    return crashes >= MAX_CRASHES;
  }

  function recordCrash(digest: string): void {
    dropOld();
    own.set(digest, { crashes: (own.get(digest)?.crashes ?? 0) + 1, at: now() });
  }

  function dropOld(): void {
    const oldest = now() - RETENTION_MS;
    for (const [digest, { at }] of own) {
      if (at < oldest || own.size >= MAX_ENTRIES) own.delete(digest);
    }
  }

  function applyReport({ gatewayId, crashes }: GatewayReport): void {
    if (crashes.length === 0) peers.delete(gatewayId);
    else peers.set(gatewayId, new Map(crashes.map((count) => [count.digest, count.crashes])));
  }

  function listCounts(): CrashCount[] {
    return [...own].map(([digest, { crashes }]) => ({ digest, crashes }));
  }
}
