/** Chooses an endpoint for a request: the one with the least load for its size, at random among equals. */

import type { Endpoint } from './endpointBook.js';

/** What the choice needs to know of an endpoint. */
export interface Candidate {
  endpoint: Endpoint;
  /** Requests there, from all gateways. */
  occupancy: number;
  slots: number;
}

/** Loads that differ by less than this share of the slots count as equal, since reports are late. */
const EQUAL_SHARE = 0.05;

/**
 * The endpoint with the smallest share of its slots taken, undefined when all are full. Gateways
 * that choose at the same time on the same reports must not all choose the same one, hence `random`.
 */
export function tryChooseEndpoint(
  candidates: readonly Candidate[],
  random: () => number,
): Endpoint | undefined {
  const free = candidates.filter(({ occupancy, slots }) => occupancy < slots);
  const least = Math.min(...free.map(getLoad));
  const equals = free.filter((candidate) => getLoad(candidate) <= least + EQUAL_SHARE);
  return equals[Math.floor(random() * equals.length)]?.endpoint;
}

function getLoad({ occupancy, slots }: Candidate): number {
  return occupancy / slots;
}
