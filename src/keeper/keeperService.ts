/** The keeper's gRPC service: authenticates the caller and delegates to the module in charge. */

import {
  status,
  type Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
  type ServiceError,
} from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import { RaisedFailure, toFailure } from '../common/failure.js';
import { createRefusal, tryGetRefusal } from '../common/rpc.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import type {
  ClaimRequest,
  ClaimResponse,
  CloseRequest,
  Command,
  CloseResponse,
  CrashRequest,
  CrashResponse,
  KeeperServer,
  LeaveRequest,
  LeaveResponse,
  ProbeResponse,
  Replica,
  SoloRequest,
  SoloResponse,
} from '../generated/keeper.js';
import { admitLearner, releaseVoter } from './membershipChanges.js';
import type { RunningReplica } from './replica.js';
import type { Sessions } from './sessions.js';
import type { ApplyResult, ClaimOutcome } from './types.js';

const CRASH_IN_FORCE_TIMEOUT_MS = 3_000;

/** External dependencies of the service. */
export interface KeeperServiceHost {
  clock: Clock;
  settings: KeeperProcessSettings;
  logger: Logger;
  self: Replica;
  sessions: Sessions;
  /** Number of voters that the cluster needs. */
  requiredVoters: number;
  /** Whether this keeper may form a new cluster. */
  mayForm: boolean;
  /** Whether this keeper is about to form a cluster. */
  isForming(): boolean;
  /** Undefined until this keeper forms or joins a cluster. */
  tryGetReplica(): RunningReplica | undefined;
}

/** Creates the handlers of the gRPC service. */
export function createKeeperService(host: KeeperServiceHost): KeeperServer {
  const refusedPeers = new Set<string>();

  return {
    peer(stream) {
      if (isRefused(stream.metadata, stream.getPeer())) {
        stream.destroy(createRefusal('peer refused') as ServiceError);
        return;
      }
      stream.on('data', (message) => host.tryGetReplica()?.receive(message));
      stream.on('error', () => {});
      stream.on('end', () => stream.end());
    },
    probe(call, callback) {
      respond(call, callback, () => Promise.resolve(describeSelf()));
    },
    join(call, callback) {
      respond(call, callback, async () => {
        const replica = getReplica();
        const joining = call.request.replica;
        const outcome = joining === undefined ? 'busy' : admitLearner(replica, joining);
        return { outcome };
      });
    },
    leave(call, callback) {
      respond(call, callback, () => Promise.resolve(takeLeaveStep(call.request)));
    },
    session(stream) {
      if (isRefused(stream.metadata, stream.getPeer())) {
        stream.destroy(createRefusal('peer refused') as ServiceError);
        return;
      }
      if (host.tryGetReplica() === undefined) {
        stream.end();
        return;
      }
      host.sessions.serve(stream);
    },
    openClaim: (call, callback) => respond(call, callback, () => openClaim(call.request)),
    closeClaim: (call, callback) => respond(call, callback, () => closeClaim(call.request)),
    reportCrash: (call, callback) => respond(call, callback, () => reportCrash(call.request)),
    changeSolo: (call, callback) => respond(call, callback, () => changeSolo(call.request)),
  };

  /** Whether a peer must be refused. Logs each refusal once per peer and reason. */
  function isRefused(metadata: Metadata, peer: string): boolean {
    const reason = tryGetRefusal(metadata, host.settings);
    if (reason === undefined) return false;
    const key = `${peer.slice(0, peer.lastIndexOf(':'))} ${reason}`;
    if (!refusedPeers.has(key)) host.logger.event('peerRefused', { peer, reason });
    refusedPeers.add(key);
    return true;
  }

  function respond<Request, Response>(
    call: ServerUnaryCall<Request, Response>,
    callback: sendUnaryData<Response>,
    run: () => Promise<Response>,
  ): void {
    if (isRefused(call.metadata, call.getPeer())) {
      callback(createRefusal('peer refused'));
      return;
    }
    run()
      .then((response) => callback(null, response))
      .catch((caught) => callback(toServiceError(caught)));
  }

  function getReplica(): RunningReplica {
    const replica = host.tryGetReplica();
    if (replica === undefined) throw createNotReadyError();
    return replica;
  }

  function describeSelf(): ProbeResponse {
    const raft = host.tryGetReplica()?.raft;
    // A keeper that is about to form a cluster is no voter of another one.
    const isAvailable = raft !== undefined || !host.isForming();
    return {
      replica: isAvailable ? host.self : undefined,
      initialized: (raft?.log.lastIndex ?? 0) > 0,
      membership: raft?.log.membership,
      leaderAddress: raft?.leader?.address ?? '',
      mayForm: host.mayForm,
    };
  }

  function takeLeaveStep({ replica: leaving }: LeaveRequest): LeaveResponse {
    if (leaving === undefined) throw createInvalidMessageError();
    const now = host.clock.now();
    return { outcome: releaseVoter(getReplica(), leaving, now, host.requiredVoters) };
  }

  async function propose(change: Command['change']): Promise<ApplyResult> {
    return getReplica().propose({ change });
  }

  async function openClaim(request: ClaimRequest): Promise<ClaimResponse> {
    if (request.open === undefined) throw createInvalidMessageError();
    const result = await propose({ $case: 'claimOpen', value: request.open });
    return toClaimResponse(result.kind === 'claim' ? result.outcome : { kind: 'unknown' });
  }

  async function closeClaim(request: CloseRequest): Promise<CloseResponse> {
    if (request.close === undefined) throw createInvalidMessageError();
    await propose({ $case: 'claimClose', value: request.close });
    return { stored: true };
  }

  async function reportCrash(request: CrashRequest): Promise<CrashResponse> {
    if (request.report === undefined) throw createInvalidMessageError();
    await propose({ $case: 'crashReport', value: request.report });
    // A caller may resend its request as soon as it is told of the crash, so every entry must know
    // the new suspects before this call returns.
    const { revision } = getReplica().state.things;
    await host.sessions.waitUntilInForce(revision, CRASH_IN_FORCE_TIMEOUT_MS);
    return { stored: true };
  }

  async function changeSolo(request: SoloRequest): Promise<SoloResponse> {
    const { action } = request;
    if (action === undefined) throw createInvalidMessageError();
    const result =
      action.$case === 'open'
        ? await propose({ $case: 'soloOpen', value: action.value })
        : await propose({ $case: 'soloClose', value: action.value });
    return { outcome: result.kind === 'solo' ? result.outcome : 'busy' };
  }
}

function toClaimResponse(outcome: ClaimOutcome): ClaimResponse {
  const answer = outcome.kind === 'finished' ? outcome.answer : undefined;
  return { outcome: outcome.kind, answer };
}

function createNotReadyError(): Error {
  return new RaisedFailure({ kind: 'unavailable', reason: 'no cluster yet' });
}

function createInvalidMessageError(): Error {
  return new RaisedFailure({ kind: 'usage', message: 'incomplete message' });
}

function toServiceError(caught: unknown): Partial<ServiceError> {
  const failure = toFailure(caught);
  if (failure.kind === 'notLeader') {
    return { code: status.FAILED_PRECONDITION, details: 'not leader' };
  }
  if (failure.kind === 'usage') return { code: status.INVALID_ARGUMENT, details: failure.message };
  return { code: status.UNAVAILABLE, details: failure.kind };
}
