/**
 * A bad version is reverted. Before its replicas have left, the operator orders the next version.
 */
import { runCase } from '../lib-3/case.mjs';
import { delay, waitFor } from '../lib-3/deployment.mjs';
import { createScene, rolloutBounds } from '../lib-3/rollouts.mjs';

const DURATION_S = 14;
/** Share of the bad version's answers that are failures. */
const FAIL_SHARE = 0.3;
/** From the end of the first order to the next one. */
const NEXT_ORDER_MS = 1_000;
/** "At `reverted`, the new replicas drain some seconds later." */
const DRAIN_AFTER_MS = 8_000;
const OBSERVED_MS = 3_000;

const scenery = {
  service: { name: 'uplift-app', maxConns: 210 },
  route: {
    name: 'order',
    pathPrefix: '/order/',
    kind: 'non_idempotent',
    service: 'uplift-app',
    attempts: 1,
    sloMs: 179,
    timeoutMs: 2_500,
  },
  plan: { slots: 6, workMs: 30, events: 0 },
  requestsPerS: 150,
  deadlineMs: 2_500,
};

await runCase('review/10', { moreBounds: rolloutBounds }, async (host) => {
  const { note, hasTrouble } = host;
  const scene = await createScene(host, scenery);
  await delay(2_000);
  const orderedAt = await scene.order('v2', DURATION_S, { failShare: hasTrouble ? FAIL_SHARE : 0 });
  const state = await waitFor('the end of the order', scene.readEnd, (DURATION_S + 4) * 1_000);
  const endedAt = Date.now();
  note(`v2 is ${state}`);
  // "At `completed`, the old replicas stop immediately, without draining."
  if (state === 'completed') await scene.endVersion('v1');
  await delay(NEXT_ORDER_MS);
  await scene.order('v3', DURATION_S);
  await delay(endedAt + DRAIN_AFTER_MS - Date.now());
  if (state === 'reverted') scene.drainVersion('v2');
  const remainingMs = orderedAt + DURATION_S * 1_000 - Date.now();
  await delay(Math.max(OBSERVED_MS, remainingMs));
  await scene.endLoad();
  const { broken, verdict } = scene.judge(orderedAt, DURATION_S, hasTrouble);
  const failed = scene.answers.filter(({ status }) => status >= 500).length;
  return { broken, verdict: `${verdict}; ${failed} clients got a failure` };
});
