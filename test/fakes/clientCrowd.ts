/**
 * Runs clients that make a server hold memory for them, as a process of its own. The arguments are
 * the server's address, the method and path of the requests, what the clients send, and how many
 * there are. All connections stay open; a line is written once they have nothing left to send, or
 * the server has taken nothing for a while.
 */

import { connect, type Socket } from 'node:net';
import { splitAddress } from '../../src/common/settings.js';

/** Of these clients, all but the last one stop short of the end of their requests. */
const GROUP_SIZE = 6;
const TINY_CHUNKS = 327_680;
const PIPELINED_REQUESTS = 40_000;
const HEAD_BYTES = 15_000;
const WRITE_BYTES = 64 * 1_024;
const QUIET_MS = 1_500;

type Crowd = (index: number) => { head: string; unit: string; repetitions: number; end: string };

const [address = '', method = '', path = '', kind = '', count = '0'] = process.argv.slice(2);
let writtenAt = performance.now();

const crowds: Record<string, Crowd> = {
  shortLines: (index) => describeLines(index, () => 'a:b'),
  oddLines: (index) => describeLines(index, (line) => `${line.toString(36)}~!:`),
  largeChunks: (index) => describeChunks(index, `fff0\r\n${'x'.repeat(0xfff0)}\r\n`, 64),
  tinyChunks: (index) => describeChunks(index, '1\r\nx\r\n', TINY_CHUNKS),
  pipelined: (index) => ({
    head: '',
    unit: createHead(index, []),
    repetitions: PIPELINED_REQUESTS,
    end: '',
  }),
};

function createHead(index: number, lines: readonly string[]): string {
  const id = `Turmericrack-Attempt-Id: crowd-${index}`;
  return `${[`${method} ${path} HTTP/1.1`, 'Host: a.example', id, ...lines].join('\r\n')}\r\n\r\n`;
}

function describeLines(index: number, createLine: (line: number) => string): ReturnType<Crowd> {
  const lines = ['Content-Length: 5'];
  for (let bytes = 0; bytes < HEAD_BYTES; bytes += (lines.at(-1)?.length ?? 0) + 2) {
    lines.push(createLine(lines.length));
  }
  return { head: createHead(index, lines), unit: 'body', repetitions: 1, end: '!' };
}

function describeChunks(index: number, unit: string, repetitions: number): ReturnType<Crowd> {
  return {
    head: createHead(index, ['Transfer-Encoding: chunked']),
    unit,
    repetitions,
    end: '0\r\n\r\n',
  };
}

function start(index: number): void {
  const { head, unit, repetitions, end } = crowds[kind]!(index);
  const perWrite = Math.max(1, Math.floor(WRITE_BYTES / unit.length));
  const block = Buffer.from(unit.repeat(Math.min(perWrite, repetitions)), 'latin1');
  const socket = connect(splitAddress(address));
  let left = repetitions;
  socket.on('error', () => {});
  // Answers to pipelined requests stay unread.
  if (kind === 'pipelined') socket.pause();
  else socket.resume();
  socket.on('drain', send);
  socket.write(head, 'latin1');
  send();

  function send(): void {
    writtenAt = performance.now();
    while (left > 0 && socket.writable) {
      const repeated = Math.min(perWrite, left);
      left -= repeated;
      const isTaken = socket.write(block.subarray(0, repeated * unit.length));
      if (left === 0) finish(socket);
      if (!isTaken) return;
    }
  }

  function finish(finished: Socket): void {
    if (index % GROUP_SIZE === 0) finished.write(end);
  }
}

for (let index = 0; index < Number(count); index += 1) start(index);
const timer = setInterval(() => {
  if (performance.now() - writtenAt < QUIET_MS) return;
  process.stdout.write('quiet\n');
  clearInterval(timer);
}, 100);
setInterval(() => {}, 1_000);
