/** Joins frames that carry successive parts of one answer, since each frame takes memory of its own. */

import type { AgentFrame, Chunk } from '../generated/dispatch.js';

/** Successive parts of an answer. */
interface ChunkRun {
  /** The chunk that they become. */
  joined: Chunk;
  parts: Buffer[];
  /** Position after the last part. */
  end: number;
}

/** Returns the frames in their order; successive chunks of a request become one. */
export function joinChunks(frames: readonly AgentFrame[]): AgentFrame[] {
  const result: AgentFrame[] = [];
  const runs: ChunkRun[] = [];
  /** By request: its latest frame, if that is a chunk. */
  const openRuns = new Map<string, ChunkRun>();
  for (const { requestId, body } of frames) {
    const run = openRuns.get(requestId);
    if (body?.$case === 'chunk' && run?.end === body.value.offset) {
      run.parts.push(body.value.data);
      run.end += body.value.data.length;
      continue;
    }
    openRuns.delete(requestId);
    if (body?.$case === 'chunk') {
      const { offset, data } = body.value;
      const joined = { offset, data };
      const opened = { joined, parts: [data], end: offset + data.length };
      openRuns.set(requestId, opened);
      runs.push(opened);
      result.push({ requestId, body: { $case: 'chunk', value: joined } });
      continue;
    }
    result.push({ requestId, body });
  }
  for (const { joined, parts } of runs) {
    if (parts.length > 1) joined.data = Buffer.concat(parts);
  }
  return result;
}
