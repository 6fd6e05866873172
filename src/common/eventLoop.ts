/** Turns of the event loop, in which a process reads what has arrived on its sockets. */

import { setImmediate as waitForTurn } from 'node:timers/promises';

/** Resolves after `turns` turns, each of which reads once from every socket with new data. */
export async function awaitTurns(turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn += 1) await waitForTurn();
}

/** How long to wait for what follows on a socket from which something has just been read. */
export interface ReadingTime {
  /** Turns that are awaited in any case; the first one ends before anything else is read. */
  minTurns: number;
  /** Turns that are awaited unless `milliseconds` have passed: a busy process has long turns. */
  maxTurns: number;
  milliseconds: number;
}

/** Resolves once what follows has been read, unless it arrives later than the process waits. */
export async function awaitReading(
  now: () => number,
  { minTurns, maxTurns, milliseconds }: ReadingTime,
): Promise<void> {
  const endAt = now() + milliseconds;
  await awaitTurns(minTurns);
  for (let turn = minTurns; turn < maxTurns && now() < endAt; turn += 1) await waitForTurn();
}

/**
 * Calls `task` after `milliseconds` and one more turn, and returns a function that cancels the call.
 * A timer alone fires before anything is read that arrived while the process did not run.
 */
export function callAfterReading(milliseconds: number, task: () => void): () => void {
  let turn: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    turn = setImmediate(task);
  }, milliseconds);
  return () => {
    clearTimeout(timer);
    clearImmediate(turn);
  };
}
