/** Functions that the HTTP servers of all roles share. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Polka } from 'polka';
import { raise, RaisedFailure } from './failure.js';
import { splitAddress } from './settings.js';

/** Interval at which a closing server looks for connections that have become idle. */
const IDLE_CHECK_INTERVAL_MS = 50;

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
 * Stops accepting connections, closes each one that is idle or becomes so, and resolves when all
 * have ended. Callers that keep their connections in use are told to close them.
 */
export function closeServer(server: Server | undefined): Promise<void> {
  return new Promise((resolve) => {
    if (server === undefined) {
      resolve();
      return;
    }
    server.prependListener('request', (_request, response: ServerResponse) => {
      response.shouldKeepAlive = false;
    });
    const timer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
