/**
 * Reads the bodies of callers' requests and bounds what they take together. A body for which there
 * is no room stays in its connection; its request is refused if none becomes free in time.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import { callAt } from '../common/delay.js';
import { bytesPerMb, type ClientMemory } from '../common/clientMemory.js';
import { getBodyCollector, hasBody, type BodyCollector } from '../common/requestBody.js';
import type { LocalReply } from './responseWriter.js';

/** Limit while the routing table states none. */
const DEFAULT_MAX_BYTES = 4 * bytesPerMb;
/** Longest wait for room; a caller that is refused has time to ask another gateway. */
const MAX_WAIT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
/** Room that is taken at first for a body whose length is not announced. */
const UNKNOWN_LENGTH_BYTES = 64 * 1024;
/** Interval at which bodies are checked for progress while others wait for room. */
const PROGRESS_INTERVAL_MS = 250;
/** Checks without progress after which a body may be refused for others. */
const MAX_STALLED_CHECKS = 2;

/** A body, or the reply to a request that has none; `left` if its caller takes no reply any more. */
export type BodyResult =
  { kind: 'body'; body: Buffer } | { kind: 'refused'; reply: LocalReply } | { kind: 'left' };

const noRoom: BodyResult = {
  kind: 'refused',
  reply: { status: 503, reason: 'too many bodies', retryAfterMs: RETRY_AFTER_MS },
};

/** Dependencies. */
export interface BodyReaderHost {
  clock: Clock;
  memory: ClientMemory;
  /** Largest body that the routing table allows. */
  tryGetMaxBytes(): number | undefined;
}

/** Reads bodies. */
export interface BodyReader {
  /** Reads a body that has to arrive until `deadline`; its room is taken until the response ends. */
  read(request: IncomingMessage, response: ServerResponse, deadline: number): Promise<BodyResult>;
}

/** Room for a body; it is taken until the response ends. */
interface Room {
  /** Takes room for `bytes` in all. Resolves with false if there is none in time. */
  extend(bytes: number, until: number): Promise<boolean>;
  /** Gives back what a body of `bytes` does not need. */
  shrink(bytes: number): void;
}

/** Further room that a body needs. */
interface NeededRoom {
  /** Room that it has already. */
  ownBytes: number;
  bytes: number;
  take(bytes: number): void;
}

/** A body of which a part has arrived. */
interface ArrivingBody {
  collector: BodyCollector;
  /** Whether the rest is not read for lack of room. */
  isWaiting: boolean;
  sizeBefore: number;
  stalledChecks: number;
  refuse(): void;
}

/** A body that waits for room. */
interface WaitingBody extends Pick<NeededRoom, 'ownBytes' | 'bytes'> {
  admit(): void;
}

export function createBodyReader({ clock, memory, tryGetMaxBytes }: BodyReaderHost): BodyReader {
  const { bodies } = memory;
  const waiting = new Set<WaitingBody>();
  const arriving = new Set<ArrivingBody>();
  let progressTimer: NodeJS.Timeout | undefined;

  return { read };

  async function read(
    request: IncomingMessage,
    response: ServerResponse,
    deadline: number,
  ): Promise<BodyResult> {
    let hasLeft = response.destroyed;
    response.once('close', () => {
      hasLeft = true;
    });
    const result = await readUnlessRefused(request, response, deadline);
    return hasLeft ? { kind: 'left' } : result;
  }

  async function readUnlessRefused(
    request: IncomingMessage,
    response: ServerResponse,
    deadline: number,
  ): Promise<BodyResult> {
    if (!hasBody(request)) return { kind: 'body', body: Buffer.alloc(0) };
    const maxBytes = tryGetMaxBytes() ?? DEFAULT_MAX_BYTES;
    const bytes = getAnnouncedBytes(request) ?? Math.min(maxBytes, UNKNOWN_LENGTH_BYTES);
    if (bytes > maxBytes) return refuse(413, 'the body is too large');
    const room = createRoom(response);
    if (!(await room.extend(bytes, getWaitEnd(deadline)))) return refuseForRoom();
    return readInTime(request, response, room, maxBytes, deadline);
  }

  function getWaitEnd(deadline: number): number {
    return Math.min(clock.now() + MAX_WAIT_MS, deadline);
  }

  function createRoom(response: ServerResponse): Room {
    let ownBytes = 0;
    response.once('close', () => shrink(0));

    return {
      async extend(bytes, until) {
        const added = bytes - ownBytes;
        if (added <= 0) return true;
        return waitForRoom(response, { ownBytes, bytes: added, take }, until);
      },
      shrink,
    };

    // In one step with the admission: the response may close before a promise shows it.
    function take(bytes: number): void {
      bodies.add(bytes);
      ownBytes += bytes;
    }

    function shrink(bytes: number): void {
      if (bytes >= ownBytes) return;
      bodies.add(bytes - ownBytes);
      ownBytes = bytes;
      admitWaiting();
    }
  }

  function waitForRoom(
    response: ServerResponse,
    { ownBytes, bytes, take }: NeededRoom,
    until: number,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const body: WaitingBody = { ownBytes, bytes, admit };
      const cancelWait = callAt(clock, until, () => leave(false));
      response.once('close', cancel);
      waiting.add(body);
      admitWaiting();
      if (waiting.size > 0) progressTimer ??= setInterval(checkProgress, PROGRESS_INTERVAL_MS);

      function admit(): void {
        take(bytes);
        leave(true);
      }

      function cancel(): void {
        leave(false);
      }

      function leave(hasRoom: boolean): void {
        waiting.delete(body);
        cancelWait();
        response.off('close', cancel);
        resolve(hasRoom);
        if (!hasRoom) admitWaiting();
      }
    });
  }

  /** Admits in the order of arrival; one body alone always has room. */
  function admitWaiting(): void {
    for (const { ownBytes, bytes, admit } of waiting) {
      if (bodies.total > ownBytes && !bodies.hasRoom(bytes)) return;
      admit();
    }
  }

  async function readInTime(
    request: IncomingMessage,
    response: ServerResponse,
    room: Room,
    maxBytes: number,
    deadline: number,
  ): Promise<BodyResult> {
    const collector = getBodyCollector(request);
    let refuseLate: (result: BodyResult) => void = () => {};
    const refused = new Promise<BodyResult>((resolve) => {
      refuseLate = (result) => {
        response.once('close', () => request.destroy());
        resolve(result);
      };
    });
    const body: ArrivingBody = {
      collector,
      isWaiting: false,
      sizeBefore: 0,
      stalledChecks: 0,
      refuse() {
        memory.countLimited('stalledBody');
        refuseLate(noRoom);
      },
    };
    const cancel = callAt(clock, deadline, () =>
      refuseLate(refuse(408, 'the body did not arrive in time')),
    );
    request.once('close', cancel);
    request.once('end', cancel);
    let ownBytes = UNKNOWN_LENGTH_BYTES;
    const whole = readWhole(collector, maxBytes, (size) => size <= ownBytes || extend(size));
    arriving.add(body);
    const result = await Promise.race([whole, refused]);
    arriving.delete(body);
    room.shrink(result.kind === 'body' ? result.body.length : 0);
    return result;

    /** Takes room for more than has arrived; nothing is read until there is some. */
    function extend(size: number): boolean {
      ownBytes = Math.max(size, Math.min(size + UNKNOWN_LENGTH_BYTES, maxBytes));
      body.isWaiting = true;
      void room.extend(ownBytes, getWaitEnd(deadline)).then((hasRoom) => {
        body.isWaiting = false;
        if (hasRoom) collector.resume();
        // The reply would be lost if the request ended before it.
        else refuseLate(refuseForRoom());
      });
      return false;
    }
  }

  function refuseForRoom(): BodyResult {
    memory.countLimited('bodyRoom');
    return noRoom;
  }

  /** Refuses the largest of the bodies of which nothing has arrived for a while. */
  function checkProgress(): void {
    if (waiting.size === 0) {
      clearInterval(progressTimer);
      progressTimer = undefined;
      return;
    }
    let largest: ArrivingBody | undefined;
    for (const body of arriving) {
      const { size } = body.collector;
      body.stalledChecks = body.isWaiting || size > body.sizeBefore ? 0 : body.stalledChecks + 1;
      body.sizeBefore = size;
      if (body.stalledChecks < MAX_STALLED_CHECKS) continue;
      if (largest === undefined || size > largest.collector.size) largest = body;
    }
    largest?.refuse();
  }
}

async function readWhole(
  collector: BodyCollector,
  maxBytes: number,
  tryReserve: (size: number) => boolean,
): Promise<BodyResult> {
  try {
    return { kind: 'body', body: await collector.read(maxBytes, tryReserve) };
  } catch {
    return collector.size > maxBytes
      ? refuse(413, 'the body is too large')
      : refuse(400, 'the body could not be read');
  }
}

/** Returns undefined for a body in chunks. */
function getAnnouncedBytes({ headers }: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

function refuse(status: number, reason: string): BodyResult {
  return { kind: 'refused', reply: { status, reason } };
}
