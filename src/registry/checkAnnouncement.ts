/**
 * Validation of announcements. They may come from another writer than an endpoint, so each value is
 * checked before an announcement is held or passed on: it has to fit into the feed's messages and
 * into what a gateway sends to the endpoint.
 */

import { isIPv4 } from 'node:net';
import type { Announcement } from '../generated/control.js';
import { splitAddress } from '../common/settings.js';

/** States of an endpoint, in the order in which each of its incarnations goes through them. */
export const lifecycleStates = ['ready', 'leaving', 'gone'] as const;

export type EndpointState = (typeof lifecycleStates)[number];

const MAX_TEXT_CHARACTERS = 255;
const MAX_UINT32 = 2 ** 32 - 1;
const MAX_PORT = 65_535;
/**
 * Latest start of an endpoint, in milliseconds since the epoch. Later values are of another unit;
 * none could be followed by that of a later incarnation.
 */
const MAX_BORN_AT_MS = Date.UTC(10_000, 0) - 1;

/** Returns what is wrong with an announcement, or undefined if it is valid. */
export function tryGetAnnouncementProblem(announcement: Announcement): string | undefined {
  const { endpointId, state, pool, address, failureDomain, softwareVersion } = announcement;
  // The id is sent to the endpoint in a header.
  if (!isText(endpointId) || !/^[\x21-\x7e]+$/.test(endpointId)) return 'endpoint id is no token';
  if (!isInteger(announcement.bornAtMs, MAX_BORN_AT_MS)) return 'start time is out of range';
  if (!isInteger(announcement.sequence, Number.MAX_SAFE_INTEGER)) return 'sequence is out of range';
  if (!lifecycleStates.includes(state as EndpointState)) return 'state is unknown';
  if (!isText(pool) || pool === '') return 'pool is no name';
  if (!isAddress(address)) return 'address is not IP:PORT';
  if (!isText(failureDomain)) return 'failure domain is no name';
  if (!isText(softwareVersion)) return 'software version is no name';
  if (!isInteger(announcement.slots, MAX_UINT32)) return 'number of slots is out of range';
  if (!isInteger(announcement.warmingForMs, MAX_UINT32)) return 'warm-up time is out of range';
  return undefined;
}

function isInteger(value: number, max: number): boolean {
  return Number.isSafeInteger(value) && value >= 0 && value <= max;
}

/** Whether a value is a short text without unpaired surrogates, which UTF-8 cannot encode. */
function isText(value: unknown): value is string {
  if (typeof value !== 'string' || value.length > MAX_TEXT_CHARACTERS) return false;
  return !/\p{Surrogate}/u.test(value);
}

function isAddress(address: unknown): boolean {
  if (!isText(address) || !/:[1-9]\d*$/.test(address)) return false;
  const { host, port } = splitAddress(address);
  return isIPv4(host) && port <= MAX_PORT;
}
