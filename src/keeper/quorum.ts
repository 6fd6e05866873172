/**
 * Which voters decide elections, commits and leases. A majority does, with two additions.
 *
 * A voter whose store is lost for good can neither vote nor acknowledge again. With an even number of
 * voters, half of them decide while one of the others is known to be lost: two disjoint halves could
 * only decide if each had agreed before the other lost its voter. This requires that all agreement
 * which is counted was asked for after the loss was known.
 *
 * Such a half need not meet a majority of the membership after the next change. So until a change is
 * known to be committed, a decision needs the voters of the membership before it as well.
 * docs/design/voters.md gives the argument.
 */

import type { Membership, Replica } from '../generated/keeper.js';

/** Stores of voters that are known to be lost for good. */
export type LostStores = ReadonlySet<string>;

/** Returns the number of voters that decide. */
export function getQuorumSize(voters: readonly Replica[], lostStores: LostStores): number {
  const half = Math.floor(voters.length / 2);
  const isEven = voters.length % 2 === 0;
  const hasLost = voters.some(({ storeId }) => lostStores.has(storeId));
  return isEven && hasLost ? half : half + 1;
}

/** Whether the replicas that agree decide in each of the memberships. */
export function hasQuorum(
  memberships: readonly Membership[],
  lostStores: LostStores,
  agrees: (storeId: string) => boolean,
): boolean {
  return memberships.every(({ voters }) => {
    const agreeing = voters.filter(({ storeId }) => agrees(storeId)).length;
    return agreeing >= getQuorumSize(voters, lostStores);
  });
}

/** Returns the largest value that deciding voters of each membership reach. */
export function getQuorumValue(
  memberships: readonly Membership[],
  lostStores: LostStores,
  getValue: (storeId: string) => number,
): number {
  const reached = memberships.map(({ voters }) => {
    const values = voters.map(({ storeId }) => getValue(storeId));
    const descending = values.toSorted((left, right) => right - left);
    return descending[getQuorumSize(voters, lostStores) - 1] ?? Number.NEGATIVE_INFINITY;
  });
  return Math.min(...reached);
}
