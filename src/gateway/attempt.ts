/** One attempt to have an endpoint serve a request: the response so far and its load accounting. */

import type { Clock } from '../common/clock.js';
import type { MemoryPart } from '../common/clientMemory.js';
import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import type { Exchange } from './endpointClient.js';
import type { WatchedAttempt } from './stallDetector.js';
import type { ResponseHead } from './types.js';

/** Larger responses are forwarded as they arrive and not retried once they have started. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** The same while the gateway holds too much. */
const MAX_BUFFERED_BYTES_WHEN_SHORT = 16 * 1024;

/** Dependencies of an attempt. */
export interface AttemptHost {
  clock: Clock;
  endpoints: EndpointTracker;
  heldBytes: MemoryPart;
}

/** An attempt in progress. */
export interface Attempt {
  readonly endpoint: Endpoint;
  /** Of the incarnation that sends the response, which may have announced itself only after it began. */
  readonly softwareVersion: string;
  readonly sentAt: number;
  /** Undefined until the request has been passed to the endpoint's client. */
  exchange: Exchange | undefined;
  watched: WatchedAttempt | undefined;
  head: ResponseHead | undefined;
  /** When the newest bytes of the response arrived. */
  readonly lastByteAt: number | undefined;
  /** Records bytes of the response; returns the time since the previous ones, in milliseconds. */
  recordBytes(): number;
  /** Records a chunk of a stream. */
  recordChunk(): void;
  /** Records that the response is complete. */
  recordEnd(): void;
  /** Buffers bytes of a response that is forwarded later. */
  buffer(chunk: Buffer): void;
  /** Whether the response should be forwarded as it arrives from now on. */
  readonly isBufferFull: boolean;
  takeBuffered(): Buffer;
  /** Removes the prompt from the endpoint's backlog unless the response has started. */
  close(): void;
}

/** Records an attempt at its endpoint, which processes `promptTokens` before the response starts. */
export function createAttempt(
  { clock, endpoints, heldBytes }: AttemptHost,
  endpoint: Endpoint,
  promptTokens: number,
): Attempt {
  const sentAt = clock.now();
  const pendingTokens = endpoints.getUnreadTokens(endpoint) + promptTokens;
  let chunks = 0;
  let firstChunkAt = 0;
  let lastByteAt: number | undefined;
  let buffered: Buffer[] = [];
  let bufferedBytes = 0;
  let isForwarded = false;
  let isPromptRemoved = false;
  endpoint.unreadTokens += promptTokens;

  return {
    endpoint,
    get softwareVersion() {
      const { announcement, successor } = endpoint;
      const isSuccessor = successor !== undefined && (lastByteAt ?? 0) >= successor.since;
      return isSuccessor ? successor.softwareVersion : announcement.softwareVersion;
    },
    sentAt,
    exchange: undefined,
    watched: undefined,
    head: undefined,
    get lastByteAt() {
      return lastByteAt;
    },
    recordBytes,
    recordChunk,
    recordEnd() {
      if (chunks > 0) endpoint.speed.recordStream(chunks, clock.now() - firstChunkAt);
    },
    buffer(chunk) {
      buffered.push(chunk);
      bufferedBytes += chunk.length;
      heldBytes.add(chunk.length);
    },
    get isBufferFull() {
      if (isForwarded || bufferedBytes > MAX_BUFFERED_BYTES) return true;
      return heldBytes.isExceeded && bufferedBytes > MAX_BUFFERED_BYTES_WHEN_SHORT;
    },
    takeBuffered() {
      const bytes = Buffer.concat(buffered);
      isForwarded = true;
      dropBuffered();
      return bytes;
    },
    close() {
      removePrompt();
      dropBuffered();
    },
  };

  function dropBuffered(): void {
    heldBytes.add(-bufferedBytes);
    buffered = [];
    bufferedBytes = 0;
  }

  function recordBytes(): number {
    const time = clock.now();
    const pauseMs = time - (lastByteAt ?? time);
    lastByteAt = time;
    endpoint.lastActivityAt = time;
    endpoint.health.recordResponseData(time);
    return pauseMs;
  }

  function recordChunk(): void {
    chunks += 1;
    if (chunks > 1) return;
    firstChunkAt = clock.now();
    removePrompt();
    if (pendingTokens > 0) endpoint.speed.recordFirstChunk(pendingTokens, firstChunkAt - sentAt);
  }

  function removePrompt(): void {
    if (isPromptRemoved) return;
    isPromptRemoved = true;
    endpoint.unreadTokens -= promptTokens;
  }
}
