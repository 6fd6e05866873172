/**
 * A part of the answers of a new version arrive several times slower than usual, so that their
 * clients leave before the first event.
 */
import { runCase } from '../lib-3/case.mjs';
import { delay, waitFor } from '../lib-3/deployment.mjs';
import { createScene, rolloutBounds } from '../lib-3/rollouts.mjs';

const DURATION_S = 14;
/** Share of the bad version's answers that are slow, and how many times slower they are. */
const SLOW_SHARE = 0.4;
const SLOW_TIMES = 6;
const FIRST_EVENT_MS = 500;
/** Four times the objective of 608 ms, longer than 2 s and than eight pauses of 300 ms. */
const MAX_GAP_MS = 2_432;
const END_MS = 1_000;

const scenery = {
  service: {
    name: 'bin-assistant-models',
    backend: { capacity: 30, kvCapacity: 759_280, models: [{ name: 'm' }] },
  },
  route: {
    name: 'query',
    pathPrefix: '/query/',
    kind: 'streaming',
    service: 'bin-assistant-models',
    resumable: false,
    attempts: 1,
    sloMs: 608,
    itlTargetMs: 300,
    timeoutMs: 10_000,
  },
  plan: { slots: 30, workMs: FIRST_EVENT_MS, events: 10, eventMs: 20, slowTimes: SLOW_TIMES },
  requestsPerS: 60,
  deadlineMs: 10_000,
  maxGapMs: MAX_GAP_MS,
};

await runCase('review/9', { moreBounds: rolloutBounds }, async (host) => {
  const { note, hasTrouble } = host;
  const scene = await createScene(host, scenery);
  await delay(2_000);
  const slowShare = hasTrouble ? SLOW_SHARE : 0;
  const orderedAt = await scene.order('v2', DURATION_S, { slowShare });
  const state = await waitFor('the end of the order', scene.readEnd, (DURATION_S + 4) * 1_000);
  note(`v2 is ${state}`);
  // "At `completed`, the old replicas stop immediately, without draining."
  if (state === 'completed') await scene.endVersion('v1');
  await delay(Math.max(END_MS, orderedAt + DURATION_S * 1_000 - Date.now()));
  await scene.endLoad();
  const { broken, verdict } = scene.judge(orderedAt, DURATION_S, hasTrouble);
  const left = scene.answers.filter(({ error }) => error === 'gap').length;
  return { broken, verdict: `v2 is ${state}; ${verdict}; ${left} clients left without an answer` };
});
