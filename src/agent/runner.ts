/** Runs one request at the endpoint and forwards its answer, resuming a stream that was cut off. */

import { delay } from '../common/delay.js';
import type { AnswerStream } from './answerStream.js';
import {
  createTailBuffer,
  readUsage,
  type EndpointAnswer,
  type EndpointClient,
  type SendResult,
} from './endpointClient.js';
import type { Job, RunOutcome, RunStart } from './types.js';

const MAX_RESUME_ATTEMPTS = 20;
const RESUME_DELAY_MS = 150;

/** Dependencies of a run. */
export interface RunnerHost {
  client: EndpointClient;
  isEngine: boolean;
  now(): number;
  wallTimeUs(): number;
}

/** Dependencies and callback of a run. */
interface RunHost extends RunnerHost {
  onFirstByte(): void;
}

type ReadResult = { kind: 'ended'; tail: string } | { kind: 'cut'; reason: string };

/** Runs the job; resolves when the answer has ended or cannot be completed. */
export async function runJob(
  host: RunHost,
  job: Job,
  start: RunStart,
  stream: AnswerStream,
  signal: AbortSignal,
): Promise<RunOutcome> {
  let result = await sendFirst(host, job, start, signal);
  let hasStarted = false;
  for (let attempt = 0; attempt <= MAX_RESUME_ATTEMPTS; attempt += 1) {
    if (job.stopReason !== undefined) return stopRun(host, job);
    if (result.kind === 'notSent' && attempt === 0) return toNotSentOutcome(start, result.reason);
    if (result.kind === 'answer') {
      const { answer } = result;
      const isResumable = host.isEngine && answer.isEventStream;
      if (!hasStarted && start.kind === 'dispatch') stream.start(answer.status, answer.headers);
      if (attempt > 0 && answer.status !== 200) {
        await answer.body.dump();
        return { kind: 'cut', reason: `resume was answered with ${answer.status}` };
      }
      hasStarted = true;
      const read = await readAnswer(host, job, answer, stream);
      if (read.kind === 'ended') return { kind: 'complete', usage: readUsage(read.tail) };
      if (job.stopReason !== undefined) return stopRun(host, job);
      if (!isResumable) return { kind: 'cut', reason: read.reason };
    } else if (job.stopReason !== undefined) {
      return stopRun(host, job);
    } else if (!hasStarted && start.kind === 'dispatch') {
      return { kind: 'cut', reason: result.reason };
    }
    if (attempt > 0) await delay(RESUME_DELAY_MS);
    result = await host.client.resume(job.requestId, stream.length, signal);
  }
  return { kind: 'cut', reason: 'the stream could not be resumed' };
}

function sendFirst(
  host: RunHost,
  job: Job,
  start: RunStart,
  signal: AbortSignal,
): Promise<SendResult> {
  if (start.kind === 'dispatch') return host.client.send(job.requestId, start.dispatch, signal);
  return host.client.resume(job.requestId, start.offset, signal);
}

function toNotSentOutcome(start: RunStart, reason: string): RunOutcome {
  return start.kind === 'dispatch' ? { kind: 'notRun', reason } : { kind: 'cut', reason };
}

async function stopRun(host: RunHost, job: Job): Promise<RunOutcome> {
  if (job.stopReason === 'endpointGone') return { kind: 'cut', reason: 'the endpoint is silent' };
  if (host.isEngine) await host.client.cancel(job.requestId);
  return { kind: 'stopped', reason: job.stopReason ?? 'callerLeft' };
}

/** Forwards the body. Uses events because an async iterator costs more for each chunk. */
function readAnswer(
  host: RunHost,
  job: Job,
  answer: EndpointAnswer,
  stream: AnswerStream,
): Promise<ReadResult> {
  const { body } = answer;
  const tail = createTailBuffer();
  const resumeReading = () => {
    body.resume();
  };
  return new Promise((resolve) => {
    body.on('data', (data: Buffer) => {
      recordFirstByte(host, job);
      job.chunksReceived += 1;
      tail.push(data);
      if (!stream.push(data, resumeReading)) body.pause();
    });
    body.on('end', () => {
      const text = tail.read();
      const hasEndMarker = !answer.isEventStream || text.trimEnd().endsWith('data: [DONE]');
      const isComplete = !host.isEngine || hasEndMarker;
      resolve(isComplete ? { kind: 'ended', tail: text } : { kind: 'cut', reason: 'no end mark' });
    });
    body.on('error', (error: Error & { code?: string }) => {
      resolve({ kind: 'cut', reason: error.code ?? 'the body was cut off' });
    });
    body.on('close', () => resolve({ kind: 'cut', reason: 'the body was closed' }));
  });
}

function recordFirstByte(host: RunHost, job: Job): void {
  if (job.firstByteAt > 0) return;
  job.firstByteAt = host.now();
  job.span.firstByteUs = host.wallTimeUs();
  host.onFirstByte();
}
