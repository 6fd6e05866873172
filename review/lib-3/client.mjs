/** Clients: each attempt has an id of its own and, unless it is told to, a connection of its own. */
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { request as sendRequest } from 'node:http';

const HOST_NAME = 'shop.example';
/** Time for which an answer is waited for beyond the deadline. */
const LATE_MS = 500;

/**
 * Sends one attempt to a gateway. Resolves with what the client saw: `status` is 0 without an
 * answer, `isComplete` tells whether the answer ended as a whole. After `maxGapMs` without bytes
 * of an answer, the client leaves.
 */
export function sendAttempt({
  address,
  path,
  id,
  headers = {},
  method = 'POST',
  body,
  deadlineMs = 5_000,
  maxGapMs = deadlineMs,
}) {
  return new Promise((resolve) => {
    const sentAt = Date.now();
    const seen = { id, sentAt, status: 0, headers: {}, text: '', isComplete: false, error: '' };
    let gapTimer;
    const end = (error = '') => {
      clearTimeout(gapTimer);
      seen.error ||= error;
      seen.endedAt = Date.now();
      resolve(seen);
    };
    const request = sendRequest(
      {
        ...address,
        method,
        path,
        agent: false,
        headers: {
          Host: HOST_NAME,
          'Turmericrack-Attempt-Id': id,
          'Turmericrack-Deadline-Ms': String(deadlineMs),
          ...headers,
          ...(method === 'POST' ? { 'Content-Length': Buffer.byteLength(body ?? '') } : {}),
        },
        signal: globalThis.AbortSignal.timeout(deadlineMs + LATE_MS),
      },
      (response) => {
        seen.status = response.statusCode;
        seen.headers = response.headers;
        seen.headAt = Date.now();
        response.setEncoding('utf8');
        response.on('data', (part) => {
          seen.text += part;
          watchGap();
        });
        response.on('end', () => {
          seen.isComplete = response.complete;
          end();
        });
        response.on('error', (error) => end(error.code ?? error.message));
      },
    );
    request.on('error', (error) => end(error.code ?? error.message));
    request.end(body);
    watchGap();

    function watchGap() {
      clearTimeout(gapTimer);
      gapTimer = setTimeout(() => request.destroy(new Error('gap')), maxGapMs);
    }
  });
}

/** Splits the complete events of a stream; an event has an id and the data of the replica. */
export function parseEvents(text) {
  return text
    .split('\n\n')
    .slice(0, -1)
    .map((event) => ({
      id: Number(/^id: (\d+)$/m.exec(event)?.[1] ?? 0),
      data: /^data: (.*)$/m.exec(event)?.[1] ?? '',
    }));
}
