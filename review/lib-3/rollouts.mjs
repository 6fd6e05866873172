/** What the cases of rollouts have in common: versions, orders, callers and the check of the rule. */
import { waitServing } from './case.mjs';
import { sendAttempt } from './client.mjs';
import { delay } from './deployment.mjs';
import { callControl, callUntilAcknowledged, createConfiguration, declare } from './operator.mjs';

const REPLICAS_PER_VERSION = 3;
/** Bad answers after which a bad version may get requests for `revertMs` only. */
const COUNTED_BAD_ANSWERS = 50;

/** Bounds of the sheets of `demands/`. */
export const rolloutBounds = { canaryShare: 0.1, canaryExcess: 50, revertMs: 5_000 };

/**
 * Prepares a service with one route and version v1. `plan` is that of its replicas; `deadlineMs` and
 * `maxGapMs` are those of its clients.
 */
export async function createScene(
  { deployment, replicas, note },
  { service, route, plan, requestsPerS, deadlineMs, maxGapMs },
) {
  const answers = [];
  const pending = [];
  let isLoaded = true;
  await startVersion('v1');
  await declare(deployment.controlAddresses, createConfiguration(1, [route], [service]));
  await waitServing(deployment, `${route.pathPrefix}ready`);
  const load = runLoad();

  return { answers, startVersion, endVersion, drainVersion, order, readEnd, endLoad, judge };

  async function startVersion(version, more = {}) {
    const numbers = Array.from({ length: REPLICAS_PER_VERSION }, (_unused, index) => index + 1);
    await Promise.all(
      numbers.map((number) =>
        replicas.start({
          ...plan,
          ...more,
          service: service.name,
          version,
          id: `${version}-${number}`,
        }),
      ),
    );
  }

  function listIds(version) {
    const running = replicas.list().filter((replica) => replica.plan.version === version);
    return running.map((replica) => replica.plan.id);
  }

  async function endVersion(version) {
    await Promise.all(listIds(version).map(replicas.kill));
  }

  function drainVersion(version) {
    note(`${version} drains`);
    for (const id of listIds(version)) replicas.send(id, { kind: 'drain' });
  }

  /** Orders a rollout and starts the replicas of its version; resolves with the time of the order. */
  async function order(to, durationS, more) {
    const body = { service: service.name, to, durationS };
    const path = '/turmericrack/rollouts/begin';
    await callUntilAcknowledged(deployment.controlAddresses, 'POST', path, body);
    note(`ordered ${to}`);
    const orderedAt = Date.now();
    await startVersion(to, more);
    return orderedAt;
  }

  /** Returns the state of the latest rollout once it has ended. */
  async function readEnd() {
    const [address] = deployment.controlAddresses;
    const path = `/turmericrack/rollouts/${service.name}/read`;
    const { status, text } = await callControl(address, 'GET', path);
    if (status !== 200) return undefined;
    const { state } = JSON.parse(text);
    return state === 'in_progress' ? undefined : state;
  }

  async function runLoad() {
    for (let number = 1; isLoaded; number += 1) {
      pending.push(send(number));
      await delay(1_000 / requestsPerS);
    }
  }

  async function endLoad() {
    isLoaded = false;
    await load;
    await Promise.all(pending);
  }

  async function send(number) {
    const gateway = deployment.gateways[number % deployment.gateways.length];
    const id = `a-${number}`;
    const answer = await sendAttempt({
      address: deployment.getAddress(gateway),
      path: `${route.pathPrefix}${number}`,
      id,
      deadlineMs,
      maxGapMs,
    });
    answers.push(answer);
    const signature = answer.headers['turmericrack-response-signature'] ?? 'none';
    note(`${id} at ${gateway.name}: ${answer.status}, signature ${signature} ${answer.error}`);
  }

  /** Checks the rule for the version v2, which was ordered at `orderedAt`, if it is bad. */
  function judge(orderedAt, durationS, isBad) {
    const { canaryShare, canaryExcess, revertMs } = rolloutBounds;
    const runs = replicas.readRecords().filter(({ kind }) => kind === 'run');
    const until = orderedAt + durationS * 1_000;
    const during = runs.filter(({ at }) => at >= orderedAt && at < until);
    const ofBad = runs.filter(({ version }) => version === 'v2' && isBad);
    const exposed = ofBad.filter(({ at }) => at < until).length;
    const allowed = Math.floor(canaryShare * during.length + canaryExcess);
    const bad = ofBad.filter((run) => run.isBad);
    const lateFrom = (bad[COUNTED_BAD_ANSWERS - 1]?.at ?? Number.POSITIVE_INFINITY) + revertMs;
    const late = ofBad.filter(({ at }) => at > lateFrom).length;
    const verdict = `the bad version got ${exposed} of ${during.length} requests until the deadline, ${allowed} are allowed; ${late} came later than ${revertMs} ms after its bad answer ${COUNTED_BAD_ANSWERS}`;
    return { broken: exposed > allowed || late > 0, verdict };
  }
}
