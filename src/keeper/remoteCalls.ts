/** Calls of other keepers' control services, made by keepers that do not lead. */

import { status, type ServiceError } from '@grpc/grpc-js';
import { RaisedFailure } from '../common/failure.js';
import { deadlineIn } from '../common/rpc.js';
import type { ControlClient } from '../generated/control.js';
import type { KnownLeader } from './leaderCall.js';

/** Shorter than the second after which an operator asks another keeper. */
export const CALL_TIMEOUT_MS = 900;
/** Share of a call's time for one attempt, so that a call that waited behind a lost one has its own. */
const ATTEMPT_SHARE = 1 / 2;

/** Connections to other keepers. */
export interface RemoteCallHost {
  getClient(address: string): ControlClient;
  /** Called after a call to that keeper got no answer in time. */
  renewClient(address: string): void;
}

export type RemoteCall<Response> = (
  client: ControlClient,
  options: { deadline: number },
  done: (error: ServiceError | null, response: Response) => void,
) => unknown;

/** Makes one attempt of a call that may take `timeoutMs`. Raises `unavailable`. */
export function callRemotely<Response>(
  host: RemoteCallHost,
  { replica }: KnownLeader,
  timeoutMs: number,
  run: RemoteCall<Response>,
): Promise<Response> {
  const client = host.getClient(replica.address);
  return new Promise((resolve, reject) => {
    run(client, deadlineIn(timeoutMs * ATTEMPT_SHARE), (error, response) => {
      if (error === null) {
        resolve(response);
        return;
      }
      if (error.code === status.DEADLINE_EXCEEDED) host.renewClient(replica.address);
      reject(new RaisedFailure({ kind: 'unavailable', reason: error.details }));
    });
  });
}
