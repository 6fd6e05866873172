/** Streams to the agents: one each, opened for every agent in the configuration. */

import type { ClientDuplexStream, Metadata } from '@grpc/grpc-js';
import type { Clock } from '../common/clock.js';
import { createFrameBatch, type FrameBatch } from '../common/frameBatch.js';
import type { Logger } from '../common/logging.js';
import { channelOptions, peerCredentials } from '../common/rpc.js';
import {
  AgentClient,
  type AgentFrame,
  type AgentFrames,
  type EntryFrame,
  type EntryFrames,
  type LoadReport,
  type Welcome,
} from '../generated/dispatch.js';
import type { Member } from '../generated/keeper.js';
import type { EntryFrameBody } from './types.js';

const RECONNECT_MS = 200;
/** A stream that was not answered by then is opened anew. */
const WELCOME_LIMIT_MS = 2_000;

type Stream = ClientDuplexStream<EntryFrames, AgentFrames>;

/** What an entry knows of an agent. */
export interface AgentLink {
  readonly id: string;
  address: string;
  /** Incarnation that answered last; undefined before the first answer. */
  incarnation: string | undefined;
  isOpen: boolean;
  load: LoadReport | undefined;
  /** Tokens a second; 0 when not stated. */
  prefillSpeed: number;
  decodeSpeed: number;
  /** Reservations of this entry that wait there. */
  reserved: number;
  /** Requests of this entry that run there. */
  dispatched: number;
}

/** What the links need from outside. */
export interface AgentLinksHost {
  clock: Clock;
  logger: Logger;
  metadata: Metadata;
  /** Address to connect to for an announced one. */
  resolve(address: string): string;
  deployment: string;
  entryId: string;
  incarnation: string;
  onConnected(link: AgentLink): void;
  onDisconnected(link: AgentLink): void;
  onFrame(link: AgentLink, frame: AgentFrame): void;
}

/** The entry's streams to agents. */
export interface AgentLinks {
  /** Opens and closes streams so that they match the agents listed. */
  setAgents(agents: readonly Member[]): void;
  tryGet(agentId: string): AgentLink | undefined;
  send(agentId: string, requestId: string, body: EntryFrameBody): void;
  close(): void;
}

interface Connection {
  link: AgentLink;
  client: AgentClient;
  stream: Stream | undefined;
  batch: FrameBatch<EntryFrame>;
  openedAt: number;
  /** Whether the agent is still in the configuration. */
  isListed: boolean;
}

/** Creates the streams' owner. */
export function createAgentLinks(host: AgentLinksHost): AgentLinks {
  const connections = new Map<string, Connection>();
  const timer = setInterval(reconnect, RECONNECT_MS);

  return {
    setAgents: follow,
    tryGet: (agentId) => connections.get(agentId)?.link,
    send(agentId, requestId, body) {
      connections.get(agentId)?.batch.push({ requestId, body });
    },
    close,
  };

  function follow(agents: readonly Member[]): void {
    const listed = new Set<string>();
    for (const agent of agents) {
      listed.add(agent.id);
      const known = connections.get(agent.id);
      if (known !== undefined && known.link.address !== agent.address) drop(known);
      if (connections.has(agent.id)) continue;
      const connection = createConnection(agent);
      connections.set(agent.id, connection);
      open(connection);
    }
    for (const connection of connections.values()) {
      connection.isListed = listed.has(connection.link.id);
      if (!connection.isListed && !connection.link.isOpen) drop(connection);
    }
  }

  function createConnection(agent: Member): Connection {
    const link: AgentLink = {
      id: agent.id,
      address: agent.address,
      incarnation: undefined,
      isOpen: false,
      load: undefined,
      prefillSpeed: 0,
      decodeSpeed: 0,
      reserved: 0,
      dispatched: 0,
    };
    const client = new AgentClient(host.resolve(agent.address), peerCredentials, channelOptions);
    const connection: Connection = {
      link,
      client,
      stream: undefined,
      batch: createFrameBatch((frames) => connection.stream?.write({ frames })),
      openedAt: 0,
      isListed: true,
    };
    return connection;
  }

  function open(connection: Connection): void {
    const stream = connection.client.connect(host.metadata);
    connection.stream = stream;
    connection.openedAt = host.clock.now();
    const { deployment, entryId, incarnation } = host;
    const hello = { $case: 'hello' as const, value: { deployment, entryId, incarnation } };
    stream.write({ frames: [{ requestId: '', body: hello }] });
    stream.on('data', ({ frames }: AgentFrames) => {
      if (connection.stream !== stream) return;
      for (const frame of frames) handleFrame(connection, frame);
    });
    stream.on('error', (error) => lose(connection, stream, error.message));
    stream.on('end', () => lose(connection, stream, 'closed by the agent'));
  }

  function handleFrame(connection: Connection, frame: AgentFrame): void {
    const { link } = connection;
    switch (frame.body?.$case) {
      case 'welcome':
        welcome(link, frame.body.value);
        break;
      case 'loadReport':
        link.load = frame.body.value;
        break;
      default:
        host.onFrame(link, frame);
    }
  }

  function welcome(link: AgentLink, value: Welcome): void {
    link.incarnation = value.incarnation;
    link.prefillSpeed = value.prefillTokensPerSecond;
    link.decodeSpeed = value.decodeTokensPerSecond;
    link.isOpen = true;
    host.logger.event('agentConnected', { agent: link.id, incarnation: value.incarnation });
    host.onConnected(link);
  }

  function lose(connection: Connection, stream: Stream, reason: string): void {
    if (connection.stream !== stream) return;
    connection.stream = undefined;
    stream.cancel();
    const { link } = connection;
    link.load = undefined;
    if (!link.isOpen) return;
    link.isOpen = false;
    host.logger.event('agentDisconnected', { agent: link.id, reason });
    host.onDisconnected(link);
    if (!connection.isListed) drop(connection);
  }

  function reconnect(): void {
    const now = host.clock.now();
    for (const connection of connections.values()) {
      const { stream, link } = connection;
      if (stream === undefined) open(connection);
      else if (!link.isOpen && now - connection.openedAt > WELCOME_LIMIT_MS) {
        lose(connection, stream, 'no answer');
        open(connection);
      }
    }
  }

  function drop(connection: Connection): void {
    connections.delete(connection.link.id);
    const { stream } = connection;
    if (stream !== undefined) lose(connection, stream, 'the agent has left');
    connection.client.close();
  }

  function close(): void {
    clearInterval(timer);
    for (const { stream, client, batch } of connections.values()) {
      batch.flush();
      stream?.end();
      client.close();
    }
    connections.clear();
  }
}
