/** gRPC functions that all roles share: channels, peer credentials, servers and deadlines. */

import { createServer as createTcpServer } from 'node:net';
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
import { retryListening, type ListenTarget } from './listening.js';
import { splitAddress } from './settings.js';

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const KEEPALIVE_INTERVAL_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const SHUTDOWN_GRACE_MS = 2_000;
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 500;

/** Options of all channels and servers between processes of the deployment. */
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

/** Channel credentials for connections to other processes of the deployment. */
export const peerCredentials = credentials.createInsecure();

/** Returns the address to connect to for an announced address. */
export function resolveAddress(settings: Settings, announced: string): string {
  const route = settings.route?.find((candidate) => candidate.announced === announced);
  return route?.connect ?? announced;
}

/** Creates the call metadata that authenticates this process as a member of the deployment. */
export function createPeerMetadata(settings: Settings): Metadata {
  const metadata = new Metadata();
  metadata.set('deployment', settings.deployment);
  if (settings.deploymentSecret !== undefined) metadata.set('secret', settings.deploymentSecret);
  return metadata;
}

/** Returns why a peer's metadata is refused, or undefined if it is accepted. */
export function tryGetRefusal(metadata: Metadata, settings: Settings): string | undefined {
  if (metadata.get('deployment')[0] !== settings.deployment) return 'wrong deployment';
  if (settings.deploymentSecret === undefined) return undefined;
  if (metadata.get('secret')[0] !== settings.deploymentSecret) return 'wrong secret';
  return undefined;
}

/** Creates the gRPC error for a refused peer. */
export function createRefusal(reason: string): Partial<ServiceError> {
  return { code: status.PERMISSION_DENIED, details: reason };
}

/**
 * Starts `server` on an address. An address that is taken is tried again for a while; then
 * `unavailable` is raised.
 */
export async function listen(server: Server, target: ListenTarget): Promise<void> {
  // A gRPC server whose bind has failed keeps the failure, so the address is checked before.
  await retryListening(target, () => checkFree(target.address));
  await bind(server, target.address);
}

function checkFree(address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once('error', reject);
    server.listen(port, host, () => server.close(() => resolve()));
  });
}

function bind(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve();
      else reject(new RaisedFailure({ kind: 'unavailable', reason: error.message }));
    });
  });
}

/** Creates a server with the message limits and keepalive settings of the deployment. */
export function createServer(): Server {
  return new Server(channelOptions);
}

/** Stops `server`. Calls in progress that do not end within the grace period are aborted. */
export function shutDown(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const forceTimer = setTimeout(() => server.forceShutdown(), SHUTDOWN_GRACE_MS);
    server.tryShutdown(() => {
      clearTimeout(forceTimer);
      resolve();
    });
  });
}

/** Returns the call options for a gRPC deadline `milliseconds` from now. */
export function deadlineIn(milliseconds: number): { deadline: number } {
  return { deadline: Date.now() + milliseconds };
}
