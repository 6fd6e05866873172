/** Batches frames, so that several of them are written as one message. */

/** Longest time that a delayed frame waits for other frames to share its message. */
const MAX_DELAY_MS = 3;

/** Frames that wait to be sent to one peer. */
export interface FrameBatch<Frame> {
  /** Adds a frame that is written in this turn of the event loop, after all frames added before. */
  push(frame: Frame): void;
  /** Adds a frame that may wait up to `MAX_DELAY_MS`, so that more frames share a message. */
  pushDelayed(frame: Frame): void;
  flush(): void;
}

/** Creates an empty batch. `write` receives the frames in the order in which they were added. */
export function createFrameBatch<Frame>(write: (frames: Frame[]) => void): FrameBatch<Frame> {
  let frames: Frame[] = [];
  let immediate: NodeJS.Immediate | undefined;
  let timer: NodeJS.Timeout | undefined;

  return { push, pushDelayed, flush };

  function push(frame: Frame): void {
    frames.push(frame);
    immediate ??= setImmediate(flush);
  }

  function pushDelayed(frame: Frame): void {
    frames.push(frame);
    if (immediate === undefined) timer ??= setTimeout(flush, MAX_DELAY_MS);
  }

  function flush(): void {
    clearImmediate(immediate);
    clearTimeout(timer);
    immediate = undefined;
    timer = undefined;
    if (frames.length === 0) return;
    const batch = frames;
    frames = [];
    write(batch);
  }
}
