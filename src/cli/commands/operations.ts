/** The commands `status`, `endpoints`, `drain`, `undrain` and `snapshot`. */

import { callKeeper } from '../keeperClient.js';
import { formatTable } from '../table.js';
import type {
  Command,
  CommandContext,
  KeeperDescription,
  MemberDescription,
  StatusDescription,
} from '../types.js';
import { getRequiredOperand, printResult } from './ticket.js';

/** Commands that inspect or operate the running deployment. */
export const operationCommands: Command[] = [
  {
    name: 'status',
    operands: '',
    summary: 'show leader, keepers, members, leases and the revision in force',
    async run(context) {
      const status = await getStatus(context);
      printResult(context, status, formatStatus(status));
    },
  },
  {
    name: 'endpoints',
    operands: '',
    summary: 'list the endpoints that agents have announced',
    async run(context) {
      const { members } = await getStatus(context);
      const agents = members.filter((member) => member.role === 'agent');
      printResult(context, { endpoints: agents }, formatEndpoints(agents));
    },
  },
  {
    name: 'drain',
    operands: 'MEMBER',
    summary: "let an agent's endpoint finish its work and get no more",
    run: (context) => setDraining(context, 'drain'),
  },
  {
    name: 'undrain',
    operands: 'MEMBER',
    summary: 'let a drained endpoint get work again',
    run: (context) => setDraining(context, 'undrain'),
  },
  {
    name: 'snapshot',
    operands: '',
    summary: "write a snapshot of the leader's state now",
    async run(context) {
      const answer = await callKeeper<{ index: number }>(context.target, 'POST', '/v1/snapshot');
      printResult(context, answer, `snapshot up to entry ${answer.index}`);
    },
  },
];

function getStatus(context: CommandContext): Promise<StatusDescription> {
  return callKeeper(context.target, 'GET', '/v1/status');
}

async function setDraining(context: CommandContext, action: 'drain' | 'undrain'): Promise<void> {
  const id = getRequiredOperand(context, 'MEMBER');
  const path = `/v1/${action}/${encodeURIComponent(id)}`;
  const answer = await callKeeper<{ draining: boolean }>(context.target, 'POST', path);
  printResult(context, answer, `${id}: ${answer.draining ? 'draining' : 'takes work'}`);
}

function formatKeeper({ id, matchIndex }: KeeperDescription, commitIndex: number): string {
  const lag = commitIndex - matchIndex;
  return lag > 0 ? `${id} (${lag} entries behind)` : id;
}

function formatStatus(status: StatusDescription): string {
  const { keepers, newestTicket } = status;
  const voters = keepers.voters
    .map((keeper) => formatKeeper(keeper, status.commitIndex))
    .join(', ');
  const learners = keepers.learners.map(({ id }) => id).join(', ');
  const lines = [
    `leader ${status.leader}, term ${status.term}, committed ${status.commitIndex}`,
    `keepers ${voters}${learners === '' ? '' : `; learners ${learners}`}`,
    `configuration revision ${status.configRevision}, claims ${status.claims}`,
  ];
  if (newestTicket !== undefined) {
    const { number, inForce, lagging } = newestTicket;
    lines.push(`ticket ${number} ${inForce ? 'in force' : `waits for ${lagging.join(', ')}`}`);
  }
  const rows = status.members.map((member) => [
    member.id,
    member.role,
    member.failureDomain,
    member.hasLease ? 'lease' : 'no lease',
    String(member.acknowledgedRevision),
    member.draining ? 'draining' : '',
  ]);
  const heading = ['MEMBER', 'ROLE', 'FAILURE DOMAIN', 'LEASE', 'REVISION', ''];
  return [...lines, '', formatTable(heading, rows)].join('\n');
}

function formatEndpoints(agents: readonly MemberDescription[]): string {
  const rows = agents.map((agent) => [
    agent.id,
    agent.pool,
    agent.endpointKind,
    agent.endpoint,
    agent.failureDomain,
    agent.draining ? 'draining' : 'in use',
    String(agent.fencingToken),
  ]);
  const heading = ['AGENT', 'POOL', 'KIND', 'ENDPOINT', 'FAILURE DOMAIN', 'STATE', 'FENCING'];
  return formatTable(heading, rows);
}
