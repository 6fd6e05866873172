/** A client that shows on its socket what it gets, byte by byte. */

import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';

const CONNECT_TIMEOUT_MS = 1_000;

/** Returns an id of a client attempt. */
export function createAttemptId() {
  return randomBytes(8).toString('hex');
}

/** Returns the bytes of a request. */
export function encodeRequest({
  method = 'GET',
  path,
  id,
  deadlineMs = 10_000,
  headers = {},
  body,
}) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: review.example',
    `Turmericrack-Attempt-Id: ${id}`,
    `Turmericrack-Deadline-Ms: ${deadlineMs}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
  return body === undefined ? head : Buffer.concat([head, body]);
}

/** Opens a connection to `host:port`. */
export function openConnection(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port), noDelay: true });
    const timer = setTimeout(
      () => socket.destroy(new Error('connect timeout')),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.on('error', () => {});
      resolve(socket);
    });
    socket.once('error', reject);
  });
}

/** Reads one response; resolves at its end or at that of the connection. */
export function readResponse(socket) {
  return new Promise((resolve) => {
    let bytes = Buffer.alloc(0);
    const finish = (end) => {
      socket.off('data', receive);
      socket.off('close', close);
      resolve({ ...parseResponse(bytes), end });
    };
    const close = () => finish('closed');
    const receive = (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      if (parseResponse(bytes).isComplete) finish('complete');
    };
    socket.on('data', receive);
    socket.once('close', close);
    if (socket.destroyed) close();
  });
}

/** Parses what has arrived of a response. */
export function parseResponse(bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return { isComplete: false, headers: {}, body: Buffer.alloc(0) };
  const [statusLine, ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const headers = {};
  for (const line of lines) {
    const at = line.indexOf(':');
    headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
  }
  const status = Number(statusLine.split(' ')[1]);
  const rest = bytes.subarray(headEnd + 4);
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, ...parseChunks(rest) };
  const length = Number(headers['content-length'] ?? Number.NaN);
  const body = Number.isNaN(length) ? rest : rest.subarray(0, length);
  return { status, headers, body, isComplete: rest.length >= length };
}

function parseChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) break;
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const end = lineEnd + 2 + size;
    if (size === 0) return { body: Buffer.concat(parts), isComplete: true };
    parts.push(bytes.subarray(lineEnd + 2, Math.min(end, bytes.length)));
    if (bytes.length < end + 2) break;
    at = end + 2;
  }
  return { body: Buffer.concat(parts), isComplete: false };
}

/** Sends one request on a connection of its own and reads the response. */
export async function send(address, request) {
  const socket = await openConnection(address);
  socket.write(encodeRequest(request));
  const response = await readResponse(socket);
  socket.destroy();
  return response;
}
