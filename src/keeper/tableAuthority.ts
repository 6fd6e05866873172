/** Declares and reads the table in force at any keeper: the leader decides, the others ask it. */

import type { Metadata, ServiceError } from '@grpc/grpc-js';
import { raise, RaisedFailure } from '../common/failure.js';
import { deadlineIn } from '../common/rpc.js';
import type { ControlClient, DeclareResponse, ReadTableRequest } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import type { RunningReplica } from './replica.js';

/** Above the time that a commit takes on a slow disk, below the patience of an operator's call. */
const DECLARE_TIMEOUT_MS = 3_000;
const READ_TIMEOUT_MS = 900;

/** What the authority needs from outside. */
export interface TableAuthorityHost {
  metadata: Metadata;
  tryGetReplica(): RunningReplica | undefined;
  getClient(address: string): ControlClient;
}

/** Declares and reads tables. */
export interface TableAuthority {
  /** The newest table known here to be committed; revision 0 before the first. */
  readonly current: TableDocument;
  /** Resolves once a majority has synced the table; raises `unavailable` when that is not known. */
  declare(table: TableDocument): Promise<DeclareResponse>;
  /** Declares at this keeper only; raises `notLeader`. */
  declareHere(table: TableDocument): Promise<DeclareResponse>;
  /** The table in force as a majority confirms it; raises `unavailable`. */
  read(): Promise<TableDocument>;
  /** Reads at this keeper only; raises `unavailable` unless it surely leads. */
  readHere(request: ReadTableRequest): Promise<TableDocument>;
}

const noTable: TableDocument = { revision: 0, document: Buffer.alloc(0) };

/** Creates the authority. */
export function createTableAuthority(host: TableAuthorityHost): TableAuthority {
  return {
    get current() {
      return getCurrent();
    },
    declare,
    declareHere,
    read,
    readHere,
  };

  function getCurrent(): TableDocument {
    return host.tryGetReplica()?.state.table.current ?? noTable;
  }

  function getReplica(): RunningReplica {
    return host.tryGetReplica() ?? raise({ kind: 'unavailable', reason: 'no cluster yet' });
  }

  async function declare(table: TableDocument): Promise<DeclareResponse> {
    const { revision } = getCurrent();
    // Committed tables stay, so this needs nobody else.
    if (table.revision <= revision) return { outcome: 'superseded', revision };
    const leader = tryGetOtherLeader();
    if (leader === undefined) return declareHere(table);
    return call<DeclareResponse>((done) =>
      leader.declare(table, host.metadata, deadlineIn(DECLARE_TIMEOUT_MS), done),
    );
  }

  async function declareHere(table: TableDocument): Promise<DeclareResponse> {
    const replica = getReplica();
    const change = { $case: 'tableDeclare' as const, value: table };
    const result = await replica.propose({ change });
    if (result.kind !== 'table') return raise({ kind: 'unexpected', reason: result.kind });
    return { outcome: result.outcome, revision: replica.state.table.current.revision };
  }

  async function read(): Promise<TableDocument> {
    const leader = tryGetOtherLeader();
    if (leader === undefined) return readHere({ knownRevision: 0 });
    const { current } = getReplica().state.table;
    const request = { knownRevision: current.revision };
    const table = await call<TableDocument>((done) =>
      leader.readTable(request, host.metadata, deadlineIn(READ_TIMEOUT_MS), done),
    );
    return table.revision === current.revision ? current : table;
  }

  async function readHere(request: ReadTableRequest): Promise<TableDocument> {
    const replica = getReplica();
    if (!(await replica.confirm())) {
      return raise({ kind: 'unavailable', reason: 'no majority confirms the table' });
    }
    const { current } = replica.state.table;
    const isKnown = current.revision === request.knownRevision;
    return isKnown ? { revision: current.revision, document: Buffer.alloc(0) } : current;
  }

  /** A client of the leader, undefined when this keeper leads. */
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
