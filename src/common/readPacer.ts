/**
 * Divides the time of a process among the connections that it reads: data that arrives faster than
 * the process can pass it on is read in turns, so that no flood holds up other connections.
 */

/** Cost after which other connections have their turn, in bytes. */
const TURN_COST = 128 * 1024;
/** Cost of a chunk beside that of its bytes; decoding even one byte takes some time. */
const CHUNK_COST = 512;
/** Time after which they have it, however little was read: a process may have little processor time. */
const MAX_TURN_MS = 10;

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

/** Creates a pacer whose turns are those of the event loop. */
export function createReadPacer(now: () => number): ReadPacer {
  const waiting: (() => void)[] = [];
  let isTurnOpen = false;
  let turnCost = 0;
  let turnEndsAt = 0;

  return { mayContinue };

  function mayContinue(cost: number, onTurn: () => void): boolean {
    openTurn();
    turnCost += cost;
    if (!isTurnOver()) return true;
    waiting.push(onTurn);
    return false;
  }

  function openTurn(): void {
    if (isTurnOpen) return;
    isTurnOpen = true;
    turnCost = 0;
    turnEndsAt = now() + MAX_TURN_MS;
    setImmediate(endTurn);
  }

  function endTurn(): void {
    isTurnOpen = false;
    if (waiting.length === 0) return;
    openTurn();
    while (waiting.length > 0 && !isTurnOver()) waiting.shift()?.();
  }

  function isTurnOver(): boolean {
    return turnCost > TURN_COST || now() >= turnEndsAt;
  }
}
