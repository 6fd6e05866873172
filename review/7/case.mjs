/**
 * A replica crashes, starts again under its id in a newer software version and announces itself
 * late. Streams that it begins meanwhile break off when it crashes again, and their clients take
 * them up.
 */
import { runCase } from '../lib-3/case.mjs';
import { parseEvents, sendAttempt } from '../lib-3/client.mjs';
import { delay } from '../lib-3/deployment.mjs';
import { createConfiguration, declare } from '../lib-3/operator.mjs';

const STREAMS = 30;
const OPENING_INTERVAL_MS = 35;
const EVENTS = 80;
const EVENT_MS = 100;
const DEADLINE_MS = 14_000;
/** "the replica is back after some seconds" */
const DOWN_MS = 2_000;
/** "A heartbeat may arrive seconds late." */
const LATE_HEARTBEAT_MS = 1_500;
/** From the restart to the second crash. */
const SECOND_CRASH_MS = 4_000;
/** Time without an event after which a client abandons a stream: four times the objective. */
const MAX_GAP_MS = 2_432;
/** Streams with events of two versions that the rule allows. */
const MAX_JOINED = 2;

const route = {
  name: 'explain',
  pathPrefix: '/explain/',
  kind: 'streaming',
  service: 'bin-assistant-models',
  resumable: true,
  attempts: 2,
  sloMs: 608,
  timeoutMs: 15_000,
};
const service = {
  name: 'bin-assistant-models',
  backend: { capacity: 40, kvCapacity: 444_000, models: [{ name: 'm' }] },
};
const replica = {
  service: 'bin-assistant-models',
  version: 'v1',
  slots: 40,
  workMs: 20,
  events: EVENTS,
  eventMs: EVENT_MS,
};

await runCase('review/7', {}, async ({ deployment, replicas, note, hasTrouble }) => {
  const [first] = await Promise.all(['i-1', 'i-2'].map((id) => replicas.start({ ...replica, id })));
  await declare(deployment.controlAddresses, createConfiguration(1, [route], [service]));
  await waitReady();
  if (hasTrouble) await restartFirst();
  const streams = await openStreams();
  if (hasTrouble) {
    await delay(SECOND_CRASH_MS - STREAMS * OPENING_INTERVAL_MS);
    note('i-1 crashes again');
    await replicas.kill('i-1');
  }
  await Promise.all(streams.map(follow));
  const joined = streams.filter(({ versions }) => versions.size > 1).length;
  const takenUp = streams.filter(({ tries }) => tries > 1).length;
  const verdict = `${joined} of ${STREAMS} streams hold events of two software versions, ${takenUp} were taken up`;
  return { broken: joined > MAX_JOINED, verdict };

  /** Ends without an answer of a replica, so that none of them is busy when it crashes. */
  async function waitReady() {
    for (const gateway of deployment.gateways) {
      for (let status = 0; status !== 404; await delay(100)) {
        ({ status } = await sendAttempt({
          address: deployment.getAddress(gateway),
          path: '/none/',
          id: `ready-${gateway.name}-${Date.now()}`,
        }));
      }
    }
    await delay(1_500);
  }

  async function restartFirst() {
    note('i-1 crashes');
    await replicas.kill('i-1');
    await delay(DOWN_MS);
    await replicas.start({ ...first.plan, version: 'v2', firstBeatAfterMs: LATE_HEARTBEAT_MS });
    note('i-1 is back as v2');
  }

  async function openStreams() {
    const opened = [];
    for (let number = 0; number < STREAMS; number += 1) {
      const stream = { number, events: [], versions: new Set(), tries: 0 };
      stream.attempt = open(stream, number % deployment.gateways.length);
      opened.push(stream);
      await delay(OPENING_INTERVAL_MS);
    }
    return opened;
  }

  /** Sends one attempt; the client abandons it after a long gap. */
  async function open(stream, gateway) {
    stream.tries += 1;
    const last = stream.events.at(-1)?.id;
    const id = `s${stream.number}-${stream.tries}`;
    const headers = { 'Turmericrack-Token-Usage': '600,300' };
    if (last !== undefined) {
      headers.Resumes = stream.firstId;
      headers['Last-Event-Id'] = String(last);
    }
    const answer = await sendAttempt({
      address: deployment.getAddress(deployment.gateways[gateway]),
      path: `/explain/${stream.number}`,
      id,
      headers,
      deadlineMs: DEADLINE_MS,
      maxGapMs: MAX_GAP_MS,
    });
    const events = answer.status === 200 ? parseEvents(answer.text) : [];
    if (events.length > 0) stream.firstId ??= id;
    stream.events.push(...events);
    for (const { data } of events) stream.versions.add(data.split(' ')[0]);
    const whence = [...new Set(events.map(({ data }) => data))].join(', ');
    note(
      `${id}: ${answer.status}, ${events.length} events of ${whence} after ${last ?? 0}, ${answer.error}`,
    );
  }

  /** Takes a stream up that broke off, once, at another gateway. */
  async function follow(stream) {
    await stream.attempt;
    const last = stream.events.at(-1)?.id ?? 0;
    if (last === 0 || last === EVENTS) return;
    await open(stream, (stream.number + 1) % deployment.gateways.length);
  }
});
