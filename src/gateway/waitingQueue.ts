/** Requests that wait for a place, the most urgent first and in the order of their arrival within a rank. */

/** What the order needs of a request. */
export interface Waiting {
  /** Smaller is more urgent. */
  rank: number;
}

/** A queue by rank. */
export interface WaitingQueue<Item extends Waiting> {
  readonly size: number;
  push(item: Item): void;
  /** False when it is no longer waiting. */
  remove(item: Item): boolean;
  /** Requests that go before a new one of `rank`. */
  countBefore(rank: number): number;
  /** In the order in which they are to be placed. */
  [Symbol.iterator](): IterableIterator<Item>;
}

/** Creates an empty queue. */
export function createWaitingQueue<Item extends Waiting>(): WaitingQueue<Item> {
  const items: Item[] = [];

  return {
    get size() {
      return items.length;
    },
    push,
    remove,
    countBefore: (rank) => findEnd(rank),
    [Symbol.iterator]: () => items.slice().values(),
  };

  function push(item: Item): void {
    items.splice(findEnd(item.rank), 0, item);
  }

  function remove(item: Item): boolean {
    const at = items.indexOf(item);
    if (at < 0) return false;
    items.splice(at, 1);
    return true;
  }

  /** Position behind all items of `rank` and of more urgent ones. */
  function findEnd(rank: number): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((items[middle]?.rank ?? 0) <= rank) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
