/**
 * Which keepers a subscriber connects to: the seeds of the moment and the members of the keepers'
 * cluster as of the newest list that any keeper has sent. A keeper that was removed, cut off or
 * restarted sends an older list, which must not hide newer members.
 */

/** Members of the keepers' cluster, as known to one keeper. */
export interface KeeperList {
  /** Addresses (host:port). */
  addresses: readonly string[];
  /** Committed index of the keepers' log as of which these are the members. */
  index: number;
}

/** The keepers known to a subscriber. */
export interface KeeperDirectory {
  receive(list: KeeperList): void;
  /**
   * Believes a list although its index is lower than that of the newest one: a quorum vouches for
   * it, and none does for the newest one. So it is when a cluster was formed anew.
   */
  replace(list: KeeperList): void;
  /** Whether the newest list contains the address. */
  isMember(address: string): boolean;
  /**
   * Returns the addresses to connect to. Without contact to the cluster, these include former
   * members: a list that left them out may be as outdated as any other.
   */
  list(isInTouch: boolean): Set<string>;
  /** Longest time between two attempts to connect to an address, in milliseconds. */
  getMaxReconnectDelayMs(address: string): number;
}

/** Bounds the addresses that are remembered beside the members and the seeds. */
const MAX_FORMER_MEMBERS = 16;
const MAX_RECONNECT_DELAY_MS = 1_000;
/** Most of the former members are gone for good. */
const MAX_FORMER_RECONNECT_DELAY_MS = 4_000;

/** Creates a directory that knows the seeds only. `getSeeds` returns those of the moment. */
export function createKeeperDirectory(getSeeds: () => readonly string[]): KeeperDirectory {
  let members = new Set<string>();
  let membersIndex = 0;
  /** The latest one last. */
  let formerMembers = new Set<string>();

  return {
    receive,
    replace,
    isMember: (address) => members.has(address),
    list: (isInTouch) => new Set([...getSeeds(), ...members, ...(isInTouch ? [] : formerMembers)]),
    getMaxReconnectDelayMs,
  };

  function receive({ addresses, index }: KeeperList): void {
    if (addresses.length === 0) return;
    if (index < membersIndex) {
      remember(addresses);
      return;
    }
    replace({ addresses, index });
  }

  function replace({ addresses, index }: KeeperList): void {
    const replaced = members;
    members = new Set(addresses);
    membersIndex = index;
    remember([...replaced]);
  }

  function remember(addresses: readonly string[]): void {
    for (const address of addresses) {
      formerMembers.delete(address);
      formerMembers.add(address);
    }
    const former = [...formerMembers].filter((address) => !members.has(address));
    formerMembers = new Set(former.slice(-MAX_FORMER_MEMBERS));
  }

  function getMaxReconnectDelayMs(address: string): number {
    const isExpected = members.has(address) || getSeeds().includes(address);
    return isExpected ? MAX_RECONNECT_DELAY_MS : MAX_FORMER_RECONNECT_DELAY_MS;
  }
}
