/** The gRPC service for tables and feeds: authenticates the caller and delegates the call. */

import { status, type Metadata, type ServiceError } from '@grpc/grpc-js';
import { toFailure } from '../common/failure.js';
import { createRefusal, tryGetRefusal } from '../common/rpc.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import type { FeedServer } from '../feed/feedServer.js';
import type { ControlServer, FindStreamOriginsResponse } from '../generated/control.js';
import type { StreamOrigins } from '../streams/streamOrigins.js';
import type { TableAuthority } from './tableAuthority.js';

/** Creates the handlers. */
export function createControlService(
  settings: KeeperProcessSettings,
  authority: TableAuthority,
  feed: FeedServer,
  streamOrigins: Pick<StreamOrigins, 'tryGet'>,
): ControlServer {
  return {
    declare(call, callback) {
      respond(call.metadata, callback, () => authority.declareLocally(call.request));
    },
    readTable(call, callback) {
      respond(call.metadata, callback, () => authority.readLocally(call.request));
    },
    findStreamOrigins(call, callback) {
      respond(call.metadata, callback, () => Promise.resolve(findOrigins(call.request.callIds)));
    },
    feed(stream) {
      const refusal = tryGetRefusal(stream.metadata, settings);
      if (refusal === undefined) feed.serve(stream);
      else stream.destroy(createRefusal(refusal) as ServiceError);
    },
  };

  function findOrigins(callIds: readonly string[]): FindStreamOriginsResponse {
    return { origins: callIds.flatMap((callId) => streamOrigins.tryGet(callId) ?? []) };
  }

  function respond<Response>(
    metadata: Metadata,
    callback: (error: Partial<ServiceError> | null, response?: Response) => void,
    run: () => Promise<Response>,
  ): void {
    const refusal = tryGetRefusal(metadata, settings);
    if (refusal !== undefined) {
      callback(createRefusal(refusal));
      return;
    }
    run()
      .then((response) => callback(null, response))
      .catch((caught) => {
        callback({ code: status.UNAVAILABLE, details: toFailure(caught).kind });
      });
  }
}
