/** Collects frames and writes those of one turn of the event loop as one message. */

/** A batch that is flushed once a turn. */
export interface FrameBatch<Frame> {
  push(frame: Frame): void;
  flush(): void;
}

/** Creates a batch; `write` gets the frames in order. */
export function createFrameBatch<Frame>(write: (frames: Frame[]) => void): FrameBatch<Frame> {
  let frames: Frame[] = [];
  let isScheduled = false;

  return { push, flush };

  function push(frame: Frame): void {
    frames.push(frame);
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(flush);
  }

  function flush(): void {
    isScheduled = false;
    if (frames.length === 0) return;
    const batch = frames;
    frames = [];
    write(batch);
  }
}
