/** What became of this incarnation's grants. */

const MAX_GRANTS = 50_000;

export type GrantOutcome = 'started' | 'voided';

/** Fates of the latest grants. */
export interface GrantHistory {
  /** Undefined for a grant that is open or was never given. */
  tryGet(grantId: string): GrantOutcome | undefined;
  /** The first fate noted is final. */
  record(grantId: string, fate: GrantOutcome): void;
}

/** Creates an empty ledger. */
export function createGrantHistory(): GrantHistory {
  const fates = new Map<string, GrantOutcome>();

  return { tryGet: (grantId) => fates.get(grantId), record: note };

  function note(grantId: string, fate: GrantOutcome): void {
    if (grantId === '' || fates.has(grantId)) return;
    fates.set(grantId, fate);
    if (fates.size <= MAX_GRANTS) return;
    const [oldest] = fates.keys();
    if (oldest !== undefined) fates.delete(oldest);
  }
}
