/** Clients of streams, which take a stream up again once after it has broken off. */

import { performance } from 'node:perf_hooks';
import { HOST, send } from './deployment.mjs';

/** Splits what a client has received into complete events. */
export function parseEvents(text) {
  const end = text.lastIndexOf('\n\n');
  if (end < 0) return [];
  return text
    .slice(0, end)
    .split('\n\n')
    .map((event) => {
      const fields = Object.fromEntries(event.split('\n').map((line) => line.split(/: ?/, 2)));
      return { id: Number(fields.id), data: fields.data };
    });
}

/**
 * Receives one stream of `eventCount` events over at most two tries. Resolves with all events and
 * with the end of each try.
 */
export async function receiveStream(record, { getAddress, path, waitMs, headers = {} }) {
  const deadline = performance.now() + waitMs;
  const events = [];
  const tries = [];
  let firstAttempt;
  for (let round = 0; round < 2; round += 1) {
    const leftMs = Math.round(deadline - performance.now());
    if (leftMs < 200) break;
    const attempt = Math.random().toString(16).slice(2);
    const last = events.at(-1)?.id;
    const resumes =
      last === undefined ? {} : { 'Last-Event-Id': String(last), Resumes: firstAttempt };
    const answer = await send({
      address: getAddress(),
      method: 'POST',
      path,
      headers: {
        Host: HOST,
        'Turmericrack-Attempt-Id': attempt,
        'Turmericrack-Deadline-Ms': String(leftMs),
        'Content-Length': '2',
        ...headers,
        ...resumes,
      },
      body: '{}',
      timeoutMs: leftMs,
    });
    const added = answer.status === 200 ? parseEvents(answer.body) : [];
    if (added.length > 0 && firstAttempt === undefined) firstAttempt = attempt;
    events.push(...added);
    tries.push({ attempt, status: answer.status, end: answer.end });
    record.add('stream answer', {
      attempt,
      resumes: resumes.Resumes ?? '-',
      after: last ?? 0,
      status: answer.status,
      end: answer.end,
      events: added.map(({ id, data }) => `${id}:${data.replace(' ', '@')}`).join(','),
    });
    if (answer.status === 200 && answer.end === 'complete') break;
  }
  return { events, tries };
}
