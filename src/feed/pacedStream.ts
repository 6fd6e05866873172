/**
 * Writes state to a stream no faster than its reader takes it. While a message waits, what changes
 * is left to the next one, so that older states are never queued.
 */

/** External dependencies of a paced stream. */
export interface PacedStreamHost<Message> {
  /** Monotonic time in milliseconds that stands still while this process does not run. */
  now(): number;
  /** Calls `onTaken` once the stream holds the message no longer. */
  write(message: Message, onTaken: () => void): void;
  /** Returns all that is to be sent now, or undefined if the stream has ended. */
  compose(): Message | undefined;
}

/** The sending side of one stream. */
export interface PacedStream<Message> {
  /** Time for which the stream has held messages and none was taken, in milliseconds. */
  readonly stalledMs: number;
  /** Composes and writes a message, after the one composed before has been taken. */
  flush(): void;
  /** Writes a message at once. */
  write(message: Message, onTaken: () => void): void;
}

export function createPacedStream<Message>(host: PacedStreamHost<Message>): PacedStream<Message> {
  let heldMessages = 0;
  let takenAt = 0;
  let isComposedHeld = false;
  let isFlushDue = false;

  return {
    get stalledMs() {
      return heldMessages === 0 ? 0 : host.now() - takenAt;
    },
    flush,
    write,
  };

  function flush(): void {
    isFlushDue = isComposedHeld;
    if (isComposedHeld) return;
    const message = host.compose();
    if (message === undefined) return;
    isComposedHeld = true;
    write(message, () => {
      isComposedHeld = false;
      if (isFlushDue) flush();
    });
  }

  function write(message: Message, onTaken: () => void): void {
    if (heldMessages === 0) takenAt = host.now();
    heldMessages += 1;
    host.write(message, () => {
      heldMessages -= 1;
      takenAt = host.now();
      onTaken();
    });
  }
}
