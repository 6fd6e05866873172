/**
 * Drives one replica: owns the store, the state and the timer. Whatever arrives while a write is
 * being synced is written together with the next one (group commit).
 */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { Measures } from '../common/measures.js';
import type {
  Command,
  LogEntry,
  Membership,
  PeerMessage,
  Replica,
  SnapshotFile,
} from '../generated/keeper.js';
import { RaisedFailure } from '../common/failure.js';
import { createConfirmations } from './confirmations.js';
import { createRaft, type Raft, type Ready } from './raft.js';
import type { Envelope } from './raftCore.js';
import { getEntryBytes } from './raftLog.js';
import { createReplicatedState, type State } from './state.js';
import type { Store } from './store.js';
import type { ApplyResult } from './types.js';

const TICK_MS = 20;
const PROPOSAL_TIMEOUT_MS = 5_000;
const TRAILING_ENTRIES = 500;
const DEFAULT_SNAPSHOT_ENTRIES = 10_000;
/** Size of the large entries after which a snapshot is written, and of those kept behind it. */
const SNAPSHOT_BYTES = 8 * 1024 * 1024;
const TRAILING_BYTES = 1024 * 1024;
/** Largest size of the backlog of proposals; beyond it callers are refused at once. */
const MAX_PENDING_PROPOSALS = 20_000;

/** What a replica needs from outside. */
export interface ReplicaHost {
  clock: Clock;
  logger: Logger;
  measures: Measures;
  send(envelope: Envelope): void;
  /** Called after each batch of committed entries was applied. */
  onApplied(): void;
  onRoleChange(isLeader: boolean): void;
  /** The disk failed; the process cannot go on. */
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
  /** Whether this replica leads and has applied all that earlier leaders committed. */
  readonly isServing: boolean;
  /** Applied log index. */
  readonly appliedIndex: number;
  receive(message: PeerMessage): void;
  /** Commits and applies a command; raises `notLeader` or `unavailable`. */
  propose(command: Command): Promise<ApplyResult>;
  proposeMembership(membership: Membership): boolean;
  /** Resolves to true when this replica surely leads and has applied all that was committed before. */
  confirm(): Promise<boolean>;
  /** Writes a snapshot now; resolves with its index. */
  snapshot(): Promise<number>;
  stop(): Promise<void>;
}

interface Proposal {
  term: number;
  resolve(result: ApplyResult): void;
  reject(caught: Error): void;
  timer: NodeJS.Timeout;
}

/** Starts a replica on an opened store. */
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
  let settledTerm = 0;
  let isPumping = false;
  let bytesSinceSnapshot = 0;
  let isStopped = false;
  let isLeader = false;
  let wantsSnapshot: ((index: number) => void)[] = [];
  let pumpDone = Promise.resolve();
  if (snapshot !== undefined) {
    state.load(snapshot.state);
    appliedIndex = snapshot.header?.index ?? 0;
  }
  const raftHost = { random: Math.random, readSnapshot: () => snapshot };
  const raft = createRaft(
    raftHost,
    options.deployment,
    options.self,
    store.state.initial,
    clock.now(),
  );
  const confirmations = createConfirmations(raft, clock);
  const timer = setInterval(() => {
    raft.tick(clock.now());
    confirmations.review(appliedIndex);
    pump();
  }, TICK_MS);

  return {
    raft,
    state,
    get isServing() {
      return raft.role === 'leader' && settledTerm === raft.term;
    },
    get appliedIndex() {
      return appliedIndex;
    },
    receive(message) {
      raft.step(message, clock.now());
      confirmations.review(appliedIndex);
      pump();
    },
    propose,
    proposeMembership(membership) {
      const isProposed = raft.tryProposeMembership(membership);
      pump();
      return isProposed;
    },
    confirm,
    snapshot: () =>
      new Promise((resolve) => {
        wantsSnapshot.push(resolve);
        pump();
      }),
    stop,
  };

  function propose(command: Command): Promise<ApplyResult> {
    return new Promise((resolve, reject) => {
      const place = proposals.size < MAX_PENDING_PROPOSALS ? raft.tryPropose(command) : undefined;
      if (place === undefined) {
        reject(new RaisedFailure({ kind: 'notLeader', leader: raft.leader?.operatorAddress }));
        return;
      }
      const timeout = setTimeout(() => {
        proposals.delete(place.index);
        reject(createLostProposal('no majority answered in time'));
      }, PROPOSAL_TIMEOUT_MS);
      proposals.set(place.index, { term: place.term, resolve, reject, timer: timeout });
      pump();
    });
  }

  function confirm(): Promise<boolean> {
    if (raft.role !== 'leader' || settledTerm !== raft.term) return Promise.resolve(false);
    const confirmed = confirmations.begin();
    pump();
    return confirmed;
  }

  function pump(): void {
    if (isPumping || isStopped) return;
    isPumping = true;
    pumpDone = runPump().catch((caught) => {
      isStopped = true;
      host.onFatal(caught);
    });
  }

  async function runPump(): Promise<void> {
    while (!isStopped && (raft.hasReady() || wantsSnapshot.length > 0)) {
      if (raft.hasReady()) await handleReady(raft.takeReady());
      noteRole();
      if (shouldSnapshot()) await writeSnapshot();
    }
    isPumping = false;
  }

  async function handleReady(ready: Ready): Promise<void> {
    if (ready.snapshot !== undefined) await installSnapshot(ready.snapshot);
    if (ready.hardState !== undefined || ready.entries.length > 0) {
      const startedAt = clock.now();
      await store.write(ready.hardState, ready.entries);
      measures.timing('keeperSync', clock.now() - startedAt);
    }
    const last = ready.entries.at(-1);
    if (last !== undefined) raft.persisted(last.index, last.term);
    for (const envelope of ready.messages) host.send(envelope);
    if (ready.committed.length > 0 || ready.snapshot !== undefined) applyAll(ready.committed);
  }

  async function installSnapshot(installed: SnapshotFile): Promise<void> {
    const index = installed.header?.index ?? 0;
    await store.saveSnapshot(installed, raft.hardState, []);
    snapshot = installed;
    state.load(installed.state);
    appliedIndex = index;
    logger.event('snapshotInstalled', { index });
  }

  function applyAll(committed: readonly LogEntry[]): void {
    for (const entry of committed) applyEntry(entry);
    measures.count('keeperCommits', committed.length);
    confirmations.review(appliedIndex);
    host.onApplied();
  }

  function applyEntry(entry: LogEntry): void {
    appliedIndex = entry.index;
    bytesSinceSnapshot += getEntryBytes(entry);
    const { payload } = entry;
    const result: ApplyResult =
      payload?.$case === 'command' ? state.apply(payload.value, entry.index) : { kind: 'done' };
    if (payload?.$case === 'membership') noteMembership(payload.value);
    if (payload?.$case === 'noop') settledTerm = entry.term;
    const proposal = proposals.get(entry.index);
    if (proposal === undefined) return;
    proposals.delete(entry.index);
    clearTimeout(proposal.timer);
    if (proposal.term === entry.term) proposal.resolve(result);
    else proposal.reject(createLostProposal('another leader took over'));
  }

  function noteMembership(membership: Membership): void {
    const voters = membership.voters.map((voter) => voter.id).join(',');
    const learners = membership.learners.map((learner) => learner.id).join(',');
    logger.event('membershipChanged', { voters, learners });
  }

  function noteRole(): void {
    const leads = raft.role === 'leader';
    if (leads === isLeader) return;
    isLeader = leads;
    logger.event(leads ? 'leaderElected' : 'leaderLost', { term: raft.term });
    host.onRoleChange(leads);
  }

  function shouldSnapshot(): boolean {
    const limit = options.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES;
    const applied = appliedIndex - (snapshot?.header?.index ?? 0);
    const isLarge = bytesSinceSnapshot >= SNAPSHOT_BYTES;
    return wantsSnapshot.length > 0 || isLarge || applied >= limit + TRAILING_ENTRIES;
  }

  async function writeSnapshot(): Promise<void> {
    const waiting = wantsSnapshot;
    wantsSnapshot = [];
    if (appliedIndex > (snapshot?.header?.index ?? 0)) await saveAppliedState();
    for (const resolve of waiting) resolve(appliedIndex);
  }

  async function saveAppliedState(): Promise<void> {
    const header = {
      index: appliedIndex,
      term: raft.log.tryGetTerm(appliedIndex) ?? 0,
      membership: raft.log.getMembershipAt(appliedIndex),
    };
    const next = { header, state: state.save() };
    // Entries not yet handed out for writing are written with the next batch as well.
    const kept = raft.log.getEntries(appliedIndex + 1, Number.POSITIVE_INFINITY);
    const bytes = await store.saveSnapshot(next, raft.hardState, kept);
    snapshot = next;
    bytesSinceSnapshot = 0;
    compactLog();
    logger.event('snapshotWritten', { index: header.index, bytes });
  }

  /** Keeps a few entries behind the snapshot for replicas that lag a little. */
  function compactLog(): void {
    let index = appliedIndex;
    let bytes = 0;
    while (appliedIndex - index < TRAILING_ENTRIES && bytes < TRAILING_BYTES) {
      const entry = raft.log.tryGetEntry(index);
      if (entry === undefined) break;
      bytes += getEntryBytes(entry);
      index -= 1;
    }
    const term = raft.log.tryGetTerm(index);
    if (term === undefined) return;
    raft.log.compact({ index, term, membership: raft.log.getMembershipAt(index) });
  }

  async function stop(): Promise<void> {
    isStopped = true;
    clearInterval(timer);
    confirmations.close();
    await pumpDone;
    for (const proposal of proposals.values()) {
      clearTimeout(proposal.timer);
      proposal.reject(createLostProposal('the keeper stops'));
    }
    await store.close();
  }
}

function createLostProposal(reason: string): Error {
  return new RaisedFailure({ kind: 'unavailable', reason });
}
