/** Reads that wait until a majority has confirmed that this replica still leads. */

import type { Clock } from '../common/clock.js';
import type { Raft } from './raft.js';

const CONFIRMATION_TIMEOUT_MS = 800;

/** Open confirmations of one replica. */
export interface Confirmations {
  /** Resolves to true once all that was committed before the call is confirmed and applied. */
  begin(): Promise<boolean>;
  /** Settles what has been decided; called after each event. */
  review(appliedIndex: number): void;
  /** Settles everything as not confirmed. */
  close(): void;
}

interface Confirmation {
  round: number;
  term: number;
  /** Log index that has to be applied before a read. */
  index: number;
  deadline: number;
  settle(isConfirmed: boolean): void;
}

/** Creates an empty collection. */
export function createConfirmations(raft: Raft, clock: Clock): Confirmations {
  let open: Confirmation[] = [];

  return { begin, review, close };

  function begin(): Promise<boolean> {
    const now = clock.now();
    const round = raft.beginConfirmation(now);
    return new Promise((resolve) => {
      const deadline = now + CONFIRMATION_TIMEOUT_MS;
      const { term, commitIndex: index } = raft;
      open.push({ round, term, index, deadline, settle: resolve });
    });
  }

  function review(appliedIndex: number): void {
    if (open.length === 0) return;
    const now = clock.now();
    const undecided: Confirmation[] = [];
    for (const confirmation of open) {
      if (confirmation.term !== raft.term || now > confirmation.deadline) {
        confirmation.settle(false);
      } else if (raft.isConfirmed(confirmation.round) && appliedIndex >= confirmation.index) {
        confirmation.settle(true);
      } else undecided.push(confirmation);
    }
    open = undecided;
  }

  function close(): void {
    for (const confirmation of open) confirmation.settle(false);
    open = [];
  }
}
