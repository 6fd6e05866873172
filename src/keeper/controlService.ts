/** The gRPC service for tables and feeds: authenticates the caller and delegates the call. */

import { status, type Metadata, type ServerUnaryCall, type ServiceError } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { describeFailure, toFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import { createRefusal, tryGetRefusal } from '../common/rpc.js';
import type { KeeperProcessSettings } from '../common/settings.js';
import type { FeedServer } from '../feed/feedServer.js';
import type {
  ControlServer,
  DeclareResponse,
  FindStreamOriginsResponse,
} from '../generated/control.js';
import type { TableDocument } from '../generated/keeper.js';
import type { StreamOrigins } from '../streams/streamOrigins.js';
import type { RolloutAuthority } from './rolloutAuthority.js';
import type { TableAuthority } from './tableAuthority.js';

/** What the service delegates its calls to. */
export interface ControlServiceHost {
  settings: KeeperProcessSettings;
  clock: Clock;
  logger: Logger;
  authority: TableAuthority;
  rollouts: Pick<RolloutAuthority, 'beginLocally' | 'readLocally'>;
  feed: FeedServer;
  streamOrigins: Pick<StreamOrigins, 'tryGet'>;
}

/** Creates the handlers. */
export function createControlService(host: ControlServiceHost): ControlServer {
  const { settings, clock, logger, authority, rollouts, feed, streamOrigins } = host;

  return {
    declare(call, callback) {
      respond(call.metadata, callback, () => declare(call));
    },
    readTable(call, callback) {
      respond(call.metadata, callback, () => authority.readLocally(call.request));
    },
    beginRollout(call, callback) {
      respond(call.metadata, callback, () => rollouts.beginLocally(call.request));
    },
    readRollout(call, callback) {
      respond(call.metadata, callback, () => rollouts.readLocally(call.request));
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

  async function declare(
    call: ServerUnaryCall<TableDocument, DeclareResponse>,
  ): Promise<DeclareResponse> {
    const startedAt = clock.now();
    try {
      return await authority.declareLocally(call.request);
    } catch (caught) {
      logger.event('forwardedTableFailed', {
        revision: call.request.revision,
        reason: describeFailure(toFailure(caught)),
        milliseconds: Math.round(clock.now() - startedAt),
        callerLeft: String(call.cancelled),
      });
      throw caught;
    }
  }

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
