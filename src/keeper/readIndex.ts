/** ReadIndex: reads wait until a majority has confirmed that this replica still leads. */

import type { Clock } from '../common/clock.js';
import type { Raft } from './raft.js';

const READ_INDEX_TIMEOUT_MS = 800;

/** Pending reads of one replica. */
export interface ReadIndexRequests {
  /**
   * Resolves to true once all that was committed before the call is confirmed and applied, and to
   * false after a change of term or a timeout.
   */
  begin(): Promise<boolean>;
  /** Settles the requests that are decided. Called after each event. */
  settleDecided(appliedIndex: number): void;
  /** Settles all requests as not confirmed. */
  close(): void;
}

interface ReadIndexRequest {
  round: number;
  term: number;
  /** Log index that has to be applied before the read. */
  index: number;
  deadline: number;
  settle(isConfirmed: boolean): void;
}

/** Creates an empty collection. */
export function createReadIndexRequests(raft: Raft, clock: Clock): ReadIndexRequests {
  let open: ReadIndexRequest[] = [];

  return { begin, settleDecided, close };

  function begin(): Promise<boolean> {
    const now = clock.now();
    const round = raft.beginReadIndexRound(now);
    return new Promise((resolve) => {
      const deadline = now + READ_INDEX_TIMEOUT_MS;
      const { term, commitIndex: index } = raft;
      open.push({ round, term, index, deadline, settle: resolve });
    });
  }

  function settleDecided(appliedIndex: number): void {
    if (open.length === 0) return;
    const now = clock.now();
    const undecided: ReadIndexRequest[] = [];
    for (const request of open) {
      if (request.term !== raft.term || now > request.deadline) {
        request.settle(false);
      } else if (raft.isReadIndexConfirmed(request.round) && appliedIndex >= request.index) {
        request.settle(true);
      } else undecided.push(request);
    }
    open = undecided;
  }

  function close(): void {
    for (const request of open) request.settle(false);
    open = [];
  }
}
