/**
 * Passes the response of a dispatched request on to its caller: puts its chunks in order, keeps the
 * agent's flow control going, and decides by the stated length whether it is complete.
 */

import type { Chunk, Finished, Reserve } from '../generated/dispatch.js';
import type { AgentLink, AgentLinks } from './agentLinks.js';
import type { Problem } from './problem.js';
import { toFinishProblem, toRunFailure, toRunStats } from './runResult.js';
import type { PendingRequest, RunStats } from './types.js';

/** Number of bytes consumed by the caller after which the agent is sent credit for them. */
const CREDIT_BATCH_BYTES = 64 * 1024;

/** What a relay needs from the dispatcher that owns the requests. */
export interface ResponseRelayHost {
  links: AgentLinks;
  toReserve(request: PendingRequest): Reserve;
  /** Queues a request that did not run again. */
  returnToWaiting(request: PendingRequest, link: AgentLink): void;
  /** Removes a request that has ended. */
  finish(request: PendingRequest): void;
  /** Ends a request with a problem. */
  fail(request: PendingRequest, problem: Problem, stats: RunStats | undefined): void;
}

/** Handles the frames of responses. Frames from an agent that no longer runs the request are ignored. */
export interface ResponseRelay {
  handleStart(
    request: PendingRequest,
    link: AgentLink,
    status: number,
    headers: { name: string; value: string }[],
  ): void;
  handleChunk(request: PendingRequest, link: AgentLink, chunk: Chunk): void;
  handleFinish(request: PendingRequest, link: AgentLink, finished: Finished): void;
  /** Asks the agent for the rest of the response, from the first byte that is missing. */
  reattach(request: PendingRequest, link: AgentLink): void;
}

/** Whether `link` is the agent that the request was dispatched to. */
export function isDispatchedTo(request: PendingRequest, link: AgentLink): boolean {
  return request.grant?.agentId === link.id && request.state !== 'ended';
}

export function createResponseRelay(host: ResponseRelayHost): ResponseRelay {
  return { handleStart, handleChunk, handleFinish, reattach };

  function handleStart(
    request: PendingRequest,
    link: AgentLink,
    status: number,
    headers: { name: string; value: string }[],
  ): void {
    if (!isDispatchedTo(request, link) || request.state === 'streaming') return;
    request.state = 'streaming';
    request.sink.start(status, headers, link.id);
  }

  function handleChunk(request: PendingRequest, link: AgentLink, chunk: Chunk): void {
    // A head that a lost connection took with it is sent again with all data, on request.
    if (!isDispatchedTo(request, link) || request.state !== 'streaming') return;
    const overlap = request.receivedBytes - chunk.offset;
    if (overlap < 0) {
      reattach(request, link);
      return;
    }
    if (overlap >= chunk.data.length) return;
    const data = chunk.data.subarray(overlap);
    request.receivedBytes += data.length;
    request.sink.write(data, () => addCredit(request, link, data.length));
  }

  /** Sends credit in large batches to keep the overhead for each event of a stream low. */
  function addCredit(request: PendingRequest, link: AgentLink, bytes: number): void {
    request.uncreditedBytes += bytes;
    if (request.state === 'ended' || request.uncreditedBytes < CREDIT_BATCH_BYTES) return;
    const value = { bytes: request.uncreditedBytes };
    request.uncreditedBytes = 0;
    host.links.send(link.id, request.id, { $case: 'credit', value });
  }

  function reattach(request: PendingRequest, link: AgentLink): void {
    const value = { offset: request.receivedBytes, reserve: host.toReserve(request) };
    host.links.send(link.id, request.id, { $case: 'attach', value });
  }

  function handleFinish(request: PendingRequest, link: AgentLink, finished: Finished): void {
    if (!isDispatchedTo(request, link)) return;
    if (finished.outcome === 'not_run') {
      host.returnToWaiting(request, link);
      return;
    }
    const stats = toRunStats(link.id, finished);
    if (finished.outcome !== 'complete') {
      host.fail(request, toFinishProblem(request, finished), stats);
      return;
    }
    if (request.state !== 'streaming' || finished.length > request.receivedBytes) {
      reattach(request, link);
      return;
    }
    if (finished.length === request.receivedBytes) {
      host.finish(request);
      request.sink.end({ kind: 'complete', stats });
      return;
    }
    host.fail(request, toRunFailure(request, 'cut', 'the answer had a wrong length'), stats);
  }
}
