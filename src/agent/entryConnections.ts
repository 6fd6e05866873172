/** Streams from entries: one each, with the frames of many requests. */

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
import type { Scheduler } from './schedulerTypes.js';
import type { AgentFrameBody } from './types.js';

/** How long requests of an entry without a connection go on; milliseconds. */
const RELEASE_MS = 15_000;

type Stream = ServerDuplexStream<EntryFrames, AgentFrames>;

interface Link {
  stream: Stream;
  batch: FrameBatch<AgentFrame>;
}

/** What the connections need from outside. */
export interface EntryConnectionsHost {
  settings: AgentProcessSettings;
  logger: Logger;
  incarnation: string;
  getScheduler(): Scheduler;
}

/** The agent's connections to entries. */
export interface EntryConnections {
  readonly service: AgentServer;
  send(entryKey: string, requestId: string, body: AgentFrameBody): void;
  broadcastLoad(report: LoadReport): void;
  close(): void;
}

/** Creates the connections' owner. */
export function createEntryConnections(host: EntryConnectionsHost): EntryConnections {
  const links = new Map<string, Link>();
  const releases = new Map<string, NodeJS.Timeout>();
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
        if (frame.body?.$case === 'hello') entryKey = openLink(stream, frame.body.value);
        else if (entryKey !== undefined) handleFrame(entryKey, frame);
      }
    });
    const closeStream = () => {
      if (entryKey !== undefined) closeLink(entryKey, stream);
    };
    stream.on('error', closeStream);
    stream.on('close', closeStream);
    stream.on('end', () => {
      closeStream();
      stream.end();
    });
  }

  function logRefusal(peer: string, reason: string): void {
    const key = `${peer.slice(0, peer.lastIndexOf(':'))} ${reason}`;
    if (!refusedPeers.has(key)) host.logger.event('peerRefused', { peer, reason });
    refusedPeers.add(key);
  }

  function openLink(stream: Stream, hello: Hello): string {
    const entryKey = `${hello.entryId}/${hello.incarnation}`;
    clearTimeout(releases.get(entryKey));
    releases.delete(entryKey);
    const batch = createFrameBatch<AgentFrame>((frames) => stream.write({ frames }));
    links.get(entryKey)?.stream.end();
    links.set(entryKey, { stream, batch });
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

  function closeLink(entryKey: string, stream: Stream): void {
    if (links.get(entryKey)?.stream !== stream) return;
    links.delete(entryKey);
    host.getScheduler().detachEntry(entryKey);
    const release = () => host.getScheduler().releaseEntry(entryKey);
    releases.set(entryKey, setTimeout(release, RELEASE_MS));
  }

  function handleFrame(entryKey: string, frame: EntryFrame): void {
    const { requestId, body } = frame;
    const scheduler = host.getScheduler();
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
    const below = host.getScheduler().raiseFloor(tierRank, validMs);
    send(entryKey, '', { $case: 'floorReport', value: { tierRank, sequence, below } });
  }

  function send(entryKey: string, requestId: string, body: AgentFrameBody): void {
    const batch = links.get(entryKey)?.batch;
    // The first piece of an answer is in a hurry; the pace of later ones leaves time to share.
    const isLaterPiece = body.$case === 'chunk' && body.value.offset > 0;
    if (isLaterPiece) batch?.pushPatiently({ requestId, body });
    else batch?.push({ requestId, body });
  }

  function broadcastLoad(value: LoadReport): void {
    for (const link of links.values()) {
      link.batch.push({ requestId: '', body: { $case: 'loadReport', value } });
    }
  }

  function close(): void {
    for (const timer of releases.values()) clearTimeout(timer);
    for (const link of links.values()) {
      link.batch.flush();
      link.stream.end();
    }
    links.clear();
  }
}
