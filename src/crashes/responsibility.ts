/**
 * Decides from crash records which traits of requests crash endpoints. The requests that crash an
 * endpoint have further traits in common with sound ones, and sound requests are under way at the
 * same crashes; neither may be refused.
 */

import type { CrashRecord } from '../generated/control.js';
import { mayBeResponsible, RESPONSIBLE_CRASHES } from './crashRecords.js';

/**
 * Returns the fewest traits that explain the crashes: repeatedly the trait with the most crashes,
 * as long as enough of them are not explained by the traits before it. Of two traits with the same
 * crashes the more specific one comes first, as it affects fewer requests.
 */
export function findResponsibleTraits(records: readonly CrashRecord[]): Set<string> {
  const responsible = new Set<string>();
  const explained = new Set<string>();
  const candidates = records.filter(mayBeResponsible).sort(compareByExplanation);
  for (const { trait, crashes } of candidates) {
    const unexplained = crashes.filter((crash) => !explained.has(crash));
    if (unexplained.length < RESPONSIBLE_CRASHES) continue;
    responsible.add(trait);
    for (const crash of crashes) explained.add(crash);
  }
  return responsible;
}

function compareByExplanation(left: CrashRecord, right: CrashRecord): number {
  const byCrashes = right.crashes.length - left.crashes.length;
  if (byCrashes !== 0) return byCrashes;
  if (left.specificity !== right.specificity) return right.specificity - left.specificity;
  return left.trait < right.trait ? -1 : 1;
}
