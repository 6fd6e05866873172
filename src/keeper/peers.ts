/** Streams to the other keepers. A message that cannot be sent at once is dropped; the log's agreement resends. */

import type { ClientDuplexStream, Metadata } from '@grpc/grpc-js';
import { channelOptions, peerCredentials } from '../common/rpc.js';
import { ControlClient } from '../generated/control.js';
import { KeeperClient, type PeerMessage } from '../generated/keeper.js';
import type { Envelope } from './raftCore.js';

const RETRY_MS = 100;

/** Outgoing messages to other keepers. */
export interface Peers {
  send(envelope: Envelope): void;
  /** A client for single calls to the keeper at `address`. */
  getClient(address: string): KeeperClient;
  /** A client for tables at the keeper at `address`. */
  getControlClient(address: string): ControlClient;
  close(): void;
}

interface Link {
  client: KeeperClient;
  control: ControlClient;
  stream: ClientDuplexStream<PeerMessage, PeerMessage> | undefined;
  isBlocked: boolean;
  retryAt: number;
}

/** Creates the streams' owner; streams open on first use. */
export function createPeers(metadata: Metadata, resolve: (address: string) => string): Peers {
  const links = new Map<string, Link>();

  return { send, getClient, getControlClient, close };

  function getClient(address: string): KeeperClient {
    return getLink(address).client;
  }

  function getControlClient(address: string): ControlClient {
    return getLink(address).control;
  }

  function send(envelope: Envelope): void {
    const link = getLink(envelope.to.address);
    if (link.stream === undefined) openStream(link);
    if (link.stream === undefined || link.isBlocked) return;
    link.isBlocked = !link.stream.write(envelope.message);
  }

  function getLink(address: string): Link {
    const known = links.get(address);
    if (known !== undefined) return known;
    const client = new KeeperClient(resolve(address), peerCredentials, channelOptions);
    const control = new ControlClient(resolve(address), peerCredentials, channelOptions);
    const link: Link = { client, control, stream: undefined, isBlocked: false, retryAt: 0 };
    links.set(address, link);
    return link;
  }

  function openStream(link: Link): void {
    if (performance.now() < link.retryAt) return;
    const stream = link.client.peer(metadata);
    link.stream = stream;
    link.isBlocked = false;
    stream.on('drain', () => {
      link.isBlocked = false;
    });
    stream.on('data', () => {});
    stream.on('error', () => forget(link, stream));
    stream.on('end', () => forget(link, stream));
  }

  function forget(link: Link, stream: Link['stream']): void {
    if (link.stream !== stream) return;
    link.stream = undefined;
    link.retryAt = performance.now() + RETRY_MS;
  }

  function close(): void {
    for (const link of links.values()) {
      link.stream?.cancel();
      link.client.close();
      link.control.close();
    }
    links.clear();
  }
}
