/** Entry point of turmericrack, the command-line tool for operators. */

import { parseArgs } from 'node:util';
import { describeFailure, raise, toFailure, type Failure } from '../common/failure.js';
import { operationCommands } from './commands/operations.js';
import { ticketCommands } from './commands/ticket.js';
import type { Command } from './types.js';

const DEFAULT_KEEPER = '127.0.0.1:7402';
const commands: readonly Command[] = [...ticketCommands, ...operationCommands];

function formatUsage(): string {
  const width = Math.max(...commands.map((command) => formatName(command).length));
  const lines = commands.map(
    (command) => `  ${formatName(command).padEnd(width)}  ${command.summary}`,
  );
  return `Usage: turmericrack [OPTIONS] COMMAND

Commands:
${lines.join('\n')}

Options:
  --keepers LIST  host:port of operators' interfaces, separated by commas
                  (default: TURMERICRACK_KEEPERS or ${DEFAULT_KEEPER})
  --key KEY       operator key (default: TURMERICRACK_KEY)
  --json          print JSON
  --wait          ticket apply: wait until the ticket is in force
  --help          print this text

Exit codes:
  0 done   1 unexpected   2 usage or unreadable file   3 invalid ticket
  4 refused as stale or in conflict   5 not found   6 keepers unavailable   7 wrong key
`;
}

function formatName(command: Command): string {
  return `${command.name} ${command.operands}`.trimEnd();
}

function toExitCode(failure: Failure): number {
  switch (failure.kind) {
    case 'usage':
    case 'unreadableFile':
      return 2;
    case 'invalidToml':
    case 'invalidTicket':
      return 3;
    case 'staleTicket':
    case 'ticketConflict':
      return 4;
    case 'unknownTicket':
    case 'unknownMember':
      return 5;
    case 'unavailable':
    case 'unreachable':
    case 'notLeader':
      return 6;
    case 'unauthorized':
      return 7;
    default:
      return 1;
  }
}

function readArguments() {
  try {
    return parseArgs({
      allowPositionals: true,
      options: {
        keepers: { type: 'string' },
        key: { type: 'string' },
        json: { type: 'boolean', default: false },
        wait: { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    });
  } catch (caught) {
    return raise({ kind: 'usage', message: (caught as Error).message });
  }
}

function findCommand(positionals: readonly string[]): { command: Command; operands: string[] } {
  for (const command of commands) {
    const name = command.name.split(' ');
    const isMatch = name.every((word, index) => positionals[index] === word);
    if (isMatch) return { command, operands: positionals.slice(name.length) };
  }
  const message =
    positionals.length === 0 ? 'a command is missing' : `no command '${positionals.join(' ')}'`;
  return raise({ kind: 'usage', message: `${message}; see turmericrack --help` });
}

async function main(): Promise<void> {
  const { values, positionals } = readArguments();
  if (values.help) {
    process.stdout.write(formatUsage());
    return;
  }
  const { command, operands } = findCommand(positionals);
  const keepers = values.keepers ?? process.env.TURMERICRACK_KEEPERS ?? DEFAULT_KEEPER;
  await command.run({
    target: {
      keepers: keepers.split(','),
      key: values.key ?? process.env.TURMERICRACK_KEY,
    },
    json: values.json,
    wait: values.wait,
    operands,
    print: (text) => process.stdout.write(`${text}\n`),
  });
}

try {
  await main();
} catch (caught) {
  const failure = toFailure(caught);
  process.stderr.write(`turmericrack: ${describeFailure(failure)}\n`);
  process.exitCode = toExitCode(failure);
}
