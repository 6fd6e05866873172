/** Requests that wait for a place, the most urgent first and in the order of their arrival within a rank. */

/** What the order needs of a request. */
export interface QueueItem {
  /** Smaller is more urgent. */
  rank: number;
  /** Monotonic time of its arrival, in milliseconds; a request that comes back keeps it. */
  arrivedAt: number;
}

/** A queue by rank. */
export interface WaitingQueue<Item extends QueueItem> {
  readonly size: number;
  push(item: Item): void;
  /** False when it is no longer waiting. */
  remove(item: Item): boolean;
  /** Requests that go before one of this rank and arrival. */
  countAhead(item: QueueItem): number;
  /** In the order in which they are to be placed. */
  [Symbol.iterator](): IterableIterator<Item>;
}

/** Creates an empty queue. */
export function createWaitingQueue<Item extends QueueItem>(): WaitingQueue<Item> {
  const items: Item[] = [];

  return {
    get size() {
      return items.length;
    },
    push,
    remove,
    countAhead: findEnd,
    [Symbol.iterator]: () => items.slice().values(),
  };

  function push(item: Item): void {
    items.splice(findEnd(item), 0, item);
  }

  function remove(item: Item): boolean {
    const at = items.indexOf(item);
    if (at < 0) return false;
    items.splice(at, 1);
    return true;
  }

  /** Position behind all items that go before `item`. */
  function findEnd(item: QueueItem): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const other = items[middle];
      if (other !== undefined && isAfter(other, item)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function isAfter(item: QueueItem, other: QueueItem): boolean {
  if (item.rank !== other.rank) return item.rank > other.rank;
  return item.arrivedAt > other.arrivedAt;
}
