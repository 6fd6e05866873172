/** A member's copy of the things it follows. */

import type { Member, StateUpdate } from '../generated/keeper.js';
import type { PlainService, Pool, Team, Tier } from '../generated/schemas.js';

/** Bodies by kind. */
export interface ThingBodies {
  tier: Tier;
  team: Team;
  pool: Pool;
  service: PlainService;
  member: Member;
  suspect: { state: string };
}

/** Things at one revision. */
export interface ConfigView {
  readonly revision: number;
  tryGet<Kind extends keyof ThingBodies>(kind: Kind, name: string): ThingBodies[Kind] | undefined;
  list<Kind extends keyof ThingBodies>(kind: Kind): ThingBodies[Kind][];
  apply(update: StateUpdate): void;
}

/** Creates an empty view at revision 0. */
export function createConfigView(): ConfigView {
  const kinds = new Map<string, Map<string, object>>();
  let revision = 0;

  return {
    get revision() {
      return revision;
    },
    tryGet: <Kind extends keyof ThingBodies>(kind: Kind, name: string) =>
      kinds.get(kind)?.get(name) as ThingBodies[Kind] | undefined,
    list: <Kind extends keyof ThingBodies>(kind: Kind) =>
      [...(kinds.get(kind)?.values() ?? [])] as ThingBodies[Kind][],
    apply,
  };

  function apply(update: StateUpdate): void {
    // A leader that was cut off may still push a state that is older than the one in force.
    if (update.revision < revision) return;
    if (update.full) kinds.clear();
    for (const thing of update.things) {
      if (thing.removed) kinds.get(thing.kind)?.delete(thing.name);
      else getKind(thing.kind).set(thing.name, JSON.parse(thing.body) as object);
    }
    revision = update.revision;
  }

  function getKind(kind: string): Map<string, object> {
    const known = kinds.get(kind);
    if (known !== undefined) return known;
    const created = new Map<string, object>();
    kinds.set(kind, created);
    return created;
  }
}
