/** Streams from entries. Each entry has one stream, which carries the frames of many requests. */

import type { ServerDuplexStream, ServiceError } from '@grpc/grpc-js';
import { assertNever } from '../common/debug.js';
import { createFrameBatch, type FrameBatch } from '../common/frameBatch.js';
import type { Logger } from '../common/logging.js';
import { createRefusal, tryGetRefusal } from '../common/rpc.js';
import type { AgentProcessSettings } from '../common/settings.js';
import type {
  AgentFrame,
  AgentFrames,
  AgentServer,
  EntryFrame,
  EntryFrames,
  Hello,
  LoadReport,
} from '../generated/dispatch.js';
import { joinChunks } from './joinedChunks.js';
import type { Scheduler } from './schedulerTypes.js';
import type { AgentFrameBody } from './types.js';

/** Time that a disconnected entry has to reconnect before its running requests are stopped. */
const RECONNECT_LIMIT_MS = 15_000;

type Stream = ServerDuplexStream<EntryFrames, AgentFrames>;

interface Connection {
  stream: Stream;
  batch: FrameBatch<AgentFrame>;
}

/** Dependencies of the connections. */
export interface EntryConnectionsHost {
  settings: AgentProcessSettings;
  logger: Logger;
  incarnation: string;
  scheduler(): Scheduler;
}

/** The agent's connections to entries. */
export interface EntryConnections {
  readonly service: AgentServer;
  send(entryKey: string, requestId: string, body: AgentFrameBody): void;
  broadcastLoad(report: LoadReport): void;
  close(): void;
}

/** Creates the gRPC service that accepts connections from entries. */
export function createEntryConnections(host: EntryConnectionsHost): EntryConnections {
  const connections = new Map<string, Connection>();
  const expiryTimers = new Map<string, NodeJS.Timeout>();
  const refusedPeers = new Set<string>();

  return { service: { connect }, send, broadcastLoad, close };

  function connect(stream: Stream): void {
    const refusal = tryGetRefusal(stream.metadata, host.settings);
    if (refusal !== undefined) {
      logRefusal(stream.getPeer(), refusal);
      stream.destroy(createRefusal(refusal) as ServiceError);
      return;
    }
    let entryKey: string | undefined;
    stream.on('data', ({ frames }: EntryFrames) => {
      for (const frame of frames) {
        if (frame.body?.$case === 'hello') entryKey = openConnection(stream, frame.body.value);
        else if (entryKey !== undefined) handleFrame(entryKey, frame);
      }
    });
    const handleClose = () => {
      if (entryKey !== undefined) closeConnection(entryKey, stream);
    };
    stream.on('error', handleClose);
    stream.on('close', handleClose);
    stream.on('end', () => {
      handleClose();
      stream.end();
    });
  }

  function logRefusal(peer: string, reason: string): void {
    const key = `${peer.slice(0, peer.lastIndexOf(':'))} ${reason}`;
    if (!refusedPeers.has(key)) host.logger.event('peerRefused', { peer, reason });
    refusedPeers.add(key);
  }

  function openConnection(stream: Stream, hello: Hello): string {
    const entryKey = `${hello.entryId}/${hello.incarnation}`;
    clearTimeout(expiryTimers.get(entryKey));
    expiryTimers.delete(entryKey);
    const batch = createFrameBatch<AgentFrame>((frames) =>
      stream.write({ frames: joinChunks(frames) }),
    );
    connections.get(entryKey)?.stream.end();
    connections.set(entryKey, { stream, batch });
    const { id, agent } = host.settings;
    const value = {
      agentId: id,
      incarnation: host.incarnation,
      prefillTokensPerSecond: Math.round(agent.prefillTokensPerSecond ?? 0),
      decodeTokensPerSecond: Math.round(agent.decodeTokensPerSecond ?? 0),
    };
    send(entryKey, '', { $case: 'welcome', value });
    return entryKey;
  }

  function closeConnection(entryKey: string, stream: Stream): void {
    if (connections.get(entryKey)?.stream !== stream) return;
    connections.delete(entryKey);
    host.scheduler().handleEntryDisconnect(entryKey);
    const handleExpiry = () => host.scheduler().handleEntryExpiry(entryKey);
    expiryTimers.set(entryKey, setTimeout(handleExpiry, RECONNECT_LIMIT_MS));
  }

  function handleFrame(entryKey: string, frame: EntryFrame): void {
    const { requestId, body } = frame;
    const scheduler = host.scheduler();
    if (body === undefined) return;
    switch (body.$case) {
      case 'hello':
        break;
      case 'reserve':
        scheduler.reserve(entryKey, requestId, body.value);
        break;
      case 'withdraw':
        scheduler.withdraw(requestId);
        break;
      case 'dispatch':
        scheduler.dispatch(entryKey, requestId, body.value);
        break;
      case 'statusQuery':
        scheduler.reportStatus(entryKey, requestId, body.value.grantId);
        break;
      case 'cancel':
        scheduler.cancel(requestId);
        break;
      case 'credit':
        scheduler.credit(requestId, body.value.bytes);
        break;
      case 'attach':
        scheduler.attach(entryKey, requestId, body.value.offset, body.value.reserve);
        break;
      case 'floorRaise':
        raiseFloor(entryKey, body.value.tierRank, body.value.validMs, body.value.sequence);
        break;
      default:
        assertNever(body);
    }
  }

  function raiseFloor(entryKey: string, tierRank: number, validMs: number, sequence: number): void {
    const below = host.scheduler().raiseFloor(tierRank, validMs);
    send(entryKey, '', { $case: 'floorReport', value: { tierRank, sequence, below } });
  }

  function send(entryKey: string, requestId: string, body: AgentFrameBody): void {
    const batch = connections.get(entryKey)?.batch;
    // The first chunk determines the time to first byte, so it is not delayed. Later chunks arrive
    // at a pace that leaves time to batch them.
    const isLaterChunk = body.$case === 'chunk' && body.value.offset > 0;
    if (isLaterChunk) batch?.pushDelayed({ requestId, body });
    else batch?.push({ requestId, body });
  }

  function broadcastLoad(value: LoadReport): void {
    for (const connection of connections.values()) {
      connection.batch.push({ requestId: '', body: { $case: 'loadReport', value } });
    }
  }

  function close(): void {
    for (const timer of expiryTimers.values()) clearTimeout(timer);
    for (const connection of connections.values()) {
      connection.batch.flush();
      connection.stream.end();
    }
    connections.clear();
  }
}
