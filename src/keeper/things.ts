/** The things whose whole state members follow: teams, tiers, pools, services, members, suspects. */

import type { Thing } from '../generated/keeper.js';
import type { ThingReader, ThingSink } from './types.js';

const MAX_TOMBSTONES = 2_000;

/** All things, each with the revision of its last change. */
export interface Things extends ThingReader, ThingSink {
  /** Revision of the newest change. */
  readonly revision: number;
  /** Revision of the newest change made by a ticket. */
  readonly configRevision: number;
  /** Revision that further changes get. */
  begin(revision: number): void;
  /** Changes after `revision`; undefined when some of them are no longer known. */
  tryGetChanges(revision: number): Thing[] | undefined;
  listAll(): Thing[];
  save(): Thing[];
  load(things: readonly Thing[]): void;
}

/** Creates an empty collection. */
export function createThings(): Things {
  const things = new Map<string, Thing>();
  let current = 0;
  let newest = 0;
  let configRevision = 0;
  // Changes up to this revision may include removals that are forgotten.
  let forgottenRevision = 0;

  return {
    get revision() {
      return newest;
    },
    get configRevision() {
      return configRevision;
    },
    begin(revision) {
      current = revision;
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
    things.set(key, { kind, name, body, revision: current, ticket, removed: body === '' });
    newest = current;
    if (ticket > 0) configRevision = current;
    if (body === '') forgetTombstones();
  }

  function forgetTombstones(): void {
    const tombstones = [...things.values()].filter((thing) => thing.removed);
    const surplus = tombstones.length - MAX_TOMBSTONES;
    if (surplus <= 0) return;
    for (const tombstone of tombstones.slice(0, surplus)) {
      // A ticket number below this removal must still be refused, so tickets keep their own record.
      things.delete(toKey(tombstone.kind, tombstone.name));
      forgottenRevision = Math.max(forgottenRevision, tombstone.revision);
    }
  }

  function tryGetChanges(revision: number): Thing[] | undefined {
    if (revision < forgottenRevision || revision > newest) return undefined;
    return [...things.values()].filter((thing) => thing.revision > revision);
  }

  function listAll(): Thing[] {
    return [...things.values()].filter((thing) => !thing.removed);
  }

  function load(loaded: readonly Thing[]): void {
    things.clear();
    newest = 0;
    configRevision = 0;
    forgottenRevision = 0;
    for (const thing of loaded) {
      things.set(toKey(thing.kind, thing.name), thing);
      newest = Math.max(newest, thing.revision);
      if (thing.ticket > 0) configRevision = Math.max(configRevision, thing.revision);
    }
    // What was forgotten before the snapshot is not recorded, so older watchers start anew.
    forgottenRevision = newest;
  }
}

function toKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
