/** Failures that are part of normal operation, as one tagged union, and a way to raise them. */

import { describeTableProblem } from '../routing/checkTable.js';
import type { TableProblem } from '../routing/types.js';

/** A problem in a TOML file. */
export interface FileProblem {
  /** 1-based line, or undefined when the problem has no place. */
  line: number | undefined;
  /** Dotted path of the key, empty for the whole file. */
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
  | { kind: 'unauthorized' }
  | { kind: 'usage'; message: string }
  | { kind: 'unreachable'; address: string; reason: string }
  | { kind: 'storeCorrupt'; reason: string }
  | { kind: 'invalidTable'; problem: TableProblem }
  | { kind: 'unexpected'; reason: string };

/** Carries a `Failure` up to whoever can report it. */
export class RaisedFailure extends Error {
  public constructor(public readonly failure: Failure) {
    super(describeFailure(failure));
  }
}

/** Raises a failure. */
export function raise(failure: Failure): never {
  throw new RaisedFailure(failure);
}

/** The failure that a caught value carries; anything unknown becomes `unexpected`. */
export function toFailure(caught: unknown): Failure {
  if (caught instanceof RaisedFailure) return caught.failure;
  return { kind: 'unexpected', reason: caught instanceof Error ? caught.message : String(caught) };
}

/** One line for a person. */
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
    case 'unauthorized':
      return 'the operator key is missing or wrong';
    case 'usage':
      return failure.message;
    case 'invalidTable':
      return describeTableProblem(failure.problem);
    case 'unavailable':
    case 'storeCorrupt':
    case 'unexpected':
      return `${failure.kind}: ${failure.reason}`;
    default:
      return describeUnknown(failure);
  }
}

function describeProblem(path: string, problem: FileProblem): string {
  const place = problem.line === undefined ? path : `${path}:${problem.line}`;
  const key = problem.key === '' ? '' : `${problem.key}: `;
  return `${place}: ${key}${problem.message}`;
}

function describeUnknown(failure: never): string {
  return JSON.stringify(failure);
}
