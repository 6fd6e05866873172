/** Signals that the process receives, from its first moment on. */

const handledSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

export type HandledSignal = (typeof handledSignals)[number];

/** Signals received since the start of the process. */
export interface Signals {
  /** Passes the signals received so far to `listener`, then each one as it arrives. */
  subscribe(listener: (signal: HandledSignal) => void): void;
}

/** Starts to receive signals, so that none of them ends the process by default. */
export function createSignals(): Signals {
  const received: HandledSignal[] = [];
  let subscriber: ((signal: HandledSignal) => void) | undefined;
  for (const signal of handledSignals) process.on(signal, receive);

  return {
    subscribe(listener) {
      subscriber = listener;
      for (const signal of received.splice(0)) listener(signal);
    },
  };

  function receive(signal: HandledSignal): void {
    if (subscriber === undefined) received.push(signal);
    else subscriber(signal);
  }
}
