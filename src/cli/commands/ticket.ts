/** The commands `ticket check`, `diff`, `apply`, `show` and `history`. */

import { delay } from '../../common/delay.js';
import { readText, checkToml } from '../../common/tomlFile.js';
import { raise, RaisedFailure } from '../../common/failure.js';
import type { Ticket } from '../../generated/schemas.js';
import { isTicket } from '../../generated/validators.js';
import { callKeeper } from '../keeperClient.js';
import { formatTable } from '../table.js';
import type { Command, CommandContext, TicketDescription } from '../types.js';

const IN_FORCE_POLL_INTERVAL_MS = 50;
const IN_FORCE_TIMEOUT_MS = 15_000;

interface CheckedChange {
  kind: string;
  name: string;
  before?: object;
  after?: object;
}

/** Commands that check, submit and list tickets. */
export const ticketCommands: Command[] = [
  {
    name: 'ticket check',
    operands: 'FILE',
    summary: 'check a ticket against its schema and the present state',
    async run(context) {
      const checked = await checkTicket(context);
      printResult(
        context,
        checked,
        `ticket ${checked.number} can be applied; digest ${checked.digest}`,
      );
    },
  },
  {
    name: 'ticket diff',
    operands: 'FILE',
    summary: 'show what a ticket would change',
    async run(context) {
      const checked = await checkTicket(context);
      printResult(context, checked, checked.changes.map(formatChange).join('\n'));
    },
  },
  {
    name: 'ticket apply',
    operands: 'FILE',
    summary: 'submit a ticket; with --wait until it is in force everywhere',
    async run(context) {
      const { text } = readTicketFile(context);
      const path = '/v1/tickets';
      let ticket = await postTicket<TicketDescription>(context, path, text);
      const { repeated } = ticket;
      if (context.wait) ticket = await waitUntilInForce(context, ticket.number);
      const acceptedText = repeated ? 'had been accepted before' : 'accepted';
      const inForceText = ticket.inForce ? ', in force' : '';
      printResult(
        context,
        { ...ticket, repeated },
        `ticket ${ticket.number} ${acceptedText}${inForceText}`,
      );
    },
  },
  {
    name: 'ticket show',
    operands: 'NUMBER',
    summary: 'show an accepted ticket',
    async run(context) {
      const number = Number(getRequiredOperand(context, 'NUMBER'));
      const ticket = await getTicket(context, number);
      printResult(context, ticket, JSON.stringify(ticket, undefined, 2));
    },
  },
  {
    name: 'ticket history',
    operands: '',
    summary: 'list the accepted tickets',
    async run(context) {
      const answer = await callKeeper<{ tickets: TicketDescription[] }>(
        context.target,
        'GET',
        '/v1/tickets',
      );
      const rows = answer.tickets.map((ticket) => [
        String(ticket.number),
        String(ticket.revision),
        new Date(ticket.acceptedAtMs).toISOString(),
        ticket.inForce ? 'in force' : `waits for ${ticket.lagging.join(',')}`,
        ticket.digest.slice(0, 12),
      ]);
      const heading = ['NUMBER', 'REVISION', 'ACCEPTED', 'STATE', 'DIGEST'];
      printResult(context, answer, formatTable(heading, rows));
    },
  },
];

/** Prints `value` if JSON is requested, and `text` otherwise. */
export function printResult(context: CommandContext, value: object, text: string): void {
  context.print(context.json ? JSON.stringify(value) : text);
}

/** Returns the first operand. Raises `usage` with `name` if it is missing. */
export function getRequiredOperand(context: CommandContext, name: string): string {
  return context.operands[0] ?? raise({ kind: 'usage', message: `${name} is missing` });
}

function readTicketFile(context: CommandContext): { path: string; text: string } {
  const path = getRequiredOperand(context, 'FILE');
  const text = readText(path);
  const checked = checkToml<Ticket>(text, isTicket);
  if (checked.kind === 'invalid') raise({ kind: 'invalidToml', path, problems: checked.problems });
  return { path, text };
}

async function checkTicket(context: CommandContext) {
  const { text } = readTicketFile(context);
  const path = '/v1/tickets/check';
  return postTicket<{ number: number; digest: string; changes: CheckedChange[] }>(
    context,
    path,
    text,
  );
}

async function postTicket<T>(context: CommandContext, path: string, text: string): Promise<T> {
  try {
    return await callKeeper<T>(context.target, 'POST', path, text);
  } catch (caught) {
    if (!(caught instanceof RaisedFailure) || caught.failure.kind !== 'invalidTicket') throw caught;
    const { problems } = caught.failure;
    return raise({ kind: 'invalidToml', path: getRequiredOperand(context, 'FILE'), problems });
  }
}

function getTicket(context: CommandContext, number: number): Promise<TicketDescription> {
  return callKeeper(context.target, 'GET', `/v1/tickets/${number}`);
}

async function waitUntilInForce(
  context: CommandContext,
  number: number,
): Promise<TicketDescription> {
  const deadline = performance.now() + IN_FORCE_TIMEOUT_MS;
  let ticket = await getTicket(context, number);
  while (!ticket.inForce) {
    if (performance.now() > deadline) {
      raise({ kind: 'unavailable', reason: `ticket ${number} waits for ${ticket.lagging.join()}` });
    }
    await delay(IN_FORCE_POLL_INTERVAL_MS);
    ticket = await getTicket(context, number);
  }
  return ticket;
}

function formatChange(change: CheckedChange): string {
  const thingName = `${change.kind}/${change.name}`;
  if (change.after === undefined) return `- ${thingName} ${JSON.stringify(change.before)}`;
  if (change.before === undefined) return `+ ${thingName} ${JSON.stringify(change.after)}`;
  const before = JSON.stringify(change.before);
  const after = JSON.stringify(change.after);
  return before === after ? `= ${thingName}` : `~ ${thingName}\n    ${before}\n    ${after}`;
}
