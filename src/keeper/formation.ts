/**
 * Cluster formation. A keeper with an empty store forms a new cluster only if every other
 * configured keeper reports an empty store, too, and none with a lower address may form one.
 * Otherwise it joins a cluster as a learner.
 */

import type { Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { delay } from '../common/delay.js';
import type { Logger } from '../common/logging.js';
import { deadlineIn } from '../common/rpc.js';
import type {
  JoinRequest,
  JoinResponse,
  Membership,
  ProbeResponse,
  Replica,
} from '../generated/keeper.js';
import type { Peers } from './peers.js';
import type { RunningReplica } from './replica.js';
import type { Store } from './store.js';

const PROBE_INTERVAL_MS = 200;
const PROBE_TIMEOUT_MS = 1_000;
/** After this time without a leader, a keeper asks the others whether it is still a member. */
const LEADERLESS_TIMEOUT_MS = 2_000;

/** External dependencies of cluster formation. */
export interface FormationHost {
  peers: Peers;
  logger: Logger;
  metadata: Metadata;
  deployment: string;
  self: Replica;
  /** Whether this keeper may form a new cluster. */
  mayForm: boolean;
  /** Receives whether this keeper is about to form a cluster; its probe responses then say so. */
  announceForming(isForming: boolean): void;
  /** Addresses of all configured keepers, in any order. */
  getAddresses(): readonly string[];
  isStopped(): boolean;
}

/** Whether nothing has ever been written to the store. */
export function isEmptyStore(store: Store): boolean {
  const { hardState, entries, header } = store.state.initial;
  return hardState.term === 0 && entries.length === 0 && header.index === 0;
}

/** Whether a keeper with an empty store forms a new cluster or joins an existing one. */
export type BootstrapDecision = { kind: 'form'; voters: Replica[] } | { kind: 'join' };

/**
 * Resolves once it is known whether this keeper forms a cluster or joins one. A keeper that is not
 * the first announces that it is about to form a cluster and then asks the others once more: one
 * that may have been started in the meantime has either answered by then or waits.
 */
export async function decideClusterBootstrap(host: FormationHost): Promise<BootstrapDecision> {
  const configured = [...host.getAddresses()].sort();
  const { address: ownAddress } = host.self;
  if (!host.mayForm || !configured.includes(ownAddress)) return { kind: 'join' };
  const others = configured.filter((address) => address !== ownAddress);
  const isFirst = configured[0] === ownAddress;
  let isForming = false;
  while (!host.isStopped()) {
    // The settings may name other keepers by now, which may belong to a cluster.
    const known = host.getAddresses().filter((address) => address !== ownAddress);
    const addresses = [...new Set([...others, ...known])];
    const answers = await Promise.all(addresses.map((address) => tryProbe(host, address)));
    if (answers.some((answer) => answer?.initialized)) return { kind: 'join' };
    const voters = tryListVoters(host.self, answers.slice(0, others.length));
    const hasAskedSince = isFirst || isForming;
    isForming = voters !== undefined;
    host.announceForming(isForming);
    if (voters !== undefined && hasAskedSince) return { kind: 'form', voters };
    await delay(PROBE_INTERVAL_MS);
  }
  return { kind: 'join' };
}

/** Returns the voters if all others have answered and none with a lower address forms a cluster. */
function tryListVoters(
  self: Replica,
  answers: readonly (ProbeResponse | undefined)[],
): Replica[] | undefined {
  const voters = [self];
  for (const answer of answers) {
    if (answer?.replica === undefined) return undefined;
    if (answer.mayForm && answer.replica.address < self.address) return undefined;
    voters.push(answer.replica);
  }
  return voters;
}

/** Writes the first entry of a new cluster. */
export async function formCluster(
  host: FormationHost,
  store: Store,
  voters: Replica[],
): Promise<void> {
  const payload = { $case: 'membership' as const, value: { voters, learners: [] } };
  await store.write({ term: 1, votedFor: '' }, [{ index: 1, term: 1, payload }]);
  host.logger.event('clusterFormed', { voters: voters.map((voter) => voter.id).join(',') });
}

/**
 * Asks the leader to add this keeper as a learner whenever it is not a member: when its store is
 * empty, or when it was replaced while it was down. Runs until the keeper stops.
 */
export async function maintainMembership(
  host: FormationHost,
  replica: RunningReplica,
  clock: Clock,
): Promise<void> {
  const probed = new Set<string>();
  let hasLoggedRejoin = false;
  while (!host.isStopped()) {
    await delay(PROBE_INTERVAL_MS);
    if (!needsMembership(replica, clock)) continue;
    for (const address of listKnownAddresses(host, replica)) {
      if (probed.has(address)) continue;
      probed.add(address);
      // An address that does not answer must not hold up the others.
      void joinThrough(address).finally(() => probed.delete(address));
    }
  }

  async function joinThrough(address: string): Promise<void> {
    const answer = await tryProbe(host, address);
    if (!answer?.initialized || answer.leaderAddress === '') return;
    if (isMember(answer.membership, host.self) || !needsMembership(replica, clock)) return;
    if (!hasLoggedRejoin) host.logger.event('keeperRejoins', {});
    hasLoggedRejoin = true;
    await tryJoin(host, answer.leaderAddress);
  }
}

/** Whether the store is empty, or no leader has been heard for long. */
function needsMembership({ raft }: RunningReplica, clock: Clock): boolean {
  // A keeper that was removed still knows its last leader.
  return raft.log.lastIndex === 0 || raft.getTimeSinceLeaderMs(clock.now()) > LEADERLESS_TIMEOUT_MS;
}

/** Addresses of the other members and of the other configured keepers. */
export function listKnownAddresses(host: FormationHost, { raft }: RunningReplica): Set<string> {
  const { voters, learners } = raft.log.membership;
  const known = [...voters, ...learners].map(({ address }) => address);
  const addresses = new Set([...host.getAddresses(), ...known]);
  addresses.delete(host.self.address);
  return addresses;
}

function isMember(membership: Membership | undefined, self: Replica): boolean {
  const replicas = [...(membership?.voters ?? []), ...(membership?.learners ?? [])];
  return replicas.some((replica) => replica.storeId === self.storeId);
}

function tryProbe(host: FormationHost, address: string): Promise<ProbeResponse | undefined> {
  const request = { deployment: host.deployment, from: host.self };
  return new Promise((resolve) => {
    host.peers
      .getClient(address)
      .probe(request, host.metadata, deadlineIn(PROBE_TIMEOUT_MS), (error, response) => {
        resolve(error === null ? response : undefined);
      });
  });
}

function tryJoin(host: FormationHost, address: string): Promise<JoinResponse | undefined> {
  const request: JoinRequest = { deployment: host.deployment, replica: host.self };
  return new Promise((resolve) => {
    host.peers
      .getClient(address)
      .join(request, host.metadata, deadlineIn(PROBE_TIMEOUT_MS), (error, response) => {
        resolve(error === null ? response : undefined);
      });
  });
}
