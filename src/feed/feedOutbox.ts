/**
 * What a subscriber sends to one keeper on one stream. While the stream holds a message, only the
 * newest state is kept for the next one.
 */

import type { CrashRecordCursor } from '../crashes/crashRecords.js';
import type {
  Announcement,
  FeedMessage,
  GatewayReport,
  TablePartRequest,
} from '../generated/control.js';
import type { StreamOriginCursor } from '../streams/streamOrigins.js';
import { createPacedStream } from './pacedStream.js';

/** External dependencies of an outbox. */
export interface FeedOutboxHost {
  /** Monotonic time in milliseconds that stands still while this process does not run. */
  now(): number;
  /** Calls `onTaken` once the stream holds the message no longer. */
  write(message: FeedMessage, onTaken: () => void): void;
  /** Adds what all messages state; undefined if the stream has ended. */
  complete(message: Partial<FeedMessage>): FeedMessage | undefined;
  /** Whether the keeper has answered; before, it is sent announcements only. */
  isConnected(): boolean;
  crashCursor: CrashRecordCursor;
  originCursor: StreamOriginCursor | undefined;
}

/** Messages to one keeper. */
export interface FeedOutbox {
  /** Time for which nothing that was sent has been taken, in milliseconds. */
  readonly stalledMs: number;
  announce(announcements: readonly Announcement[]): void;
  requestPart(part: TablePartRequest): void;
  /** Sends a report and what has changed since the last message. */
  push(report: GatewayReport | undefined): void;
  /** Sends what has changed since the last message. */
  flush(): void;
}

export function createFeedOutbox(host: FeedOutboxHost): FeedOutbox {
  const announcements = new Map<string, Announcement>();
  let wantedParts: TablePartRequest[] = [];
  let report: GatewayReport | undefined;
  const messages = createPacedStream({ now: host.now, write: host.write, compose });

  return {
    get stalledMs() {
      return messages.stalledMs;
    },
    announce(added) {
      for (const announcement of added) {
        announcements.set(
          JSON.stringify([announcement.endpointId, announcement.pool]),
          announcement,
        );
      }
      messages.flush();
    },
    requestPart(part) {
      const others = wantedParts.filter(
        ({ revision, offset }) => revision === part.revision && offset !== part.offset,
      );
      wantedParts = [...others, part];
      messages.flush();
    },
    push(newest) {
      report = newest;
      messages.flush();
    },
    flush: messages.flush,
  };

  function compose(): FeedMessage | undefined {
    const message = host.complete({
      report,
      announcements: [...announcements.values()],
      wantedParts,
      ...takeChanges(),
    });
    if (message === undefined) return undefined;
    announcements.clear();
    wantedParts = [];
    report = undefined;
    return message;
  }

  function takeChanges(): Partial<FeedMessage> {
    if (!host.isConnected()) return {};
    return {
      crashRecords: host.crashCursor.takeChanged(),
      streamOrigins: host.originCursor?.takeAdded() ?? [],
    };
  }
}
