/** Pool of connections to an endpoint that are bounded and paused one by one. */

import type { Dispatcher } from 'undici';
import {
  createEndpointConnection,
  isValidStatus,
  type EndpointConnection,
} from '../common/endpointConnection.js';
import { Client, Pool } from '../common/httpPool.js';

const CONNECT_TIMEOUT_MS = 1_000;
/** Closes idle connections before a usual server does, so that no request meets a closing one. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;

/** Creates a pool of so many connections, each of which carries one request at a time. */
export function createEndpointPool(baseUrl: string, connections: number): Pool {
  return new Pool(baseUrl, {
    connections,
    factory: (origin) => createClient(origin),
  });
}

function createClient(origin: URL): Client {
  const connection = createEndpointConnection(CONNECT_TIMEOUT_MS);
  const client = new Client(origin, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: connection.connect,
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (options, handler) => dispatch(options, addBounds(handler, connection));
  return client;
}

/**
 * Passes a response on unless its status is invalid or it has been broken off, and pauses the
 * connection, not the parser, when the handler asks for it.
 */
function addBounds(
  handler: Dispatcher.DispatchHandler,
  connection: EndpointConnection,
): Dispatcher.DispatchHandler {
  let abortRequest: (error?: Error) => void = () => {};

  return {
    onConnect(abort) {
      abortRequest = abort;
      connection.recordProgress();
      handler.onConnect?.(abort);
    },
    onHeaders(status, headers, _resume, statusText) {
      if (!isValidStatus(status)) {
        abortRequest(new Error(`invalid status ${status}`));
        return true;
      }
      if (status >= 200) connection.recordProgress();
      return handler.onHeaders?.(status, headers, connection.resume, statusText) ?? true;
    },
    onData(chunk) {
      connection.recordProgress();
      if (handler.onData?.(chunk) === false) connection.pause();
      return true;
    },
    onComplete(trailers) {
      connection.endResponse();
      // undici treats a response without a length as complete even if its connection was reset.
      if (connection.isCutOff) handler.onError?.(new Error('connection reset during the response'));
      else handler.onComplete?.(trailers);
    },
    onError(error) {
      connection.endResponse();
      handler.onError?.(error);
    },
  };
}
