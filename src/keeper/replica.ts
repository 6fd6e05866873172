/**
 * Drives one Raft replica; owns the store, the replicated state and the tick timer. Entries that
 * arrive while a write is being synced are written together in the next one (group commit).
 */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import type {
  Command,
  LogEntry,
  Membership,
  PeerMessage,
  Replica,
  SnapshotFile,
} from '../generated/keeper.js';
import { delay } from '../common/delay.js';
import { RaisedFailure } from '../common/failure.js';
import { createRunningTime } from '../common/runningTime.js';
import { createReadIndexRequests } from './readIndex.js';
import { createProgressReports } from './progressReports.js';
import { createRaft, type Raft, type Ready } from './raft.js';
import { ELECTION_TIMEOUT_MS, type Envelope } from './raftCore.js';
import { getEntryPayloadBytes } from './raftLog.js';
import { createReplicatedState, type State } from './state.js';
import type { Store } from './store.js';
import type { ApplyResult } from './types.js';

const TICK_INTERVAL_MS = 20;
/** Time between two ticks that counts at most as time of the disk. */
const MAX_TICK_MS = 100;
const PROPOSAL_TIMEOUT_MS = 5_000;
const SNAPSHOT_TIMEOUT_MS = 5_000;
/** A leader whose disk does not return for this long lets another replica lead. */
const LEADER_DISK_TIMEOUT_MS = ELECTION_TIMEOUT_MS;
/** That time grows so far while no operation is faster: no other disk may be any better. */
const MAX_LEADER_DISK_TIMEOUT_MS = PROPOSAL_TIMEOUT_MS;
/** Maximum time that a stop waits for an operation of the disk that does not return. */
const STORE_CLOSE_TIMEOUT_MS = 2_000;
const MAX_TRAILING_ENTRIES = 500;
const DEFAULT_SNAPSHOT_THRESHOLD_ENTRIES = 10_000;
/** Total size of applied table documents and ticket bodies that triggers a snapshot. */
const SNAPSHOT_THRESHOLD_BYTES = 8 * 1024 * 1024;
/** Total size of table documents and ticket bodies that stay in the log before a snapshot. */
const MAX_TRAILING_BYTES = 1024 * 1024;
/** Bounds the backlog of proposals; further ones are rejected at once. */
const MAX_PENDING_PROPOSALS = 20_000;

/** External dependencies of a replica. */
export interface ReplicaHost {
  clock: Clock;
  logger: Logger;
  measures: MetricsRecorder;
  send(envelope: Envelope): void;
  /** Called after each batch of committed entries is applied. */
  onApplied(): void;
  onRoleChange(isLeader: boolean): void;
  /** Called when the replica cannot continue, for example after a disk failure. */
  onFatal(caught: unknown): void;
}

/** Options of a replica. */
export interface ReplicaOptions {
  deployment: string;
  self: Replica;
  snapshotEntries: number | undefined;
}

/** A running replica. */
export interface RunningReplica {
  readonly raft: Raft;
  readonly state: State;
  /** Whether this replica leads and has applied all entries that earlier leaders committed. */
  readonly isServing: boolean;
  /** Index of the last applied log entry. */
  readonly appliedIndex: number;
  receive(message: PeerMessage): void;
  /** Commits and applies a command. Raises `notLeader` or `unavailable`. */
  propose(command: Command): Promise<ApplyResult>;
  proposeMembership(membership: Membership): boolean;
  /** Begins to transfer the lead to another voter; see `Raft.tryTransferLead`. */
  tryTransferLead(): boolean;
  /**
   * Resolves to true once a majority confirms that this replica leads and it has applied all
   * entries committed before the call. Resolves to false if that fails.
   */
  confirmLeadership(): Promise<boolean>;
  /** Writes a snapshot now. Resolves with its index, or raises `unavailable` if that takes long. */
  snapshot(): Promise<number>;
  stop(): Promise<void>;
}

interface Proposal {
  term: number;
  resolve(result: ApplyResult): void;
  reject(caught: Error): void;
  timer: NodeJS.Timeout;
}

/** Starts a replica on an open store. */
export function createReplica(
  host: ReplicaHost,
  options: ReplicaOptions,
  store: Store,
): RunningReplica {
  const { clock, logger, measures } = host;
  const state = createReplicatedState();
  const proposals = new Map<number, Proposal>();
  let { snapshot } = store.state;
  let appliedIndex = 0;
  let appliedNoopTerm = 0;
  let isLoopRunning = false;
  let bytesSinceSnapshot = 0;
  let isStopped = false;
  let isLeader = false;
  /** While this process does not run, it does not notice that the disk has returned. */
  const runningTime = createRunningTime(clock, MAX_TICK_MS);
  /** Running time at which the operation of the store that runs began. */
  let storeBusySince: number | undefined;
  let leaderDiskTimeoutMs = LEADER_DISK_TIMEOUT_MS;
  /** Called with the index of the next snapshot. */
  let snapshotWaiters: ((index: number) => void)[] = [];
  let loopDone = Promise.resolve();
  if (snapshot !== undefined) {
    state.load(snapshot.state);
    appliedIndex = snapshot.header?.index ?? 0;
  }
  const raftHost = { random: Math.random, readSnapshot: () => snapshot };
  const { deployment, self } = options;
  const raft = createRaft(raftHost, deployment, self, store.state.initial, clock.now());
  for (const entry of raft.takeReady().committed) applyEntry(entry);
  const readIndexRequests = createReadIndexRequests(raft, clock);
  const progressReports = createProgressReports(logger, raft);
  const timer = setInterval(() => {
    runningTime.advance();
    if (isDiskStalled()) stopLeading();
    // Neither a heartbeat nor a vote could be sent before the disk returns.
    else raft.tick(clock.now());
    progressReports.update(clock.now(), getDiskBusyMs());
    readIndexRequests.settleDecided(appliedIndex);
    processReady();
  }, TICK_INTERVAL_MS);

  return {
    raft,
    state,
    get isServing() {
      return raft.role === 'leader' && appliedNoopTerm === raft.term;
    },
    get appliedIndex() {
      return appliedIndex;
    },
    receive(message) {
      raft.step(message, clock.now());
      readIndexRequests.settleDecided(appliedIndex);
      processReady();
    },
    propose,
    proposeMembership(membership) {
      const isProposed = raft.tryProposeMembership(membership);
      processReady();
      return isProposed;
    },
    tryTransferLead() {
      const isBegun = raft.tryTransferLead(clock.now());
      processReady();
      return isBegun;
    },
    confirmLeadership,
    snapshot: requestSnapshot,
    stop,
  };

  function propose(command: Command): Promise<ApplyResult> {
    return new Promise((resolve, reject) => {
      const entry = proposals.size < MAX_PENDING_PROPOSALS ? raft.tryPropose(command) : undefined;
      if (entry === undefined) {
        reject(createRefusedError());
        return;
      }
      const timeout = setTimeout(() => {
        proposals.delete(entry.index);
        reject(createUnavailableError('no majority answered in time'));
      }, PROPOSAL_TIMEOUT_MS);
      proposals.set(entry.index, { term: entry.term, resolve, reject, timer: timeout });
      processReady();
    });
  }

  function createRefusedError(): Error {
    if (raft.role === 'leader') return createUnavailableError('the leader takes no proposals now');
    return new RaisedFailure({ kind: 'notLeader', leader: raft.leader?.operatorAddress });
  }

  function confirmLeadership(): Promise<boolean> {
    if (raft.role !== 'leader' || appliedNoopTerm !== raft.term) return Promise.resolve(false);
    const confirmed = readIndexRequests.begin();
    processReady();
    return confirmed;
  }

  function requestSnapshot(): Promise<number> {
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(() => {
        reject(createUnavailableError('the snapshot is not written in time'));
      }, SNAPSHOT_TIMEOUT_MS);
      snapshotWaiters.push((index) => {
        clearTimeout(timeout);
        resolve(index);
      });
      processReady();
    });
  }

  function processReady(): void {
    if (isLoopRunning || isStopped) return;
    isLoopRunning = true;
    loopDone = runReadyLoop().catch((caught) => {
      // A stop ends the operations of the store that wait for the disk.
      if (isStopped) return;
      isStopped = true;
      host.onFatal(caught);
    });
  }

  async function runReadyLoop(): Promise<void> {
    while (!isStopped && (raft.hasReady() || snapshotWaiters.length > 0)) {
      if (raft.hasReady()) await handleReady(raft.takeReady());
      updateRole();
      if (shouldSnapshot()) await writeSnapshot();
    }
    isLoopRunning = false;
  }

  async function handleReady(ready: Ready): Promise<void> {
    if (ready.snapshot !== undefined) await installSnapshot(ready.snapshot);
    if (ready.hardState !== undefined || ready.entries.length > 0) {
      const startedAt = clock.now();
      await useStore(() => store.write(ready.hardState, ready.entries));
      measures.timing('keeperSync', clock.now() - startedAt);
    }
    const last = ready.entries.at(-1);
    if (last !== undefined) raft.markPersisted(last.index, last.term);
    for (const envelope of ready.messages) {
      // Followers must not take a leader that has given up for one that leads.
      const isOutdated = envelope.message.body?.$case === 'appendRequest' && raft.role !== 'leader';
      if (!isOutdated) host.send(envelope);
    }
    if (ready.committed.length > 0 || ready.snapshot !== undefined) applyAll(ready.committed);
  }

  async function useStore<Result>(run: () => Promise<Result>): Promise<Result> {
    const startedAt = clock.now();
    storeBusySince = runningTime.now;
    try {
      return await run();
    } finally {
      storeBusySince = undefined;
      if (clock.now() - startedAt < LEADER_DISK_TIMEOUT_MS) {
        leaderDiskTimeoutMs = LEADER_DISK_TIMEOUT_MS;
      }
    }
  }

  function getDiskBusyMs(): number {
    return storeBusySince === undefined ? 0 : runningTime.now - storeBusySince;
  }

  function isDiskStalled(): boolean {
    return (
      getDiskBusyMs() > (raft.role === 'leader' ? leaderDiskTimeoutMs : LEADER_DISK_TIMEOUT_MS)
    );
  }

  function stopLeading(): void {
    if (raft.role !== 'leader') return;
    raft.stopLeading(clock.now());
    leaderDiskTimeoutMs = Math.min(2 * leaderDiskTimeoutMs, MAX_LEADER_DISK_TIMEOUT_MS);
    updateRole();
    rejectProposals('the disk of the leader does not answer');
  }

  async function installSnapshot(installed: SnapshotFile): Promise<void> {
    const index = installed.header?.index ?? 0;
    await useStore(() => store.saveSnapshot(installed, raft.hardState, []));
    snapshot = installed;
    state.load(installed.state);
    appliedIndex = index;
    logger.event('snapshotInstalled', { index });
  }

  function applyAll(committed: readonly LogEntry[]): void {
    for (const entry of committed) applyEntry(entry);
    const last = committed.at(-1);
    if (last !== undefined) store.recordCommitted({ index: last.index, term: last.term });
    measures.count('keeperCommits', committed.length);
    readIndexRequests.settleDecided(appliedIndex);
    host.onApplied();
  }

  function applyEntry(entry: LogEntry): void {
    appliedIndex = entry.index;
    bytesSinceSnapshot += getEntryPayloadBytes(entry);
    const { payload } = entry;
    const result: ApplyResult =
      payload?.$case === 'command' ? state.apply(payload.value, entry.index) : { kind: 'done' };
    if (payload?.$case === 'membership') logMembershipChange(payload.value);
    if (payload?.$case === 'noop') appliedNoopTerm = entry.term;
    const proposal = proposals.get(entry.index);
    if (proposal === undefined) return;
    proposals.delete(entry.index);
    clearTimeout(proposal.timer);
    if (proposal.term === entry.term) proposal.resolve(result);
    else proposal.reject(createUnavailableError('another leader took over'));
  }

  function logMembershipChange(membership: Membership): void {
    const voters = membership.voters.map((voter) => voter.id).join(',');
    const learners = membership.learners.map((learner) => learner.id).join(',');
    logger.event('membershipChanged', { voters, learners });
  }

  function updateRole(): void {
    const leads = raft.role === 'leader';
    if (leads === isLeader) return;
    isLeader = leads;
    const lostStores = leads ? raft.discountedStores.join(',') : undefined;
    logger.event(leads ? 'leaderElected' : 'leaderLost', { term: raft.term, lostStores });
    host.onRoleChange(leads);
  }

  function shouldSnapshot(): boolean {
    // A snapshot from the leader, not installed yet, has replaced the log.
    if (raft.log.snapshot.index > appliedIndex) return false;
    const limit = options.snapshotEntries ?? DEFAULT_SNAPSHOT_THRESHOLD_ENTRIES;
    const applied = appliedIndex - (snapshot?.header?.index ?? 0);
    const isLarge = bytesSinceSnapshot >= SNAPSHOT_THRESHOLD_BYTES;
    return snapshotWaiters.length > 0 || isLarge || applied >= limit + MAX_TRAILING_ENTRIES;
  }

  async function writeSnapshot(): Promise<void> {
    const waiters = snapshotWaiters;
    snapshotWaiters = [];
    if (appliedIndex > (snapshot?.header?.index ?? 0)) await saveAppliedState();
    for (const resolve of waiters) resolve(appliedIndex);
  }

  async function saveAppliedState(): Promise<void> {
    const header = {
      index: appliedIndex,
      term: raft.log.tryGetTerm(appliedIndex) ?? 0,
      membership: raft.log.getMembershipAt(appliedIndex),
    };
    const next = { header, state: state.save() };
    // The new log also gets entries that are not handed out for writing yet. The next batch writes
    // these again.
    const kept = raft.log.getEntries(appliedIndex + 1, Number.POSITIVE_INFINITY);
    const bytes = await useStore(() => store.saveSnapshot(next, raft.hardState, kept));
    snapshot = next;
    bytesSinceSnapshot = 0;
    compactLog();
    logger.event('snapshotWritten', { index: header.index, bytes });
  }

  /** Keeps some entries before the snapshot, so that slightly lagging replicas need no snapshot. */
  function compactLog(): void {
    let index = appliedIndex;
    let bytes = 0;
    while (appliedIndex - index < MAX_TRAILING_ENTRIES && bytes < MAX_TRAILING_BYTES) {
      const entry = raft.log.tryGetEntry(index);
      if (entry === undefined) break;
      bytes += getEntryPayloadBytes(entry);
      index -= 1;
    }
    const term = raft.log.tryGetTerm(index);
    if (term === undefined) return;
    raft.log.compact({ index, term, membership: raft.log.getMembershipAt(index) });
  }

  async function stop(): Promise<void> {
    isStopped = true;
    clearInterval(timer);
    readIndexRequests.close();
    const closed = Promise.all([store.close(), loopDone]);
    await Promise.race([closed, delay(STORE_CLOSE_TIMEOUT_MS)]);
    rejectProposals('the keeper stops');
  }

  function rejectProposals(reason: string): void {
    for (const proposal of proposals.values()) {
      clearTimeout(proposal.timer);
      proposal.reject(createUnavailableError(reason));
    }
    proposals.clear();
  }
}

function createUnavailableError(reason: string): Error {
  return new RaisedFailure({ kind: 'unavailable', reason });
}
