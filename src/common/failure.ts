/** Expected failures as one discriminated union, and the error that carries them. */

import { describeTableProblem } from '../routing/checkTable.js';
import type { TableProblem } from '../routing/types.js';

/** A syntax or schema error in a TOML document. */
export interface FileProblem {
  /** 1-based line; undefined if the problem cannot be attributed to a line. */
  line: number | undefined;
  /** Dotted path of the key; empty if the problem concerns the whole document. */
  key: string;
  message: string;
}

export type Failure =
  | { kind: 'unreadableFile'; path: string; reason: string }
  | { kind: 'invalidToml'; path: string; problems: FileProblem[] }
  | { kind: 'invalidTicket'; problems: FileProblem[] }
  | { kind: 'staleTicket'; number: number; newest: number; thing: string }
  | { kind: 'ticketConflict'; number: number; winnerDigest: string }
  | { kind: 'unknownTicket'; number: number }
  | { kind: 'unknownMember'; id: string }
  | { kind: 'notLeader'; leader: string | undefined }
  | { kind: 'unavailable'; reason: string }
  | { kind: 'overloaded'; retryAfterMs: number }
  | { kind: 'unauthorized' }
  | { kind: 'usage'; message: string }
  | { kind: 'unreachable'; address: string; reason: string }
  | { kind: 'storeCorrupt'; reason: string }
  | { kind: 'invalidTable'; problem: TableProblem }
  | { kind: 'rolloutInProgress'; pool: string }
  | { kind: 'rolloutRefused'; reason: string }
  | { kind: 'noRollout'; pool: string }
  | { kind: 'unexpected'; reason: string };

/** Error that carries a `Failure` to the code that reports it. */
export class RaisedFailure extends Error {
  public constructor(public readonly failure: Failure) {
    super(describeFailure(failure));
  }
}

/** Throws `failure` as a `RaisedFailure`. */
export function raise(failure: Failure): never {
  throw new RaisedFailure(failure);
}

/** Returns the failure that a caught value carries, or `unexpected` for any other value. */
export function toFailure(caught: unknown): Failure {
  if (caught instanceof RaisedFailure) return caught.failure;
  return { kind: 'unexpected', reason: caught instanceof Error ? caught.message : String(caught) };
}

/** Formats a failure for people: one line, or one line per problem of a document. */
export function describeFailure(failure: Failure): string {
  switch (failure.kind) {
    case 'unreadableFile':
      return `cannot read ${failure.path}: ${failure.reason}`;
    case 'invalidToml':
      return failure.problems.map((problem) => describeProblem(failure.path, problem)).join('\n');
    case 'invalidTicket':
      return failure.problems.map((problem) => describeProblem('ticket', problem)).join('\n');
    case 'staleTicket':
      return `ticket ${failure.number} is stale: ${failure.thing} was changed by ticket ${failure.newest}`;
    case 'ticketConflict':
      return `ticket ${failure.number} was already accepted with digest ${failure.winnerDigest}`;
    case 'unknownTicket':
      return `no ticket ${failure.number}`;
    case 'unknownMember':
      return `no member ${failure.id}`;
    case 'notLeader':
      return `this keeper does not lead; leader: ${failure.leader ?? 'unknown'}`;
    case 'unreachable':
      return `cannot reach ${failure.address}: ${failure.reason}`;
    case 'overloaded':
      return 'too many large bodies are being handled';
    case 'unauthorized':
      return 'the operator key is missing or wrong';
    case 'usage':
      return failure.message;
    case 'invalidTable':
      return describeTableProblem(failure.problem);
    case 'rolloutInProgress':
      return `another rollout of ${failure.pool} is in progress`;
    case 'rolloutRefused':
      return failure.reason;
    case 'noRollout':
      return `${failure.pool} had no rollout`;
    case 'unavailable':
    case 'storeCorrupt':
    case 'unexpected':
      return `${failure.kind}: ${failure.reason}`;
    default:
      return describeUnknown(failure);
  }
}

function describeProblem(path: string, problem: FileProblem): string {
  const location = problem.line === undefined ? path : `${path}:${problem.line}`;
  const key = problem.key === '' ? '' : `${problem.key}: `;
  return `${location}: ${key}${problem.message}`;
}

function describeUnknown(failure: never): string {
  return JSON.stringify(failure);
}
