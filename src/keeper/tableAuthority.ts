/** Declares and reads the table on any keeper; followers forward both to the leader. */

import type { Metadata, ServiceError } from '@grpc/grpc-js';
import { raise, RaisedFailure } from '../common/failure.js';
import { deadlineIn } from '../common/rpc.js';
import type { ControlClient, DeclareResponse, ReadTableRequest } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import { createDeclarations, type Declarations, type DeclareAlone } from './declarations.js';
import type { RunningReplica } from './replica.js';

/** Longer than a commit takes on a slow disk, shorter than the timeout of an operator's call. */
const DECLARE_TIMEOUT_MS = 3_000;
const READ_TIMEOUT_MS = 900;

/** External dependencies of the table authority. */
export interface TableAuthorityHost {
  metadata: Metadata;
  tryGetReplica(): RunningReplica | undefined;
  getClient(address: string): ControlClient;
}

/** Declares and reads tables. */
export interface TableAuthority {
  /** Latest table applied on this keeper; revision 0 if there is none yet. */
  readonly current: TableDocument;
  /** Resolves once a majority has synced the table. Raises `unavailable` if that is not known. */
  declare(table: TableDocument): Promise<DeclareResponse>;
  /** Declares a table on this keeper without forwarding. Raises `notLeader`. */
  declareLocally(table: TableDocument): Promise<DeclareResponse>;
  /** Reads the table in force, confirmed by a majority. Raises `unavailable`. */
  read(): Promise<TableDocument>;
  /**
   * Reads the table on this keeper without forwarding. Raises `unavailable` unless a majority
   * confirms that it leads.
   */
  readLocally(request: ReadTableRequest): Promise<TableDocument>;
}

const noTable: TableDocument = { revision: 0, document: Buffer.alloc(0) };

/** Creates the authority. */
export function createTableAuthority(host: TableAuthorityHost): TableAuthority {
  let newest: { leaderTerm: string; declarations: Declarations } | undefined;

  return {
    get current() {
      return getCurrent();
    },
    declare,
    declareLocally,
    read,
    readLocally,
  };

  function getCurrent(): TableDocument {
    return host.tryGetReplica()?.state.table.current ?? noTable;
  }

  function getReplica(): RunningReplica {
    return host.tryGetReplica() ?? raise({ kind: 'unavailable', reason: 'no cluster yet' });
  }

  async function declare(table: TableDocument): Promise<DeclareResponse> {
    const { revision } = getCurrent();
    // Committed tables are never rolled back, so this is decided without the leader.
    if (table.revision <= revision) return { outcome: 'superseded', revision };
    const leader = tryGetOtherLeader();
    if (leader === undefined) return declareLocally(table);
    return getDeclarations((declared) =>
      call<DeclareResponse>((done) =>
        leader.declare(declared, host.metadata, deadlineIn(DECLARE_TIMEOUT_MS), done),
      ),
    ).declare(table);
  }

  async function declareLocally(table: TableDocument): Promise<DeclareResponse> {
    const { raft } = getReplica();
    if (raft.role !== 'leader') {
      return raise({ kind: 'notLeader', leader: raft.leader?.operatorAddress });
    }
    return getDeclarations(propose).declare(table);
  }

  /** Those of the leader and term of the moment: a leader that is gone must not hold up others. */
  function getDeclarations(run: DeclareAlone): Declarations {
    const { raft } = getReplica();
    const leaderTerm = `${raft.leader?.storeId} ${raft.term}`;
    if (newest?.leaderTerm !== leaderTerm) {
      newest = { leaderTerm, declarations: createDeclarations(run, DECLARE_TIMEOUT_MS) };
    }
    return newest.declarations;
  }

  async function propose(table: TableDocument): Promise<DeclareResponse> {
    const replica = getReplica();
    const change = { $case: 'tableDeclare' as const, value: table };
    const result = await replica.propose({ change });
    if (result.kind !== 'table') return raise({ kind: 'unexpected', reason: result.kind });
    return { outcome: result.outcome, revision: replica.state.table.current.revision };
  }

  async function read(): Promise<TableDocument> {
    const leader = tryGetOtherLeader();
    if (leader === undefined) return readLocally({ knownRevision: 0 });
    const { current } = getReplica().state.table;
    const request = { knownRevision: current.revision };
    const table = await call<TableDocument>((done) =>
      leader.readTable(request, host.metadata, deadlineIn(READ_TIMEOUT_MS), done),
    );
    return table.revision === current.revision ? current : table;
  }

  async function readLocally(request: ReadTableRequest): Promise<TableDocument> {
    const replica = getReplica();
    if (!(await replica.confirmLeadership())) {
      return raise({ kind: 'unavailable', reason: 'no majority confirms the table' });
    }
    const { current } = replica.state.table;
    const isKnown = current.revision === request.knownRevision;
    return isKnown ? { revision: current.revision, document: Buffer.alloc(0) } : current;
  }

  /** Returns a client of the leader, or undefined if this keeper leads. */
  function tryGetOtherLeader(): ControlClient | undefined {
    const { raft } = getReplica();
    if (raft.role === 'leader') return undefined;
    if (raft.leader === undefined) return raise({ kind: 'unavailable', reason: 'no leader' });
    return host.getClient(raft.leader.address);
  }
}

type Callback<Response> = (error: ServiceError | null, response: Response) => void;

function call<Response>(run: (done: Callback<Response>) => unknown): Promise<Response> {
  return new Promise((resolve, reject) => {
    run((error, response) => {
      if (error === null) resolve(response);
      else reject(new RaisedFailure({ kind: 'unavailable', reason: error.details }));
    });
  });
}
