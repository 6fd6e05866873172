/** Priority queue of waiting requests: by rank, then by arrival time. */

/** The properties of a request that determine its position. */
export interface QueueItem {
  /** Smaller is more urgent. */
  rank: number;
  /** Monotonic time of arrival, in milliseconds; unchanged if the request is queued again. */
  arrivedAt: number;
}

/** A queue ordered by rank. */
export interface WaitingQueue<Item extends QueueItem> {
  readonly size: number;
  push(item: Item): void;
  /** Returns false if the item is not in the queue. */
  remove(item: Item): boolean;
  /** Number of requests ahead of one with this rank and arrival time. */
  countAhead(item: QueueItem): number;
  /** Iterates in the order of placement. */
  [Symbol.iterator](): IterableIterator<Item>;
}

export function createWaitingQueue<Item extends QueueItem>(): WaitingQueue<Item> {
  const items: Item[] = [];

  return {
    get size() {
      return items.length;
    },
    push,
    remove,
    countAhead: findInsertIndex,
    [Symbol.iterator]: () => items.slice().values(),
  };

  function push(item: Item): void {
    items.splice(findInsertIndex(item), 0, item);
  }

  function remove(item: Item): boolean {
    const at = items.indexOf(item);
    if (at < 0) return false;
    items.splice(at, 1);
    return true;
  }

  /** Returns the index after all items that are ahead of `item`. */
  function findInsertIndex(item: QueueItem): number {
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
