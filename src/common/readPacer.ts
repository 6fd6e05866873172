/**
 * Divides the time of a process among the connections that it reads: data that arrives faster than
 * the process can pass it on is read in turns, so that no flood holds up other connections.
 */

/** Cost after which other connections have their turn, in bytes. */
const TURN_COST = 128 * 1024;
/** Cost of a chunk beside that of its bytes; decoding even one byte takes some time. */
const CHUNK_COST = 512;
/** Data that takes longer to arrive than this, a turn at a time, is no flood. */
const TURN_MS = 8;

/** Decides when data is read. */
export interface ReadPacer {
  /**
   * Records the cost of what was read. Returns false if nothing more should be read until `onTurn` is
   * called.
   */
  mayContinue(cost: number, onTurn: () => void): boolean;
}

/** Returns the cost of passing on a chunk, in bytes. */
export function getReadCost(chunk: Buffer): number {
  return chunk.length + CHUNK_COST;
}

export function createReadPacer(now: () => number): ReadPacer {
  const waiting: (() => void)[] = [];
  let turnCost = 0;
  let turnStartedAt = 0;
  let isScheduled = false;

  return { mayContinue };

  function mayContinue(cost: number, onTurn: () => void): boolean {
    turnCost += cost;
    if (turnCost <= TURN_COST) return true;
    if (!isScheduled && now() - turnStartedAt > TURN_MS) {
      startTurn();
      return true;
    }
    waiting.push(onTurn);
    scheduleTurn();
    return false;
  }

  function startTurn(): void {
    turnCost = 0;
    turnStartedAt = now();
  }

  function scheduleTurn(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      startTurn();
      while (waiting.length > 0 && turnCost < TURN_COST) waiting.shift()?.();
      if (waiting.length > 0) scheduleTurn();
    });
  }
}
