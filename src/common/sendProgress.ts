/** How far a socket has passed on what was written to it. */

import type { Socket } from 'node:net';

/**
 * Returns a text that changes with each byte that the peer's connection takes. Bytes of one write may
 * leave for the kernel in parts, which only the handle tells.
 */
export function describeSendProgress(socket: Socket): string {
  const { _handle: handle } = socket as Socket & { _handle?: { writeQueueSize?: number } | null };
  return `${socket.bytesWritten} ${handle?.writeQueueSize}`;
}
