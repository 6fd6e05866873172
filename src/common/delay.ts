/** Timers: a promise, and a call at a time of a clock. */

import type { Clock } from './clock.js';

export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/**
 * Calls `task` once the clock has reached `time` (monotonic, milliseconds); returns a function that
 * cancels the call. Timers of Node.js leave out fractions and may fire some milliseconds early.
 */
export function callAt(clock: Pick<Clock, 'now'>, time: number, task: () => void): () => void {
  let timer = setTimeout(check, time - clock.now());
  return () => clearTimeout(timer);

  function check(): void {
    const remainingMs = time - clock.now();
    if (remainingMs > 0) timer = setTimeout(check, Math.ceil(remainingMs));
    else task();
  }
}
