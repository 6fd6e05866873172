/** What became of this incarnation's grants. */

const MAX_GRANTS = 50_000;

export type GrantFate = 'started' | 'voided';

/** Fates of the latest grants. */
export interface GrantLedger {
  /** Undefined for a grant that is open or was never given. */
  tryGet(grantId: string): GrantFate | undefined;
  /** The first fate noted is final. */
  note(grantId: string, fate: GrantFate): void;
}

/** Creates an empty ledger. */
export function createGrantLedger(): GrantLedger {
  const fates = new Map<string, GrantFate>();

  return { tryGet: (grantId) => fates.get(grantId), note };

  function note(grantId: string, fate: GrantFate): void {
    if (grantId === '' || fates.has(grantId)) return;
    fates.set(grantId, fate);
    if (fates.size <= MAX_GRANTS) return;
    const [oldest] = fates.keys();
    if (oldest !== undefined) fates.delete(oldest);
  }
}
