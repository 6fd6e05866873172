/** Fake plain service, whose POST calls are not idempotent. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Recorder } from './recorder.js';
import type { FakeHandler } from './types.js';

/** Options of a fake service. */
export interface ServiceOptions {
  /** Duration of a call. */
  delayMs: number;
}

/** Creates the service's request handler. */
export function createService(options: ServiceOptions, recorder: Recorder): FakeHandler {
  let { delayMs } = options;
  let calls = 0;

  return { handle, control };

  function control(change: Record<string, unknown>): void {
    if (typeof change.delayMs === 'number') delayMs = change.delayMs;
  }

  function handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const id = String(request.headers['x-request-id']);
    calls += 1;
    const call = calls;
    const { method, url } = request;
    recorder.record('started', id, { detail: `${method} ${url} ${body.toString('utf8')}` });
    setTimeout(() => {
      recorder.record('finished', id);
      response.writeHead(method === 'POST' ? 201 : 200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ call, method, url, echo: body.toString('utf8') }));
    }, delayMs);
  }
}
