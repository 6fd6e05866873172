/** Joins frames that carry successive parts of one answer, since each frame takes memory of its own. */

import type { AgentFrame } from '../generated/dispatch.js';

/** Frames of one request that become one: a single frame of any kind, or successive chunks. */
type FrameGroup = [AgentFrame, ...AgentFrame[]];

/** Returns the frames in their order; successive chunks of a request become one. */
export function joinChunks(frames: readonly AgentFrame[]): AgentFrame[] {
  const groups: FrameGroup[] = [];
  const latestGroups = new Map<string, FrameGroup>();
  for (const frame of frames) {
    const latest = latestGroups.get(frame.requestId);
    if (latest !== undefined && isNextChunk(frame, latest.at(-1))) {
      latest.push(frame);
      continue;
    }
    const group: FrameGroup = [frame];
    groups.push(group);
    latestGroups.set(frame.requestId, group);
  }
  return groups.map(joinGroup);
}

function isNextChunk({ body }: AgentFrame, previous: AgentFrame | undefined): boolean {
  if (body?.$case !== 'chunk' || previous?.body?.$case !== 'chunk') return false;
  const { offset, data } = previous.body.value;
  return body.value.offset === offset + data.length;
}

function joinGroup(group: FrameGroup): AgentFrame {
  const [first] = group;
  if (group.length === 1 || first.body?.$case !== 'chunk') return first;
  const parts = group.flatMap(({ body }) => (body?.$case === 'chunk' ? [body.value.data] : []));
  const value = { offset: first.body.value.offset, data: Buffer.concat(parts) };
  return { requestId: first.requestId, body: { $case: 'chunk', value } };
}
