/** One attempt to have an endpoint serve a request: the response so far and its load accounting. */

import { createByteBuffer } from '../common/byteBuffer.js';
import type { Clock } from '../common/clock.js';
import type { MemoryPart } from '../common/clientMemory.js';
import type { BegunStream } from './begunStreams.js';
import type { Endpoint, EndpointTracker } from './endpointTracker.js';
import type { Exchange } from './endpointClient.js';
import { isRejection, isSuccess } from './responseStatus.js';
import type { WatchedAttempt } from './stallDetector.js';
import type { PlacementRequest } from './scheduler.js';
import type { AttemptFailure, Call, ResponseHead } from './types.js';
import type { VersionOutcomes } from './versionOutcomes.js';

/** Larger responses are forwarded as they arrive and not retried once they have started. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** The same while the gateway holds too much. */
const MAX_BUFFERED_BYTES_WHEN_SHORT = 16 * 1024;
/** Share of a route's objective that a first event may always take before its endpoint is late. */
const EXPECTED_SHARE = 1 / 4;
/** Ratio to the objective above which a response that has not begun, or has paused, is overdue. */
const OVERDUE_RATIO = 2.5;
/** Time after a late event in which further ones of the same stream are due to the same delay. */
const SAME_DELAY_MS = 600;

/** Reason for which a response is given up whose endpoint has started again as another version. */
export const OTHER_VERSION = 'another software version';

/** Dependencies of an attempt. */
export interface AttemptHost {
  clock: Clock;
  endpoints: EndpointTracker;
  heldBytes: MemoryPart;
  versionOutcomes: VersionOutcomes;
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
  /** The stream that this attempt has begun, if it may be continued elsewhere. */
  begunStream: BegunStream | undefined;
  /** When the newest bytes of the response arrived. */
  readonly lastByteAt: number | undefined;
  /** Records bytes of the response; returns the time since the previous ones, in milliseconds. */
  recordBytes(): number;
  /** Records a chunk of a stream. */
  recordChunk(): void;
  /** Records that the response is complete and not a failure. */
  recordEnd(): void;
  /** Records that no complete response came. */
  recordFailure(failure: AttemptFailure): void;
  /** Records that the call's time is over. */
  recordTimeout(): void;
  /** Records that the caller has left, which shows how long the response would have taken at least. */
  recordAbandonment(): void;
  /** Buffers bytes of a response that is forwarded later. */
  buffer(chunk: Buffer): void;
  /** Whether the buffered bytes should be taken, and the rest be forwarded as it arrives. */
  readonly isBufferFull: boolean;
  /** Whether the buffered bytes have been taken. */
  readonly isForwarded: boolean;
  takeBuffered(): Buffer;
  /** Removes the prompt from the endpoint's backlog unless the response has started. */
  close(): void;
}

/** Records an attempt at its endpoint, which processes `promptTokens` before the response starts. */
export function createAttempt(
  { clock, endpoints, heldBytes, versionOutcomes }: AttemptHost,
  endpoint: Endpoint,
  call: Call,
  { promptTokens, outputTokens }: Pick<PlacementRequest, 'promptTokens' | 'outputTokens'>,
): Attempt {
  const { objectiveMs, pauseObjectiveMs = Number.POSITIVE_INFINITY } = call.route;
  const sentAt = clock.now();
  const pendingTokens = endpoints.getUnreadTokens(endpoint) + promptTokens;
  const promptMs = pendingTokens * endpoints.getPromptTokenMs(endpoint);
  const expectedMs = Math.max(promptMs, EXPECTED_SHARE * objectiveMs);
  const buffered = createByteBuffer(heldBytes);
  let lateAt = Number.NEGATIVE_INFINITY;
  let isServing = false;
  let chunks = 0;
  let firstChunkAt = 0;
  let lastByteAt: number | undefined;
  let longestPauseMs = 0;
  let isForwarded = false;
  let isPromptRemoved = false;
  let firstByteAt: number | undefined;
  const { promptTokenMs, chunkIntervalMs } = endpoint.speed;
  // An incarnation that takes over the address meanwhile must not get an end without a beginning.
  const { softwareVersion: countedVersion } = endpoint.announcement;
  const isCounted = versionOutcomes.recordBegun(call, countedVersion);
  endpoint.unreadTokens += promptTokens;

  const attempt: Attempt = {
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
    begunStream: undefined,
    get lastByteAt() {
      return lastByteAt;
    },
    recordBytes,
    recordChunk,
    recordEnd,
    recordFailure,
    recordTimeout() {
      // An attempt that began late in the call's time has had no chance to end within it.
      const ownMs = clock.now() - sentAt;
      if (isCounted && ownMs >= (call.deadline - call.arrivedAt) / 2) countFailure();
    },
    recordAbandonment() {
      if (isCounted && isOverdue()) versionOutcomes.recordOverdue(call, countedVersion, endpoint);
    },
    buffer: (chunk) => buffered.append(chunk),
    get isBufferFull() {
      if (buffered.length > MAX_BUFFERED_BYTES) return true;
      return heldBytes.isExceeded && buffered.length > MAX_BUFFERED_BYTES_WHEN_SHORT;
    },
    get isForwarded() {
      return isForwarded;
    },
    takeBuffered() {
      isForwarded = true;
      return buffered.take();
    },
    close() {
      removePrompt();
      setServing(false);
      buffered.clear();
    },
  };
  return attempt;

  function isOverdue(): boolean {
    const silentMs = clock.now() - (lastByteAt ?? sentAt);
    const hasPauseObjective = chunks > 0 && Number.isFinite(pauseObjectiveMs);
    return silentMs > OVERDUE_RATIO * (hasPauseObjective ? pauseObjectiveMs : objectiveMs);
  }

  /** Whether the first event of a stream, or the whole of another response, was overdue. */
  function wasOverdue(time: number): boolean {
    return (chunks > 0 ? firstChunkAt : time) - sentAt > OVERDUE_RATIO * objectiveMs;
  }

  function recordBytes(): number {
    const time = clock.now();
    const pauseMs = time - (lastByteAt ?? time);
    lastByteAt = time;
    if (attempt.begunStream !== undefined) attempt.begunStream.lastByteAt = time;
    firstByteAt ??= time;
    if (chunks > 0 && time - lateAt > SAME_DELAY_MS) recordPause(pauseMs, time);
    longestPauseMs = Math.max(longestPauseMs, pauseMs);
    endpoint.lastActivityAt = time;
    endpoint.health.recordResponseData(time);
    return pauseMs;
  }

  function recordPause(pauseMs: number, time: number): void {
    const isLate = pauseMs > pauseObjectiveMs;
    setServing(!isLate);
    if (!isLate) return;
    lateAt = time;
    endpoint.pace.recordLatePause(sentAt);
  }

  function setServing(next: boolean): void {
    if (isServing === next) return;
    isServing = next;
    endpoint.pace.recordServing(next ? 1 : -1);
  }

  function recordChunk(): void {
    chunks += 1;
    if (chunks > 1) return;
    firstChunkAt = clock.now();
    setServing(true);
    endpoint.pace.recordFirstEvent(expectedMs, firstChunkAt - sentAt, sentAt);
    removePrompt();
    if (pendingTokens === 0) return;
    endpoint.speed.recordFirstChunk(pendingTokens, firstChunkAt - sentAt);
    endpoint.sharedSpeed.recordFirstChunk(pendingTokens, firstChunkAt - sentAt);
  }

  function recordEnd(): void {
    const { head } = attempt;
    const time = clock.now();
    if (chunks > 0) recordStream(time - firstChunkAt);
    else endpoint.pace.recordFirstEvent(Math.max(promptMs, objectiveMs), time - sentAt, sentAt);
    if (!isCounted || head === undefined) return;
    if (isRejection(head)) versionOutcomes.recordRejected(call, countedVersion);
    if (!isSuccess(head)) return;
    versionOutcomes.recordCompleted(call, countedVersion, endpoint, {
      firstMs: (firstByteAt ?? time) - sentAt,
      totalMs: time - sentAt,
      chunks,
      pendingTokens,
      slowdown: Math.max(1, head.load?.slowdown ?? 1, endpoint.selfReported?.slowdown ?? 1),
      before: { promptTokenMs, chunkIntervalMs },
      wasOverdue: wasOverdue(time),
    });
  }

  function recordStream(elapsedMs: number): void {
    endpoint.speed.recordStream(chunks, elapsedMs);
    endpoint.sharedSpeed.recordStream({ chunks, elapsedMs, longestPauseMs, outputTokens });
  }

  /** A request that did not run says nothing, nor does the end of a stream at another version. */
  function recordFailure(failure: AttemptFailure): void {
    const isOwn = failure.kind === 'unknown' && failure.reason !== OTHER_VERSION;
    if (isCounted && (isOwn || failure.kind === 'failed')) countFailure();
  }

  function countFailure(): void {
    versionOutcomes.recordFailed(call, countedVersion);
  }

  function removePrompt(): void {
    if (isPromptRemoved) return;
    isPromptRemoved = true;
    endpoint.unreadTokens -= promptTokens;
  }
}
