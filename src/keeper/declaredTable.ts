/** The declared table of routes, pools and teams: one whole document, of which the highest revision is in force. */

import type { TableDocument, TableDeclare } from '../generated/keeper.js';
import type { DeclareOutcome } from './types.js';

/** The document in force, as it is saved in a snapshot. */
export interface SavedTable {
  revision: number;
  /** Base64. */
  document: string;
}

/** The declared table. */
export interface DeclaredTable {
  /** Revision 0 stands for none. */
  readonly current: TableDocument;
  /** Takes a document over unless one of its revision or a higher one is in force. */
  declare(command: TableDeclare): DeclareOutcome;
  save(): SavedTable;
  /** Undefined for a state that was saved before there was a table. */
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
