/** Collects frames and writes several of them as one message. */

/** How long a frame that is in no hurry waits for others; milliseconds. */
const PATIENCE_MS = 3;

/** A batch of frames on their way to one peer. */
export interface FrameBatch<Frame> {
  /** Adds a frame that goes out with this turn of the event loop, behind those added before. */
  push(frame: Frame): void;
  /** Adds a frame that may wait a little, so that more frames share a message. */
  pushDelayed(frame: Frame): void;
  flush(): void;
}

/** Creates a batch; `write` gets the frames in order. */
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
    if (immediate === undefined) timer ??= setTimeout(flush, PATIENCE_MS);
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
