/**
 * Turns in which connections that send much work in each read are read: one connection in a turn of
 * the event loop, so that others are served in between.
 */

const waiting: (() => void)[] = [];

/** Calls `task` in a turn in which no other such task is called. */
export function takeReadTurn(task: () => void): void {
  if (waiting.length === 0) setImmediate(runNext);
  waiting.push(task);
}

function runNext(): void {
  waiting.shift()?.();
  if (waiting.length > 0) setImmediate(runNext);
}
