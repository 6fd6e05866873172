/** Functions that the HTTP servers of all roles share. */

import type { IncomingMessage, Server } from 'node:http';
import type { Polka } from 'polka';
import { raise, RaisedFailure } from './failure.js';
import { splitAddress } from './settings.js';

/** Reads the whole body. Raises `usage` if it is larger than `maxBytes` or incomplete. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      const bytes = chunk as Buffer;
      size += bytes.length;
      if (size > maxBytes) break;
      chunks.push(bytes);
    }
  } catch {
    return raise({ kind: 'usage', message: 'the body was cut off' });
  }
  if (size > maxBytes) {
    raise({ kind: 'usage', message: `the body is larger than ${maxBytes} bytes` });
  }
  return Buffer.concat(chunks);
}

/** Returns whether the headers announce a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

/** Starts `app` on `address` (host:port). Raises `unavailable` if the address cannot be bound. */
export function listenOn(app: Polka, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    const fail = (error: Error): void => {
      reject(new RaisedFailure({ kind: 'unavailable', reason: error.message }));
    };
    app.listen(port, host, (error?: Error) => {
      if (error) fail(error);
      else resolve();
    });
    app.server?.on('error', fail);
  });
}

/**
 * Stops accepting connections, closes the idle ones and resolves when the remaining ones have
 * ended.
 */
export function closeServer(server: Server | undefined): Promise<void> {
  return new Promise((resolve) => {
    if (server === undefined) {
      resolve();
      return;
    }
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
