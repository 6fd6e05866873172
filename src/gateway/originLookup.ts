/**
 * Finds out where a stream has begun that a caller takes up again. The gateway that began it may be
 * gone, so the keepers are asked. Requests that arrive together are asked about together.
 */

import { delay } from '../common/delay.js';
import type { StreamOrigin } from '../generated/control.js';
import type { KeeperQuestion, StreamOrigins } from '../streams/streamOrigins.js';

/** Time for which requests are collected before the keepers are asked. */
const BATCH_MS = 4;
/** Time after which the keepers are asked again; gateways pass on new origins within it. */
const REPEAT_DELAY_MS = 150;
const MAX_QUESTIONS = 2;

/** Dependencies of a lookup. */
export interface OriginLookupHost {
  /** Origins known to this gateway; those that are found are added. */
  origins: StreamOrigins;
  askKeepers: KeeperQuestion;
}

/** Looks up origins of streams. */
export interface OriginLookup {
  /** Returns the origin of the stream that request `callId` began, or undefined if nobody knows it. */
  tryFind(callId: string): Promise<StreamOrigin | undefined>;
}

/** Resolves what is waiting for one origin. */
type Answer = (origin: StreamOrigin | undefined) => void;

export function createOriginLookup({ origins, askKeepers }: OriginLookupHost): OriginLookup {
  /** What waits for the next question, by request. */
  let collecting: Map<string, Answer[]> | undefined;

  return { tryFind };

  async function tryFind(callId: string): Promise<StreamOrigin | undefined> {
    for (let question = 0; question < MAX_QUESTIONS; question += 1) {
      if (question > 0) await delay(REPEAT_DELAY_MS);
      const known = origins.tryGet(callId) ?? (await ask(callId));
      if (known !== undefined) return known;
    }
    return undefined;
  }

  /** Resolves as soon as one keeper knows the origin, or when all have answered. */
  function ask(callId: string): Promise<StreamOrigin | undefined> {
    collecting ??= openQuestion();
    const waiting = collecting;
    return new Promise((resolve) => {
      waiting.set(callId, [...(waiting.get(callId) ?? []), resolve]);
    });
  }

  function openQuestion(): Map<string, Answer[]> {
    const waiting = new Map<string, Answer[]>();
    setTimeout(() => void send(waiting), BATCH_MS);
    return waiting;
  }

  async function send(waiting: Map<string, Answer[]>): Promise<void> {
    collecting = undefined;
    await askKeepers([...waiting.keys()], (found) => {
      for (const origin of found) {
        origins.record(origin);
        waiting.get(origin.callId)?.forEach((answer) => answer(origin));
      }
    });
    // Those that have been answered already are not affected.
    for (const answers of waiting.values()) answers.forEach((answer) => answer(undefined));
  }
}
