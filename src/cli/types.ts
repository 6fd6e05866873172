/** Types of the command-line tool. */

import type { KeeperTarget } from './keeperClient.js';

/** Options, operands and output of a command. */
export interface CommandContext {
  target: KeeperTarget;
  /** Whether to print JSON instead of text. */
  json: boolean;
  /** Whether `ticket apply` waits until the ticket is in force; other commands ignore it. */
  wait: boolean;
  /** Positional arguments after the command's name. */
  operands: readonly string[];
  print(text: string): void;
}

/** A command of the tool. */
export interface Command {
  /** Space-separated words of the command, such as `ticket apply`. */
  name: string;
  operands: string;
  summary: string;
  run(context: CommandContext): Promise<void>;
}

/** A ticket as the operator API returns it. */
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

/** A member as the operator API returns it. */
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

/** A keeper as a voter or learner of the Raft cluster. */
export interface KeeperDescription {
  id: string;
  storeId: string;
  address: string;
  /** Index of the last log entry that is known to be on the keeper's disk. */
  matchIndex: number;
}

/** Response of `/v1/status`. */
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
