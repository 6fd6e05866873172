/** Types shared by the modules of the replicated state. */

import type { Failure } from '../common/failure.js';
import type { Member, RolloutBegin, StoredAnswer, Thing } from '../generated/keeper.js';

/** An accepted ticket in the ticket history. */
export interface AcceptedTicket {
  number: number;
  digest: string;
  /** Log index of the command that accepted the ticket. */
  revision: number;
  acceptedAtMs: number;
  /** Canonical JSON; undefined for older tickets, of which only the metadata is kept. */
  body: string | undefined;
}

export type TicketOutcome =
  | { kind: 'accepted'; ticket: AcceptedTicket; isRepeat: boolean }
  | { kind: 'refused'; failure: Failure };

export type ClaimState = 'pending' | 'finished' | 'notRun' | 'unknown';

/** Record of an idempotency key, held for a call that must run at most once. */
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

/** A request, identified by its digest, that was in flight when an endpoint crashed. */
export interface Suspect {
  state: SuspectState;
  /** Incarnation of the entry that runs the request in isolation; empty when none does. */
  holder: string;
  requestId: string;
  changedAtMs: number;
}

export type SoloOutcome = 'granted' | 'busy' | 'convicted' | 'cleared' | 'closed';

/** `superseded`: a table with the same or a higher revision is already in force. */
export type DeclareOutcome = 'accepted' | 'superseded';

/** An operator's order of a rollout. */
export type RolloutOrder = Omit<RolloutBegin, 'knownVersions'>;

/**
 * `repeated`: the pool's latest rollout was ordered with the same version and duration; `inProgress`:
 * another one is in progress.
 */
export type RolloutOutcome = 'accepted' | 'repeated' | 'inProgress';

/** Result of applying a command to the replicated state. */
export type ApplyResult =
  | { kind: 'ticket'; outcome: TicketOutcome }
  | { kind: 'member'; member: Member | undefined }
  | { kind: 'claim'; outcome: ClaimOutcome }
  | { kind: 'solo'; outcome: SoloOutcome }
  | { kind: 'table'; outcome: DeclareOutcome }
  | { kind: 'rollout'; outcome: RolloutOutcome }
  | { kind: 'done' };

/** Publishes changes of things. */
export interface ThingWriter {
  put(kind: string, name: string, body: object, ticket: number): void;
  remove(kind: string, name: string, ticket: number): void;
}

/** Reads the current things. */
export interface ThingReader {
  tryGet(kind: string, name: string): Thing | undefined;
  list(kind: string): Thing[];
}
