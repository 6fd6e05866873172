/** Runs one fake endpoint as a process; its only argument holds the options as JSON. */

import { createServer } from 'node:http';
import { createEngine, type EngineOptions } from './engine.js';
import { createRecorder } from './recorder.js';
import { createService, type ServiceOptions } from './service.js';

/** Options of the process. */
export type FakeEndpointOptions = { port: number; recordPath?: string } & (
  ({ kind: 'engine' } & EngineOptions) | ({ kind: 'service' } & ServiceOptions)
);

const options = JSON.parse(process.argv[2] ?? '{}') as FakeEndpointOptions;
const recorder = createRecorder(options.recordPath);
const handler =
  options.kind === 'engine' ? createEngine(options, recorder) : createService(options, recorder);

const server = createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('error', () => {});
  response.on('error', () => {});
  request.on('end', () => {
    const body = Buffer.concat(chunks);
    if (request.url === '/health') response.end('ok');
    else if (request.url === '/records') response.end(JSON.stringify(recorder.records));
    else if (request.url === '/control') {
      handler.control(JSON.parse(body.toString('utf8')) as Record<string, unknown>);
      response.end();
    } else handler.handle(request, response, body);
  });
});
// Stops at once: a graceful shutdown of endpoints is the platform's responsibility.
process.on('SIGTERM', () => process.exit(0));
server.listen(options.port, '127.0.0.1');
