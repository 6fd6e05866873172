/**
 * Declarations of tables that follow each other at one leader. A table replaces the earlier ones as
 * a whole, so of those that wait only the one with the highest revision is kept and declared; it
 * supersedes the others, whose callers learn its outcome.
 */

import { raise } from '../common/failure.js';
import type { DeclareResponse } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';

/** Declares a table alone. */
export type DeclareAlone = (table: TableDocument) => Promise<DeclareResponse>;

/** Tables on their way to one leader. */
export interface Declarations {
  /** Resolves once the table or a newer one is in force. Raises `unavailable` after the timeout. */
  declare(table: TableDocument): Promise<DeclareResponse>;
}

interface Round {
  table: TableDocument;
  outcome: Promise<DeclareResponse>;
  resolve(response: DeclareResponse): void;
  reject(caught: unknown): void;
}

/** Creates the queue. `run` is not called again before its promise settles. */
export function createDeclarations(run: DeclareAlone, timeoutMs: number): Declarations {
  let next: Round | undefined;
  let isRunning = false;
  let revisionInForce = 0;

  return { declare };

  async function declare(table: TableDocument): Promise<DeclareResponse> {
    next ??= createRound(table);
    const round = next;
    if (table.revision > round.table.revision) round.table = table;
    if (!isRunning) void runRounds();
    const response = await waitFor(round.outcome);
    if (round.table === table) return response;
    return { outcome: 'superseded', revision: response.revision };
  }

  async function runRounds(): Promise<void> {
    isRunning = true;
    while (next !== undefined) {
      const round = next;
      next = undefined;
      await runRound(round);
    }
    isRunning = false;
  }

  async function runRound(round: Round): Promise<void> {
    if (round.table.revision <= revisionInForce) {
      round.resolve({ outcome: 'superseded', revision: revisionInForce });
      return;
    }
    try {
      const response = await run(round.table);
      revisionInForce = Math.max(revisionInForce, response.revision);
      round.resolve(response);
    } catch (caught) {
      round.reject(caught);
    }
  }

  async function waitFor(outcome: Promise<DeclareResponse>): Promise<DeclareResponse> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), timeoutMs);
    });
    try {
      const response = await Promise.race([outcome, timeout]);
      return response ?? raise({ kind: 'unavailable', reason: 'the table waited too long' });
    } finally {
      clearTimeout(timer);
    }
  }
}

function createRound(table: TableDocument): Round {
  const { promise, resolve, reject } = createDeferred();
  // All callers may have given up before the round fails.
  promise.catch(() => {});
  return { table, outcome: promise, resolve, reject };
}

function createDeferred(): {
  promise: Promise<DeclareResponse>;
  resolve(response: DeclareResponse): void;
  reject(caught: unknown): void;
} {
  let resolve: (response: DeclareResponse) => void = () => {};
  let reject: (caught: unknown) => void = () => {};
  const promise = new Promise<DeclareResponse>((onResolve, onReject) => {
    resolve = onResolve;
    reject = onReject;
  });
  return { promise, resolve, reject };
}
