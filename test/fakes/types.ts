/** Interface of the fake endpoints. */

import type { IncomingMessage, ServerResponse } from 'node:http';

/** Handles the requests to one fake endpoint. */
export interface FakeHandler {
  handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void;
  /** Changes the behaviour, for example to inject a fault. */
  control(change: Record<string, unknown>): void;
}
