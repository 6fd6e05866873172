/**
 * Requests that crash the endpoints which run them, known by their content over all gateways. A
 * request counts when its endpoint went away while it ran there, so one that was merely cut off
 * beside it counts as well; hence only several crashes make it a suspect.
 */

import { createHash } from 'node:crypto';
import type { CrashCount, GatewayReport } from '../generated/control.js';
import type { Call } from './types.js';

const MAX_CRASHES = 3;
const RETENTION_MS = 60_000;
const MAX_ENTRIES = 2_000;

/** Counts crashes by content. */
export interface CrashSuspects {
  /** Contents counted here or elsewhere. */
  readonly size: number;
  /** Whether a request with this content is no longer sent to any endpoint. */
  isSuspect(digest: string): boolean;
  recordCrash(digest: string): void;
  applyReport(report: GatewayReport): void;
  /** Crashes seen here, for this gateway's own report. */
  listCounts(): CrashCount[];
}

interface Count {
  crashes: number;
  at: number;
}

/** Identifies the content of a call: path, team and body. */
export function getCallDigest({ head, team, body }: Call): string {
  const hash = createHash('sha256').update(`${head.target}\n${team?.name ?? ''}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest('base64url').slice(0, 22);
}

/** Creates an empty record. */
export function createCrashSuspects(now: () => number): CrashSuspects {
  const own = new Map<string, Count>();
  const peers = new Map<string, Map<string, number>>();

  return {
    get size() {
      return own.size + peers.size;
    },
    isSuspect,
    recordCrash: note,
    applyReport: receive,
    listCounts,
  };

  function isSuspect(digest: string): boolean {
    let crashes = own.get(digest)?.crashes ?? 0;
    for (const counts of peers.values()) crashes += counts.get(digest) ?? 0;
    return crashes >= MAX_CRASHES;
  }

  function note(digest: string): void {
    forgetOld();
    own.set(digest, { crashes: (own.get(digest)?.crashes ?? 0) + 1, at: now() });
  }

  function forgetOld(): void {
    const oldest = now() - RETENTION_MS;
    for (const [digest, { at }] of own) {
      if (at < oldest || own.size >= MAX_ENTRIES) own.delete(digest);
    }
  }

  function receive({ gatewayId, crashes }: GatewayReport): void {
    if (crashes.length === 0) peers.delete(gatewayId);
    else peers.set(gatewayId, new Map(crashes.map((count) => [count.digest, count.crashes])));
  }

  function listCounts(): CrashCount[] {
    return [...own].map(([digest, { crashes }]) => ({ digest, crashes }));
  }
}
