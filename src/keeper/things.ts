/**
 * Versioned key-value store of things: teams, tiers, pools, services, members and suspects. The
 * leader pushes each changed thing as a whole to the members that follow its kind.
 */

import type { Thing } from '../generated/keeper.js';
import type { ThingReader, ThingWriter } from './types.js';

const MAX_TOMBSTONES = 2_000;

/** All things, each with the revision (log index) of its last change. */
export interface Things extends ThingReader, ThingWriter {
  /** Revision of the latest change. */
  readonly revision: number;
  /** Revision of the latest change made by a ticket. */
  readonly configRevision: number;
  /** Sets the revision that the following changes get. */
  setRevision(revision: number): void;
  /** Changes after `revision`; undefined if some of them may have been pruned. */
  tryGetChanges(revision: number): Thing[] | undefined;
  listAll(): Thing[];
  save(): Thing[];
  load(things: readonly Thing[]): void;
}

/** Creates an empty collection. */
export function createThings(): Things {
  const things = new Map<string, Thing>();
  let pendingRevision = 0;
  let latestRevision = 0;
  let configRevision = 0;
  // Changes up to this revision may include removals whose tombstones were pruned.
  let prunedRevision = 0;

  return {
    get revision() {
      return latestRevision;
    },
    get configRevision() {
      return configRevision;
    },
    setRevision(revision) {
      pendingRevision = revision;
    },
    put: (kind, name, body, ticket) => change(kind, name, JSON.stringify(body), ticket),
    remove: (kind, name, ticket) => change(kind, name, '', ticket),
    tryGet(kind, name) {
      const thing = things.get(toKey(kind, name));
      return thing?.removed ? undefined : thing;
    },
    list: (kind) => listAll().filter((thing) => thing.kind === kind),
    listAll,
    tryGetChanges,
    save: () => [...things.values()],
    load,
  };

  function change(kind: string, name: string, body: string, ticket: number): void {
    const key = toKey(kind, name);
    things.delete(key);
    things.set(key, { kind, name, body, revision: pendingRevision, ticket, removed: body === '' });
    latestRevision = pendingRevision;
    if (ticket > 0) configRevision = pendingRevision;
    if (body === '') pruneTombstones();
  }

  function pruneTombstones(): void {
    const tombstones = [...things.values()].filter((thing) => thing.removed);
    const surplus = tombstones.length - MAX_TOMBSTONES;
    if (surplus <= 0) return;
    for (const tombstone of tombstones.slice(0, surplus)) {
      // Tickets numbered below the one that removed this thing must still be refused. That does not
      // need the tombstone: `Tickets` keeps the newest ticket number of each thing itself.
      things.delete(toKey(tombstone.kind, tombstone.name));
      prunedRevision = Math.max(prunedRevision, tombstone.revision);
    }
  }

  function tryGetChanges(revision: number): Thing[] | undefined {
    if (revision < prunedRevision || revision > latestRevision) return undefined;
    return [...things.values()].filter((thing) => thing.revision > revision);
  }

  function listAll(): Thing[] {
    return [...things.values()].filter((thing) => !thing.removed);
  }

  function load(loaded: readonly Thing[]): void {
    things.clear();
    latestRevision = 0;
    configRevision = 0;
    prunedRevision = 0;
    for (const thing of loaded) {
      things.set(toKey(thing.kind, thing.name), thing);
      latestRevision = Math.max(latestRevision, thing.revision);
      if (thing.ticket > 0) configRevision = Math.max(configRevision, thing.revision);
    }
    // The snapshot does not record which removals were pruned, so members at an older revision need
    // a full update.
    prunedRevision = latestRevision;
  }
}

function toKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
