/** Streams from the entry to the agents: one for each agent in the configuration. */

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

const RECONNECT_INTERVAL_MS = 200;
/** A stream on which no Welcome frame has arrived within this time is opened again. */
const WELCOME_TIMEOUT_MS = 2_000;

type Stream = ClientDuplexStream<EntryFrames, AgentFrames>;

/** The state of the connection to an agent and what the agent has reported on it. */
export interface AgentLink {
  readonly id: string;
  address: string;
  /** Incarnation that sent the last Welcome frame; undefined before the first one. */
  incarnation: string | undefined;
  isConnected: boolean;
  load: LoadReport | undefined;
  /** Stated speeds of the endpoint, in tokens per second; 0 when none is stated. */
  prefillSpeed: number;
  decodeSpeed: number;
  /** Reservations of this entry that wait at the agent. */
  reservedCount: number;
  /** Requests of this entry that are dispatched to the agent. */
  dispatchedCount: number;
}

/** Dependencies of the links. */
export interface AgentLinksHost {
  clock: Clock;
  logger: Logger;
  metadata: Metadata;
  /** Returns the address to connect to for the address that an agent announced. */
  resolve(address: string): string;
  deployment: string;
  entryId: string;
  incarnation: string;
  onConnected(link: AgentLink): void;
  onDisconnected(link: AgentLink): void;
  onFrame(link: AgentLink, frame: AgentFrame): void;
}

/** Opens streams to the agents, reconnects them, and sends and receives frames. */
export interface AgentLinks {
  /**
   * Opens and closes streams to match the agents in the configuration. The stream to an agent that
   * was removed from it stays until it disconnects.
   */
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
  /** Whether the agent is in the current configuration. */
  isConfigured: boolean;
}

export function createAgentLinks(host: AgentLinksHost): AgentLinks {
  const connections = new Map<string, Connection>();
  const timer = setInterval(reconnect, RECONNECT_INTERVAL_MS);

  return {
    setAgents,
    tryGet: (agentId) => connections.get(agentId)?.link,
    send(agentId, requestId, body) {
      connections.get(agentId)?.batch.push({ requestId, body });
    },
    close,
  };

  function setAgents(agents: readonly Member[]): void {
    const configuredIds = new Set<string>();
    for (const agent of agents) {
      configuredIds.add(agent.id);
      const existing = connections.get(agent.id);
      if (existing !== undefined && existing.link.address !== agent.address) remove(existing);
      if (connections.has(agent.id)) continue;
      const connection = createConnection(agent);
      connections.set(agent.id, connection);
      open(connection);
    }
    for (const connection of connections.values()) {
      connection.isConfigured = configuredIds.has(connection.link.id);
      if (!connection.isConfigured && !connection.link.isConnected) remove(connection);
    }
  }

  function createConnection(agent: Member): Connection {
    const link: AgentLink = {
      id: agent.id,
      address: agent.address,
      incarnation: undefined,
      isConnected: false,
      load: undefined,
      prefillSpeed: 0,
      decodeSpeed: 0,
      reservedCount: 0,
      dispatchedCount: 0,
    };
    const client = new AgentClient(host.resolve(agent.address), peerCredentials, channelOptions);
    const connection: Connection = {
      link,
      client,
      stream: undefined,
      batch: createFrameBatch((frames) => connection.stream?.write({ frames })),
      openedAt: 0,
      isConfigured: true,
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
    stream.on('error', (error) => handleDisconnect(connection, stream, error.message));
    stream.on('end', () => handleDisconnect(connection, stream, 'stream closed by the agent'));
  }

  function handleFrame(connection: Connection, frame: AgentFrame): void {
    const { link } = connection;
    switch (frame.body?.$case) {
      case 'welcome':
        handleWelcome(link, frame.body.value);
        break;
      case 'loadReport':
        link.load = frame.body.value;
        break;
      default:
        host.onFrame(link, frame);
    }
  }

  function handleWelcome(link: AgentLink, value: Welcome): void {
    link.incarnation = value.incarnation;
    link.prefillSpeed = value.prefillTokensPerSecond;
    link.decodeSpeed = value.decodeTokensPerSecond;
    link.isConnected = true;
    host.logger.event('agentConnected', { agent: link.id, incarnation: value.incarnation });
    host.onConnected(link);
  }

  function handleDisconnect(connection: Connection, stream: Stream, reason: string): void {
    if (connection.stream !== stream) return;
    connection.stream = undefined;
    stream.cancel();
    const { link } = connection;
    link.load = undefined;
    if (!link.isConnected) return;
    link.isConnected = false;
    host.logger.event('agentDisconnected', { agent: link.id, reason });
    host.onDisconnected(link);
    if (!connection.isConfigured) remove(connection);
  }

  function reconnect(): void {
    const now = host.clock.now();
    for (const connection of connections.values()) {
      const { stream, link } = connection;
      if (stream === undefined) open(connection);
      else if (!link.isConnected && now - connection.openedAt > WELCOME_TIMEOUT_MS) {
        handleDisconnect(connection, stream, 'no Welcome frame in time');
        open(connection);
      }
    }
  }

  function remove(connection: Connection): void {
    connections.delete(connection.link.id);
    const { stream } = connection;
    if (stream !== undefined) handleDisconnect(connection, stream, 'address of the agent changed');
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
