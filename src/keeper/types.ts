/** Types of the replicated state. */

import type { Failure } from '../common/failure.js';
import type { Member, StoredAnswer, Thing } from '../generated/keeper.js';

/** An accepted ticket as it is remembered. */
export interface AcceptedTicket {
  number: number;
  digest: string;
  /** Log index at which it was accepted. */
  revision: number;
  acceptedAtMs: number;
  /** Canonical JSON; undefined once it is too old to be kept. */
  body: string | undefined;
}

export type TicketOutcome =
  | { kind: 'accepted'; ticket: AcceptedTicket; isRepeat: boolean }
  | { kind: 'refused'; failure: Failure };

export type ClaimState = 'pending' | 'finished' | 'notRun' | 'unknown';

/** A claim on a call that may run at most once. */
export interface Claim {
  digest: string;
  entryId: string;
  entryIncarnation: string;
  requestId: string;
  state: ClaimState;
  openedAtMs: number;
  answer: StoredAnswer | undefined;
}

export type ClaimOutcome =
  | { kind: 'opened' }
  | { kind: 'pending' }
  | { kind: 'finished'; answer: StoredAnswer }
  | { kind: 'unknown' }
  | { kind: 'conflict' }
  | { kind: 'expired' };

export type SuspectState = 'suspect' | 'running' | 'convicted';

/** A request's content that was in flight when an endpoint crashed. */
export interface Suspect {
  state: SuspectState;
  /** Entry incarnation that runs it alone. */
  holder: string;
  requestId: string;
  changedAtMs: number;
}

export type SoloOutcome = 'granted' | 'busy' | 'convicted' | 'cleared' | 'closed';

/** `superseded`: a table of this or a higher revision is in force already. */
export type DeclareOutcome = 'accepted' | 'superseded';

/** What applying a command gave. */
export type ApplyResult =
  | { kind: 'ticket'; outcome: TicketOutcome }
  | { kind: 'member'; member: Member | undefined }
  | { kind: 'claim'; outcome: ClaimOutcome }
  | { kind: 'solo'; outcome: SoloOutcome }
  | { kind: 'table'; outcome: DeclareOutcome }
  | { kind: 'done' };

/** Receives the things that a command changed. */
export interface ThingSink {
  put(kind: string, name: string, body: object, ticket: number): void;
  remove(kind: string, name: string, ticket: number): void;
}

/** Reads things. */
export interface ThingReader {
  tryGet(kind: string, name: string): Thing | undefined;
  list(kind: string): Thing[];
}
