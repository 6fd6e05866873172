/**
 * Message streams to the other keepers. A message that cannot be sent at once is dropped, because
 * Raft resends it.
 */

import type { ClientDuplexStream, Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { channelOptions, peerCredentials } from '../common/rpc.js';
import { ControlClient } from '../generated/control.js';
import { KeeperClient, type PeerMessage } from '../generated/keeper.js';
import type { Envelope } from './raftCore.js';

const RECONNECT_DELAY_MS = 100;
/** Longer than any call to a keeper that is no member takes. */
const UNUSED_TIMEOUT_MS = 10_000;

/** Connections to the other keepers. */
export interface Peers {
  send(envelope: Envelope): void;
  /** Returns a client for unary calls to the keeper at `address`. */
  getClient(address: string): KeeperClient;
  /** Returns a client for declaring and reading tables on the keeper at `address`. */
  getControlClient(address: string): ControlClient;
  /**
   * Replaces that client and its connection, after a call that got no answer: the connection may
   * be silent for good, while a new one works.
   */
  renewControlClient(address: string): void;
  /** Closes connections that were not used for 10 s, except those to `known` addresses. */
  closeUnused(known: ReadonlySet<string>): void;
  close(): void;
}

interface PeerConnection {
  client: KeeperClient;
  control: ControlClient;
  stream: ClientDuplexStream<PeerMessage, PeerMessage> | undefined;
  hasBackpressure: boolean;
  retryAt: number;
  usedAt: number;
}

/** Creates the connections. A stream is opened when the first message is sent to a keeper. */
export function createPeers(
  clock: Clock,
  metadata: Metadata,
  resolve: (address: string) => string,
): Peers {
  const connections = new Map<string, PeerConnection>();

  return { send, getClient, getControlClient, renewControlClient, closeUnused, close };

  function getClient(address: string): KeeperClient {
    return getConnection(address).client;
  }

  function getControlClient(address: string): ControlClient {
    return getConnection(address).control;
  }

  function send(envelope: Envelope): void {
    const connection = getConnection(envelope.to.address);
    if (connection.stream === undefined) openStream(connection);
    if (connection.stream === undefined || connection.hasBackpressure) return;
    connection.hasBackpressure = !connection.stream.write(envelope.message);
  }

  function getConnection(address: string): PeerConnection {
    const known = connections.get(address);
    if (known !== undefined) {
      known.usedAt = clock.now();
      return known;
    }
    const client = new KeeperClient(resolve(address), peerCredentials, channelOptions);
    const connection: PeerConnection = {
      client,
      control: createControlClient(address),
      stream: undefined,
      hasBackpressure: false,
      retryAt: 0,
      usedAt: clock.now(),
    };
    connections.set(address, connection);
    return connection;
  }

  function createControlClient(address: string): ControlClient {
    return new ControlClient(resolve(address), peerCredentials, channelOptions);
  }

  function renewControlClient(address: string): void {
    const connection = connections.get(address);
    if (connection === undefined) return;
    connection.control.close();
    connection.control = createControlClient(address);
  }

  function openStream(connection: PeerConnection): void {
    if (clock.now() < connection.retryAt) return;
    const stream = connection.client.peer(metadata);
    connection.stream = stream;
    connection.hasBackpressure = false;
    stream.on('drain', () => {
      connection.hasBackpressure = false;
    });
    stream.on('data', () => {});
    stream.on('error', () => removeStream(connection, stream));
    stream.on('end', () => removeStream(connection, stream));
  }

  function removeStream(connection: PeerConnection, stream: PeerConnection['stream']): void {
    if (connection.stream !== stream) return;
    connection.stream = undefined;
    connection.retryAt = clock.now() + RECONNECT_DELAY_MS;
  }

  function closeUnused(known: ReadonlySet<string>): void {
    const now = clock.now();
    for (const [address, connection] of connections) {
      if (known.has(address) || now - connection.usedAt < UNUSED_TIMEOUT_MS) continue;
      connections.delete(address);
      closeConnection(connection);
    }
  }

  function close(): void {
    for (const connection of connections.values()) closeConnection(connection);
    connections.clear();
  }

  function closeConnection({ stream, client, control }: PeerConnection): void {
    stream?.cancel();
    client.close();
    control.close();
  }
}
