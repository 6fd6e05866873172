/**
 * The declared table of routes, pools and teams. It is always replaced as a whole document, and the
 * document with the highest revision is in force.
 */

import type { TableDocument, TableDeclare } from '../generated/keeper.js';
import type { DeclareOutcome } from './types.js';

/** The document in force, as stored in a snapshot. */
export interface SavedTable {
  revision: number;
  /** Base64. */
  document: string;
}

/** The declared table. */
export interface DeclaredTable {
  /** The document in force; its revision is 0 if there is none. */
  readonly current: TableDocument;
  /** Replaces the document unless one with the same or a higher revision is in force. */
  declare(command: TableDeclare): DeclareOutcome;
  save(): SavedTable;
  /** `saved` is undefined in snapshots that were written before tables were introduced. */
  load(saved: SavedTable | undefined): void;
}

/** Creates an empty table. */
export function createDeclaredTable(): DeclaredTable {
  let current: TableDocument = { revision: 0, document: Buffer.alloc(0) };

  return {
    get current() {
      return current;
    },
    declare,
    save: () => ({
      revision: current.revision,
      document: Buffer.from(current.document).toString('base64'),
    }),
    load(saved) {
      if (saved === undefined) return;
      current = { revision: saved.revision, document: Buffer.from(saved.document, 'base64') };
    },
  };

  function declare(command: TableDeclare): DeclareOutcome {
    if (command.revision <= current.revision) return 'superseded';
    current = { revision: command.revision, document: command.document };
    return 'accepted';
  }
}
