/** Outcomes of the grants that this incarnation of the agent has issued. */

const MAX_GRANTS = 50_000;

export type GrantOutcome = 'started' | 'voided';

/** Outcomes of the most recent grants. */
export interface GrantHistory {
  /** Undefined for a grant that is still open or was never issued. */
  tryGet(grantId: string): GrantOutcome | undefined;
  /** The first outcome recorded for a grant is final. */
  record(grantId: string, outcome: GrantOutcome): void;
}

/** Creates an empty history. */
export function createGrantHistory(): GrantHistory {
  const outcomes = new Map<string, GrantOutcome>();

  return { tryGet: (grantId) => outcomes.get(grantId), record };

  function record(grantId: string, outcome: GrantOutcome): void {
    if (grantId === '' || outcomes.has(grantId)) return;
    outcomes.set(grantId, outcome);
    if (outcomes.size <= MAX_GRANTS) return;
    const [oldest] = outcomes.keys();
    if (oldest !== undefined) outcomes.delete(oldest);
  }
}
