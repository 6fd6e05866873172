/** gRPC plumbing that all roles share: credentials of the deployment, servers, deadlines. */

import {
  credentials,
  Metadata,
  Server,
  ServerCredentials,
  status,
  type ChannelOptions,
  type ServiceError,
} from '@grpc/grpc-js';
import type { Settings } from '../generated/schemas.js';
import { RaisedFailure } from './failure.js';

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const KEEPALIVE_INTERVAL_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const SHUTDOWN_LIMIT_MS = 2_000;
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 500;

/** Options of every channel between processes of the deployment. */
export const channelOptions: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': RECONNECT_MIN_MS,
  'grpc.max_reconnect_backoff_ms': RECONNECT_MAX_MS,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1,
};

/** Credentials towards other processes of the deployment. */
export const peerCredentials = credentials.createInsecure();

/** Address to connect to for an announced one. */
export function resolveAddress(settings: Settings, announced: string): string {
  const route = settings.route?.find((candidate) => candidate.announced === announced);
  return route?.connect ?? announced;
}

/** Metadata that proves membership of the deployment. */
export function createPeerMetadata(settings: Settings): Metadata {
  const metadata = new Metadata();
  metadata.set('deployment', settings.deployment);
  if (settings.deploymentSecret !== undefined) metadata.set('secret', settings.deploymentSecret);
  return metadata;
}

/** Why a peer's metadata is refused, or undefined when it is accepted. */
export function tryGetRefusal(metadata: Metadata, settings: Settings): string | undefined {
  if (metadata.get('deployment')[0] !== settings.deployment) return 'wrong deployment';
  if (settings.deploymentSecret === undefined) return undefined;
  if (metadata.get('secret')[0] !== settings.deploymentSecret) return 'wrong secret';
  return undefined;
}

/** A typed gRPC error for a refused peer. */
export function createRefusal(reason: string): Partial<ServiceError> {
  return { code: status.PERMISSION_DENIED, details: reason };
}

/** Starts `server` on `address` (host:port); raises `unavailable`. */
export function listen(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve();
      else reject(new RaisedFailure({ kind: 'unavailable', reason: error.message }));
    });
  });
}

/** Creates a server with the deployment's limits. */
export function createServer(): Server {
  return new Server(channelOptions);
}

/** Lets open calls end, for a short while, and stops the server. */
export function shutDown(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const limit = setTimeout(() => server.forceShutdown(), SHUTDOWN_LIMIT_MS);
    server.tryShutdown(() => {
      clearTimeout(limit);
      resolve();
    });
  });
}

/** Deadline `milliseconds` from now, in the form gRPC calls take. */
export function deadlineIn(milliseconds: number): { deadline: number } {
  return { deadline: Date.now() + milliseconds };
}
