/** What every stand-in offers. */

import type { IncomingMessage, ServerResponse } from 'node:http';

/** Handles the requests of one stand-in. */
export interface FakeHandler {
  handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void;
  /** Changes behaviour, for example to inject a fault. */
  control(change: Record<string, unknown>): void;
}
