/** Declares and reads the table on any keeper; followers forward both to the leader. */

import type { Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { raise } from '../common/failure.js';
import type { DeclareResponse, ReadTableRequest } from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import { createDeclarations, type Declarations, type DeclareAlone } from './declarations.js';
import { callLeader, type KnownLeader } from './leaderCall.js';
import { CALL_TIMEOUT_MS, callRemotely, type RemoteCallHost } from './remoteCalls.js';
import type { RunningReplica } from './replica.js';

/** Operators wait longer for large tables, which take longer to store. */
const STORED_BYTES_PER_MS = 2 * 1024;
/** No call takes as long. */
const MAX_QUEUE_MS = 4_000;

/** External dependencies of the table authority. */
export interface TableAuthorityHost extends RemoteCallHost {
  clock: Pick<Clock, 'now'>;
  metadata: Metadata;
  tryGetReplica(): RunningReplica | undefined;
}

/** Declares and reads tables. */
export interface TableAuthority {
  /** Latest table applied on this keeper; revision 0 if there is none yet. */
  readonly current: TableDocument;
  /**
   * Resolves once a majority has synced the table. Raises `unavailable` within an operator's timeout
   * if that is not known by then.
   */
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
    return (
      tryGetSuperseded(table) ??
      callLeader(host, getTimeoutMs(table), async (leader) => {
        const superseded = tryGetSuperseded(table);
        if (superseded !== undefined) return superseded;
        return leader.isSelf ? declareLocally(table) : forward(table, leader);
      })
    );
  }

  /** Committed tables are never rolled back, so this is decided without the leader. */
  function tryGetSuperseded(table: TableDocument): DeclareResponse | undefined {
    const { revision } = getCurrent();
    return table.revision <= revision ? { outcome: 'superseded', revision } : undefined;
  }

  function forward(table: TableDocument, leader: KnownLeader): Promise<DeclareResponse> {
    return getDeclarations((declared) =>
      callRemotely<DeclareResponse>(host, leader, getTimeoutMs(declared), (client, options, done) =>
        client.declare(declared, host.metadata, options, done),
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
      newest = { leaderTerm, declarations: createDeclarations(run, MAX_QUEUE_MS) };
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

  function read(): Promise<TableDocument> {
    return callLeader(host, CALL_TIMEOUT_MS, (leader) =>
      leader.isSelf ? readLocally({ knownRevision: 0 }) : readRemotely(leader),
    );
  }

  async function readRemotely(leader: KnownLeader): Promise<TableDocument> {
    const { current } = getReplica().state.table;
    const request = { knownRevision: current.revision };
    const table = await callRemotely<TableDocument>(
      host,
      leader,
      CALL_TIMEOUT_MS,
      (client, options, done) => client.readTable(request, host.metadata, options, done),
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
}

function getTimeoutMs({ document }: TableDocument): number {
  return CALL_TIMEOUT_MS + document.length / STORED_BYTES_PER_MS;
}
