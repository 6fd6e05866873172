/**
 * Keeps requests that crash endpoints from being sent. After a crash, every trait of the requests
 * whose responses the endpoint had not begun is recorded, unless other requests with the trait have
 * been served. Records are shared by all gateways; a trait that explains several crashes is refused.
 */

import { createHash } from 'node:crypto';
import type { Logger } from '../common/logging.js';
import { RESPONSIBLE_RETENTION_MS, type CrashRecords } from '../crashes/crashRecords.js';
import { findResponsibleTraits } from '../crashes/responsibility.js';
import type { Announcement, CrashRecord } from '../generated/control.js';
import type { InterruptedCall } from './crashDetector.js';
import { createRecentTraits } from './recentTraits.js';
import type { LocalReply } from './responseWriter.js';
import type { Call } from './types.js';

/** Time for which a response that has begun shows that the traits of its request are harmless. */
const BEGUN_RETENTION_MS = 15_000;
const MAX_BEGUN_PARTS = 8_192;
/** Only contents that are requested again and again matter, which are few. */
const MAX_BEGUN_CONTENTS = 2_048;
/** Specificity of the whole content of a request; parts of prompts have their position. */
const CONTENT_SPECIFICITY = 1_000_000;
const CONTENT_PREFIX = 'content ';

/** Reply to a request that is not sent to any endpoint. */
export const suspectReply: LocalReply = {
  status: 503,
  reason: 'requests like this one crash endpoints',
  retryAfterMs: RESPONSIBLE_RETENTION_MS,
};

/** The content of a request, as far as its traits depend on it. */
export type RequestContent = Pick<Call, 'head' | 'team' | 'body'>;

/** Dependencies of the suspects. */
export interface CrashSuspectsHost {
  now(): number;
  logger: Logger;
  records: CrashRecords;
}

/** Requests that crash endpoints, as known to one gateway. */
export interface CrashSuspects {
  /** Whether the request must not be sent to any endpoint. */
  isSuspect(content: RequestContent): boolean;
  /** Records that the response to a request has begun. */
  recordBegun(content: RequestContent): void;
  recordCrash(endpoint: Announcement, interrupted: readonly InterruptedCall[]): void;
  /** Merges records of other gateways. */
  receive(records: readonly CrashRecord[]): void;
}

interface Trait {
  trait: string;
  specificity: number;
}

/** Returns a digest of the content of a request: host, target, team and body. */
function getContentDigest({ head, team, body }: RequestContent): string {
  const hash = createHash('sha256').update(`${head.host}\n${head.target}\n${team?.name ?? ''}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest('base64url').slice(0, 22);
}

export function createCrashSuspects(host: CrashSuspectsHost): CrashSuspects {
  const { now, logger, records } = host;
  const begunParts = createRecentTraits(now, BEGUN_RETENTION_MS, MAX_BEGUN_PARTS);
  const begunContents = createRecentTraits(now, BEGUN_RETENTION_MS, MAX_BEGUN_CONTENTS);
  let responsible = new Set<string>();
  let evaluatedVersion = records.version;
  let isContentResponsible = false;

  return { isSuspect, recordBegun, recordCrash, receive };

  function isSuspect(content: RequestContent): boolean {
    evaluate();
    if (responsible.size === 0) return false;
    const traits = isContentResponsible ? listTraits(content) : listPartTraits(content);
    return traits.some(({ trait }) => responsible.has(trait));
  }

  function recordBegun(content: RequestContent): void {
    for (const part of content.head.sharedParts) begunParts.record(getPartTrait(part));
    // Prompts with parts in common differ in their last part, so their contents do not recur.
    if (content.head.sharedParts.length === 0) begunContents.record(getContentTrait(content));
    if (records.size > 0) listTraits(content).forEach(clear);
  }

  function recordCrash(endpoint: Announcement, interrupted: readonly InterruptedCall[]): void {
    const crash = `${endpoint.endpointId} ${endpoint.bornAtMs}`;
    for (const { call, hasBegun } of interrupted) {
      if (hasBegun) continue;
      for (const { trait, specificity } of listTraits(call)) {
        if (hasBegunRecently(trait)) continue;
        records.merge({ trait, specificity, crashes: [crash], isCleared: false, ageMs: 0 });
      }
    }
    evaluate();
  }

  function receive(received: readonly CrashRecord[]): void {
    for (const record of received) {
      if (records.merge(record) && hasBegunRecently(record.trait)) clear(record);
    }
    evaluate();
  }

  function hasBegunRecently(trait: string): boolean {
    return begunParts.has(trait) || begunContents.has(trait);
  }

  /** Marks the record of a trait, if there is one, as no evidence. */
  function clear({ trait, specificity }: Trait): void {
    const known = records.tryGet(trait);
    if (known === undefined || known.isCleared) return;
    records.merge({ trait, specificity, crashes: [], isCleared: true, ageMs: 0 });
  }

  /** Decides anew which traits are refused, if any record has changed. */
  function evaluate(): void {
    if (records.version === evaluatedVersion) return;
    const before = responsible;
    responsible = findResponsibleTraits(records.list());
    isContentResponsible = [...responsible].some(isContent);
    evaluatedVersion = records.version;
    for (const trait of responsible) {
      if (before.has(trait)) continue;
      const crashes = records.tryGet(trait)?.crashes ?? [];
      logger.event('crashTraitRefused', { trait, crashes: crashes.join(',') });
    }
    for (const trait of before) {
      if (!responsible.has(trait)) logger.event('crashTraitAdmitted', { trait });
    }
  }
}

function listTraits(content: RequestContent): Trait[] {
  const trait = getContentTrait(content);
  return [...listPartTraits(content), { trait, specificity: CONTENT_SPECIFICITY }];
}

function getContentTrait(content: RequestContent): string {
  return `${CONTENT_PREFIX}${getContentDigest(content)}`;
}

function isContent(trait: string): boolean {
  return trait.startsWith(CONTENT_PREFIX);
}

function listPartTraits({ head }: RequestContent): Trait[] {
  return head.sharedParts.map((part, specificity) => ({ trait: getPartTrait(part), specificity }));
}

function getPartTrait(part: string): string {
  return `part ${part}`;
}
