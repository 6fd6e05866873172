/**
 * One cell of the fault matrix: a few requests of each kind, one fault at one step, then the check
 * of what must always hold against what the endpoints themselves wrote down.
 */

import { askModel, callService, isExpected, type CallerAnswer } from '../fixtures/caller.js';
import { delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import { createExplanationBody } from '../fixtures/workloads.js';

/** One-way delay between entries and the other processes, which sets the steps apart. */
const LINK_DELAY_MS = 60;
const ANSWER_TOKENS = 120;
const MODEL_CALLS = 4;
const SERVICE_CALLS = 4;
/** Every caller has to be answered by then. */
const ANSWER_LIMIT_MS = 30_000;
const RESEND_LIMIT_MS = 20_000;
const RECOVERY_LIMIT_MS = 30_000;

/** Steps of a request's life, with the time after its start at which the fault comes. */
export const steps = {
  beforeReservation: 0,
  claimed: 1.2 * LINK_DELAY_MS,
  reserved: 1.6 * LINK_DELAY_MS,
  granted: 2.5 * LINK_DELAY_MS,
  dispatched: 3.2 * LINK_DELAY_MS,
  firstByte: 4.5 * LINK_DELAY_MS,
  midway: 9 * LINK_DELAY_MS,
  endMark: 14 * LINK_DELAY_MS,
} as const;

export type StepName = keyof typeof steps;

/** A fault: what it does, and what undoes it. */
export interface Fault {
  inject(deployment: Deployment): Promise<void>;
  undo(deployment: Deployment): Promise<void>;
  /** How long it lasts; milliseconds. */
  holdMs: number;
  /** Entries that the fault ends, whose callers get no answer. */
  killedEntries?: readonly number[];
}

/** What a cell showed. */
export interface CellResult {
  violations: string[];
  answers: number;
  complete: number;
  notRun: number;
  unknown: number;
}

interface Sent {
  kind: 'model' | 'service';
  entry: number;
  key: string;
  body: object;
  answer: CallerAnswer | undefined;
  resent: CallerAnswer | undefined;
}

let cellCount = 0;

/** Runs one cell on a deployment whose processes are all up. */
export async function runCell(
  deployment: Deployment,
  fault: Fault,
  step: StepName,
): Promise<CellResult> {
  cellCount += 1;
  setDelays(deployment, LINK_DELAY_MS);
  const sent = createCalls(`${process.pid}-${cellCount}`);
  const answered = Promise.all(sent.map((call) => send(deployment, call)));
  await delay(steps[step]);
  await fault.inject(deployment);
  await delay(fault.holdMs);
  await fault.undo(deployment);
  await answered;
  setDelays(deployment, 0);
  await recover(deployment);
  await Promise.all(sent.map((call) => resend(deployment, call)));
  return check(deployment, fault, sent);
}

function setDelays(deployment: Deployment, milliseconds: number): void {
  for (const entry of deployment.entryIds) {
    for (const target of [...deployment.agentIds, ...deployment.keeperIds]) {
      deployment.getProxy(entry, target).setDelay(milliseconds);
    }
  }
}

function createCalls(prefix: string): Sent[] {
  const calls: Sent[] = [];
  for (let index = 0; index < MODEL_CALLS + SERVICE_CALLS; index += 1) {
    const kind = index < MODEL_CALLS ? 'model' : 'service';
    const key = `${prefix}-${index}`;
    const body = kind === 'model' ? createExplanationBody(key, ANSWER_TOKENS) : { order: key };
    calls.push({ kind, entry: index % 2, key, body, answer: undefined, resent: undefined });
  }
  return calls;
}

async function send(deployment: Deployment, call: Sent): Promise<void> {
  call.answer = await trySend(deployment, call, call.entry);
}

async function trySend(
  deployment: Deployment,
  call: Sent,
  entry: number,
): Promise<CallerAnswer | undefined> {
  const url = deployment.entryUrl(entry);
  const signal = AbortSignal.timeout(ANSWER_LIMIT_MS);
  try {
    if (call.kind === 'model') return await askModel(url, call.body, { team: 'weighers', signal });
    const headers = { 'idempotency-key': call.key };
    const body = JSON.stringify(call.body);
    return await callService(url, 'POST', 'order-desk/orders', body, {
      team: 'shops',
      headers,
      signal,
    });
  } catch {
    return undefined;
  }
}

/** A caller of a service that got no answer sends the same call again, to the other entry. */
async function resend(deployment: Deployment, call: Sent): Promise<void> {
  if (call.kind === 'model' || call.answer?.status === 201) return;
  const deadline = performance.now() + RESEND_LIMIT_MS;
  while (performance.now() < deadline) {
    call.resent = await trySend(deployment, call, 1 - call.entry);
    if (call.resent?.status === 201 || call.resent?.outcome === 'unknown') return;
    await delay(100);
  }
}

/** Brings back whatever the fault ended. */
async function recover(deployment: Deployment): Promise<void> {
  const { keeperIds, entryIds, agentIds } = deployment;
  const endpoints = agentIds.map((id) => `${id}/endpoint`);
  for (const id of [...keeperIds, ...entryIds, ...agentIds, ...endpoints]) {
    const child = deployment.getProcess(id);
    child.signal('SIGCONT');
    if (!child.isRunning) deployment.restart(id);
  }
  const isSettled = async () => {
    const { members, keepers } = await deployment.status();
    const holders = members.filter((member) => member.hasLease);
    const expected = entryIds.length + agentIds.length;
    return (
      holders.length === expected && members.length === expected && keepers.learners.length === 0
    );
  };
  await waitFor('all members to hold leases again', isSettled, RECOVERY_LIMIT_MS);
  for (const entry of entryIds.keys()) {
    for (const kind of ['model', 'service'] as const) await waitServed(deployment, entry, kind);
  }
}

async function waitServed(
  deployment: Deployment,
  entry: number,
  kind: 'model' | 'service',
): Promise<void> {
  cellCount += 1;
  const key = `probe-${process.pid}-${cellCount}`;
  const body = kind === 'model' ? createExplanationBody(key, 2) : { order: key };
  const call: Sent = { kind, entry, key, body, answer: undefined, resent: undefined };
  await waitFor(
    `${kind} calls to be served by entry ${entry}`,
    async () => {
      const answer = await trySend(deployment, call, entry);
      return answer?.status === 200 || answer?.status === 201;
    },
    RECOVERY_LIMIT_MS,
  );
}

function check(deployment: Deployment, fault: Fault, sent: readonly Sent[]): CellResult {
  const violations: string[] = [];
  const records = deployment.agentIds.flatMap((id) => deployment.readRecords(id));
  const arrivals = new Map<string, number>();
  for (const { kind, id } of records) {
    const isDispatch = kind === 'arrived' || (kind === 'started' && !isModelId(records, id));
    if (isDispatch) arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
  }
  for (const [id, count] of arrivals) {
    if (count > 1) violations.push(`request ${id} was dispatched ${count} times`);
  }
  for (const call of sent) checkCall(call, fault, arrivals, violations);
  checkRuns(records, sent, violations);
  const answers = sent.flatMap((call) => call.answer ?? []);
  return {
    violations,
    answers: answers.length,
    complete: answers.filter((answer) => answer.isWhole).length,
    notRun: answers.filter((answer) => answer.outcome === 'not_run').length,
    unknown: answers.filter((answer) => answer.outcome === 'unknown').length,
  };
}

function isModelId(records: readonly { kind: string; id: string }[], id: string): boolean {
  return records.some((record) => record.kind === 'arrived' && record.id === id);
}

function checkCall(
  call: Sent,
  fault: Fault,
  arrivals: ReadonlyMap<string, number>,
  violations: string[],
): void {
  const { answer, key } = call;
  if (answer === undefined) {
    if (!fault.killedEntries?.includes(call.entry)) violations.push(`${key} got no answer`);
    return;
  }
  if (answer.outcome === 'not_run' && arrivals.has(answer.requestId)) {
    violations.push(`${key} was told not_run, but ${answer.requestId} ran`);
  }
  if (call.kind === 'model' && answer.status === 200 && answer.isWhole) {
    if (!isExpected(call.body, answer)) violations.push(`${key} got a wrong or short answer`);
  }
  if (call.kind === 'service') {
    for (const given of [answer, call.resent]) {
      const isOwn = given?.status !== 201 || given.text.includes(key);
      if (!isOwn) violations.push(`${key} got another call's answer`);
    }
  }
}

/** A call under a key runs at most once; one that was answered ran. */
function checkRuns(
  records: readonly { kind: string; detail?: string }[],
  sent: readonly Sent[],
  violations: string[],
): void {
  for (const call of sent) {
    if (call.kind === 'model') continue;
    const text = JSON.stringify(call.body);
    const runs = records.filter(
      ({ kind, detail }) => kind === 'started' && detail?.endsWith(text),
    ).length;
    if (runs > 1) violations.push(`${call.key} ran ${runs} times`);
    const isAnswered = call.answer?.status === 201 || call.resent?.status === 201;
    if (isAnswered && runs !== 1) violations.push(`${call.key} was answered but ran ${runs} times`);
    const isSettled = isAnswered || call.resent?.outcome === 'unknown';
    if (!isSettled) violations.push(`${call.key} was never settled: ${call.resent?.problem}`);
  }
}
