/** Reads the body of an HTTP request up to a limit. */

import type { IncomingMessage } from 'node:http';
import { raise } from './failure.js';

/** Resolves with the whole body; raises `usage` when it is larger than `maxBytes` or cut off. */
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
