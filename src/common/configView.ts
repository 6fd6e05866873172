/** A member's copy of the replicated things that the leading keeper pushes to it. */

import type { Member, StateUpdate } from '../generated/keeper.js';
import type { PlainService, Pool, Team, Tier } from '../generated/schemas.js';

/** Type of a thing's body for each kind. */
export interface ThingBodyByKind {
  tier: Tier;
  team: Team;
  pool: Pool;
  service: PlainService;
  member: Member;
  suspect: { state: string };
}

/** The things as of one revision of the replicated state. */
export interface ConfigView {
  readonly revision: number;
  /** Revision of the latest change made by a ticket. */
  readonly configRevision: number;
  tryGet<Kind extends keyof ThingBodyByKind>(
    kind: Kind,
    name: string,
  ): ThingBodyByKind[Kind] | undefined;
  list<Kind extends keyof ThingBodyByKind>(kind: Kind): ThingBodyByKind[Kind][];
  apply(update: StateUpdate): void;
}

/** Creates an empty view at revision 0. */
export function createConfigView(): ConfigView {
  const thingsByKind = new Map<string, Map<string, object>>();
  let revision = 0;
  let configRevision = 0;

  return {
    get revision() {
      return revision;
    },
    get configRevision() {
      return configRevision;
    },
    tryGet: <Kind extends keyof ThingBodyByKind>(kind: Kind, name: string) =>
      thingsByKind.get(kind)?.get(name) as ThingBodyByKind[Kind] | undefined,
    list: <Kind extends keyof ThingBodyByKind>(kind: Kind) =>
      [...(thingsByKind.get(kind)?.values() ?? [])] as ThingBodyByKind[Kind][],
    apply,
  };

  function apply(update: StateUpdate): void {
    // A deposed leader in a network partition may still push a state older than this one.
    if (update.revision < revision) return;
    if (update.full) thingsByKind.clear();
    for (const thing of update.things) {
      if (thing.removed) thingsByKind.get(thing.kind)?.delete(thing.name);
      else getOrCreateKind(thing.kind).set(thing.name, JSON.parse(thing.body) as object);
    }
    revision = update.revision;
    configRevision = Math.max(configRevision, update.configRevision);
  }

  function getOrCreateKind(kind: string): Map<string, object> {
    const existing = thingsByKind.get(kind);
    if (existing !== undefined) return existing;
    const created = new Map<string, object>();
    thingsByKind.set(kind, created);
    return created;
  }
}
