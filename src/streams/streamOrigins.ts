/**
 * Where streams have begun: the pool and the software version whose endpoint sent the first event.
 * A stream may continue only there, possibly at another gateway after its first one is gone. Each
 * gateway holds the origins of its own streams, every keeper those of all gateways.
 */

import type { StreamOrigin } from '../generated/control.js';

/** Longest time after its first event for which a stream may be taken up again. */
const RETENTION_MS = 60_000;
const MAX_ORIGINS = 32_768;
/** Number of dropped entries from which on the list of entries is compacted. */
const MIN_COMPACTION = 1_024;

/** Origins of recent streams, bounded in age and number. */
export interface StreamOrigins {
  readonly size: number;
  /** Records an origin, unless it is known already with as many corrections. */
  record(origin: StreamOrigin): void;
  /** Returns the origin of the stream whose first event was sent in response to request `callId`. */
  tryGet(callId: string): StreamOrigin | undefined;
  list(): StreamOrigin[];
  /** Opens a cursor before the oldest origin. */
  openCursor(): StreamOriginCursor;
}

/** Follows the additions to a collection for one receiver. */
export interface StreamOriginCursor {
  /** Returns the origins that have been recorded since the last call; all of them at first. */
  takeAdded(): StreamOrigin[];
}

/** Asks all connected keepers; resolves when each has answered or failed. */
export type KeeperQuestion = (
  callIds: string[],
  onOrigins: (origins: StreamOrigin[]) => void,
) => Promise<void>;

interface StoredOrigin {
  origin: StreamOrigin;
  begunAt: number;
}

/** Creates an empty collection; `now` returns monotonic time in milliseconds. */
export function createStreamOrigins(now: () => number): StreamOrigins {
  const byCallId = new Map<string, StoredOrigin>();
  /** In order of recording. Those before `first` have been dropped. */
  let entries: StoredOrigin[] = [];
  let first = 0;
  /** Number of entries that have been removed from the front of `entries`. */
  let removed = 0;

  return {
    get size() {
      dropExpired();
      return byCallId.size;
    },
    record,
    tryGet(callId) {
      const stored = byCallId.get(callId);
      return stored === undefined || isExpired(stored) ? undefined : toOrigin(stored);
    },
    list: () => listSince(0),
    openCursor,
  };

  function record(origin: StreamOrigin): void {
    dropExpired();
    const known = byCallId.get(origin.callId);
    if (known !== undefined && known.origin.corrections >= origin.corrections) return;
    const stored = { origin, begunAt: now() - origin.ageMs };
    if (isExpired(stored)) return;
    byCallId.set(origin.callId, stored);
    entries.push(stored);
    while (byCallId.size > MAX_ORIGINS) dropFirst();
  }

  function openCursor(): StreamOriginCursor {
    let taken = 0;
    return {
      takeAdded() {
        const added = listSince(taken);
        taken = removed + entries.length;
        return added;
      },
    };
  }

  /** Lists the entries from the one on that was recorded as number `from` of all. */
  function listSince(from: number): StreamOrigin[] {
    dropExpired();
    return entries.slice(Math.max(first, from - removed)).map(toOrigin);
  }

  function toOrigin({ origin, begunAt }: StoredOrigin): StreamOrigin {
    return { ...origin, ageMs: Math.round(now() - begunAt) };
  }

  function isExpired({ begunAt }: StoredOrigin): boolean {
    return now() - begunAt > RETENTION_MS;
  }

  function dropExpired(): void {
    for (let oldest = entries[first]; oldest !== undefined; oldest = entries[first]) {
      if (!isExpired(oldest)) return;
      dropFirst();
    }
  }

  function dropFirst(): void {
    const oldest = entries[first];
    if (oldest === undefined) return;
    const { callId } = oldest.origin;
    // A corrected origin follows later.
    if (byCallId.get(callId) === oldest) byCallId.delete(callId);
    first += 1;
    if (first < MIN_COMPACTION) return;
    entries = entries.slice(first);
    removed += first;
    first = 0;
  }
}
