/** Types of the command-line tool. */

import type { KeeperTarget } from './keeperClient.js';

/** Values of the options that all commands share. */
export interface CommandContext {
  target: KeeperTarget;
  /** Prints JSON in place of text. */
  json: boolean;
  /** Waits for the effect where a command has one. */
  wait: boolean;
  /** Arguments behind the command's name. */
  operands: readonly string[];
  print(text: string): void;
}

/** One command. */
export interface Command {
  /** Words of the command, such as `ticket apply`. */
  name: string;
  operands: string;
  summary: string;
  run(context: CommandContext): Promise<void>;
}

/** A ticket as keepers describe it. */
export interface TicketDescription {
  number: number;
  digest: string;
  revision: number;
  acceptedAtMs: number;
  inForce: boolean;
  lagging: string[];
  repeated?: boolean;
  ticket?: object;
}

/** A member as keepers describe it. */
export interface MemberDescription {
  id: string;
  incarnation: string;
  role: string;
  address: string;
  failureDomain: string;
  pool: string;
  endpointKind: string;
  endpoint: string;
  draining: boolean;
  fencingToken: number;
  acknowledgedRevision: number;
  hasLease: boolean;
}

/** A keeper as a member of its cluster. */
export interface KeeperDescription {
  id: string;
  storeId: string;
  address: string;
  /** Last log entry known to be on its disk. */
  matchIndex: number;
}

/** Answer of `/v1/status`. */
export interface StatusDescription {
  leader: string;
  term: number;
  commitIndex: number;
  appliedIndex: number;
  keepers: { voters: KeeperDescription[]; learners: KeeperDescription[] };
  configRevision: number;
  newestTicket?: TicketDescription;
  claims: number;
  members: MemberDescription[];
}
