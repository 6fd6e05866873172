/** The gRPC service for tables and feeds: authenticates the caller and delegates the call. */

import { status, type Metadata, type ServiceError } from '@grpc/grpc-js';
import { toFailure } from '../common/failure.js';
import { createRefusal, tryGetRefusal } from '../common/rpc.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import type { FeedServer } from '../feed/feedServer.js';
import type { ControlServer } from '../generated/control.js';
import type { TableAuthority } from './tableAuthority.js';

/** Creates the handlers. */
export function createControlService(
  settings: KeeperProcessSettings,
  authority: TableAuthority,
  feed: FeedServer,
): ControlServer {
  return {
    declare(call, callback) {
      respond(call.metadata, callback, () => authority.declareLocally(call.request));
    },
    readTable(call, callback) {
      respond(call.metadata, callback, () => authority.readLocally(call.request));
    },
    feed(stream) {
      const refusal = tryGetRefusal(stream.metadata, settings);
      if (refusal === undefined) feed.serve(stream);
      else stream.destroy(createRefusal(refusal) as ServiceError);
    },
  };

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
