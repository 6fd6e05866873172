/** Entries and agents that have joined, keyed by id and incarnation, and their fencing tokens. */

import type { Member } from '../generated/keeper.js';
import type { ThingWriter } from './types.js';

/** All members of the deployment. */
export interface Members {
  join(member: Member): Member;
  leave(id: string, incarnation: string): void;
  /** Sets the draining flag of all incarnations of a member. Returns false if there are none. */
  drain(id: string, draining: boolean): boolean;
  tryGet(id: string, incarnation: string): Member | undefined;
  list(): Member[];
  save(): SavedMembers;
  load(saved: SavedMembers): void;
}

export interface SavedMembers {
  members: Member[];
  fencingToken: number;
}

/** Creates an empty collection whose changes are published to `things`. */
export function createMembers(things: ThingWriter): Members {
  const members = new Map<string, Member>();
  let fencingToken = 0;

  return { join, leave, drain, tryGet, list, save, load };

  function join(member: Member): Member {
    const earlier = tryGet(member.id, member.incarnation);
    if (earlier !== undefined) return earlier;
    fencingToken += 1;
    const joined = { ...member, fencingToken };
    put(joined);
    return joined;
  }

  function leave(id: string, incarnation: string): void {
    const key = toMemberKey(id, incarnation);
    if (!members.delete(key)) return;
    things.remove('member', key, 0);
  }

  function drain(id: string, draining: boolean): boolean {
    let isKnown = false;
    for (const member of members.values()) {
      if (member.id !== id) continue;
      put({ ...member, draining });
      isKnown = true;
    }
    return isKnown;
  }

  function put(member: Member): void {
    const key = toMemberKey(member.id, member.incarnation);
    members.set(key, member);
    things.put('member', key, member, 0);
  }

  function tryGet(id: string, incarnation: string): Member | undefined {
    return members.get(toMemberKey(id, incarnation));
  }

  function list(): Member[] {
    return [...members.values()];
  }

  function save(): SavedMembers {
    return { members: list(), fencingToken };
  }

  function load(saved: SavedMembers): void {
    members.clear();
    fencingToken = saved.fencingToken;
    for (const member of saved.members) {
      members.set(toMemberKey(member.id, member.incarnation), member);
    }
  }
}

/** Name of the thing that publishes a member. */
export function toMemberKey(id: string, incarnation: string): string {
  return `${id}/${incarnation}`;
}
