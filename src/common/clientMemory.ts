/**
 * Counts what a process holds for its clients, against one limit for all of them: connections and
 * their requests, bodies, and responses that were not read. Each use has a part of the limit.
 */

import type { Logger } from './logging.js';

export const bytesPerMb = 1024 * 1024;
/** Memory of a VM whose settings do not state it. */
const DEFAULT_MEMORY_MB = 256;
/**
 * Part of the memory of the VM. The rest is for the process without clients, for what sockets and
 * the kernel hold beside each response, and for what has been freed and not been collected yet.
 */
const CLIENT_SHARE = 1 / 4;
/** Part of the limit that bodies may take; one is joined from its parts, which doubles it for a while. */
const BODY_SHARE = 2 / 3;
/** Sockets hold as much again for each response that is not read. */
const RESPONSE_SHARE = 1 / 3;

/**
 * Why a client was refused or its connection was closed. An unused body is one that goes on in small
 * chunks after the response.
 */
export type LimitReason =
  'requests' | 'bodyRoom' | 'stalledBody' | 'unusedBody' | 'unreadResponses';

/** Bytes that are held for one use. */
export interface MemoryPart {
  readonly total: number;
  readonly limit: number;
  /** Whether the limit of this use, or that of the whole account, is exceeded. */
  readonly isExceeded: boolean;
  /** Whether so many more bytes stay within both limits. */
  hasRoom(bytes: number): boolean;
  /** Adds bytes, or removes them if the number is negative. */
  add(bytes: number): void;
}

/** The account of a process. */
export interface ClientMemory {
  readonly total: number;
  readonly limit: number;
  /** Connections and the heads of their requests; they may take all that is left. */
  readonly requests: MemoryPart;
  readonly bodies: MemoryPart;
  readonly responses: MemoryPart;
  readonly logger: Pick<Logger, 'event'>;
  /** Counts a refusal or a closed connection. */
  countLimited(reason: LimitReason): void;
}

/** Settings and dependencies of the account. */
export interface ClientMemoryHost {
  memoryMb?: number | undefined;
  clientMemoryMb?: number | undefined;
  logger?: Pick<Logger, 'event'>;
  onLimited?(reason: LimitReason): void;
}

export function createClientMemory(host: ClientMemoryHost = {}): ClientMemory {
  const limit =
    (host.clientMemoryMb ?? (host.memoryMb ?? DEFAULT_MEMORY_MB) * CLIENT_SHARE) * bytesPerMb;
  let total = 0;

  return {
    get total() {
      return total;
    },
    limit,
    requests: createPart(limit),
    bodies: createPart(limit * BODY_SHARE),
    responses: createPart(limit * RESPONSE_SHARE),
    logger: host.logger ?? { event() {} },
    countLimited: (reason) => host.onLimited?.(reason),
  };

  function createPart(partLimit: number): MemoryPart {
    let partTotal = 0;
    return {
      get total() {
        return partTotal;
      },
      limit: partLimit,
      get isExceeded() {
        return partTotal > partLimit || total > limit;
      },
      hasRoom: (bytes) => partTotal + bytes <= partLimit && total + bytes <= limit,
      add(bytes) {
        partTotal += bytes;
        total += bytes;
      },
    };
  }
}
