/**
 * Runs one cell of the fault matrix: sends a few model and service calls, injects one fault at one
 * step of their lifecycle, and then checks the invariants against the records that the endpoints
 * keep of the requests they received.
 */

import { askModel, callService, isExpected, type CallerAnswer } from '../fixtures/caller.js';
import { delay, waitFor, type Deployment } from '../fixtures/deployment.js';
import { createExplanationBody } from '../fixtures/workloads.js';

/**
 * One-way delay between entries and the other processes; makes the steps far enough apart in time
 * to inject a fault at each of them.
 */
const LINK_DELAY_MS = 60;
const ANSWER_TOKENS = 120;
const MODEL_CALLS = 4;
const SERVICE_CALLS = 4;
/** Time within which every caller must have an answer. */
const ANSWER_TIMEOUT_MS = 30_000;
const RESEND_TIMEOUT_MS = 20_000;
const RECOVERY_TIMEOUT_MS = 30_000;

/** Steps of a request's lifecycle, each with the time in ms from the request to the fault. */
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

/** A fault that can be injected into a deployment and undone. */
export interface Fault {
  inject(deployment: Deployment): Promise<void>;
  undo(deployment: Deployment): Promise<void>;
  /** Time from injection to undoing. */
  durationMs: number;
  /** Indexes of the entries that the fault kills; their callers need not get an answer. */
  killedEntries?: readonly number[];
}

/** Result of a cell: the violated invariants, and how many of the answers had which outcome. */
export interface CellResult {
  violations: string[];
  answers: number;
  complete: number;
  notRun: number;
  unknown: number;
}

interface SentCall {
  kind: 'model' | 'service';
  entry: number;
  key: string;
  body: object;
  answer: CallerAnswer | undefined;
  resendAnswer: CallerAnswer | undefined;
}

let cellCount = 0;

/** Runs one cell on a deployment with all processes running. */
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
  await delay(fault.durationMs);
  await fault.undo(deployment);
  await answered;
  setDelays(deployment, 0);
  await restoreDeployment(deployment);
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

function createCalls(prefix: string): SentCall[] {
  const calls: SentCall[] = [];
  for (let index = 0; index < MODEL_CALLS + SERVICE_CALLS; index += 1) {
    const kind = index < MODEL_CALLS ? 'model' : 'service';
    const key = `${prefix}-${index}`;
    const body = kind === 'model' ? createExplanationBody(key, ANSWER_TOKENS) : { order: key };
    calls.push({ kind, entry: index % 2, key, body, answer: undefined, resendAnswer: undefined });
  }
  return calls;
}

async function send(deployment: Deployment, call: SentCall): Promise<void> {
  call.answer = await trySend(deployment, call, call.entry);
}

async function trySend(
  deployment: Deployment,
  call: SentCall,
  entry: number,
): Promise<CallerAnswer | undefined> {
  const url = deployment.entryUrl(entry);
  const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
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

/**
 * Sends a service call that was not answered with 201 again, with the same key and to the other
 * entry, until that is answered with 201 or an unknown outcome.
 */
async function resend(deployment: Deployment, call: SentCall): Promise<void> {
  if (call.kind === 'model' || call.answer?.status === 201) return;
  const deadline = performance.now() + RESEND_TIMEOUT_MS;
  while (performance.now() < deadline) {
    call.resendAnswer = await trySend(deployment, call, 1 - call.entry);
    if (call.resendAnswer?.status === 201 || call.resendAnswer?.outcome === 'unknown') return;
    await delay(100);
  }
}

/** Resumes or restarts all processes, and waits until both entries serve both kinds of calls. */
async function restoreDeployment(deployment: Deployment): Promise<void> {
  const { keeperIds, entryIds, agentIds } = deployment;
  const endpoints = agentIds.map((id) => `${id}/endpoint`);
  for (const id of [...keeperIds, ...entryIds, ...agentIds, ...endpoints]) {
    const child = deployment.getProcess(id);
    child.signal('SIGCONT');
    if (!child.isRunning) deployment.restart(id);
  }
  const hasRecovered = async () => {
    const { members, keepers } = await deployment.status();
    const holders = members.filter((member) => member.hasLease);
    const expected = entryIds.length + agentIds.length;
    return (
      holders.length === expected && members.length === expected && keepers.learners.length === 0
    );
  };
  await waitFor('all members to hold leases again', hasRecovered, RECOVERY_TIMEOUT_MS);
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
  const call: SentCall = { kind, entry, key, body, answer: undefined, resendAnswer: undefined };
  await waitFor(
    `${kind} calls to be served by entry ${entry}`,
    async () => {
      const answer = await trySend(deployment, call, entry);
      return answer?.status === 200 || answer?.status === 201;
    },
    RECOVERY_TIMEOUT_MS,
  );
}

function check(deployment: Deployment, fault: Fault, sent: readonly SentCall[]): CellResult {
  const violations: string[] = [];
  const records = deployment.agentIds.flatMap((id) => deployment.readRecords(id));
  const arrivals = new Map<string, number>();
  for (const { kind, id } of records) {
    const isDispatch = kind === 'arrived' || (kind === 'started' && !isModelId(records, id));
    if (isDispatch) arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
  }
  for (const [id, count] of arrivals) {
    if (count > 1) violations.push(`request ${id} reached endpoints ${count} times`);
  }
  for (const call of sent) checkCall(call, fault, arrivals, violations);
  checkRuns(records, sent, violations);
  const answers = sent.flatMap((call) => call.answer ?? []);
  return {
    violations,
    answers: answers.length,
    complete: answers.filter((answer) => answer.isComplete).length,
    notRun: answers.filter((answer) => answer.outcome === 'not_run').length,
    unknown: answers.filter((answer) => answer.outcome === 'unknown').length,
  };
}

function isModelId(records: readonly { kind: string; id: string }[], id: string): boolean {
  return records.some((record) => record.kind === 'arrived' && record.id === id);
}

function checkCall(
  call: SentCall,
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
    violations.push(`${key} was answered not_run, but ${answer.requestId} reached an endpoint`);
  }
  if (call.kind === 'model' && answer.status === 200 && answer.isComplete) {
    if (!isExpected(call.body, answer)) violations.push(`${key} got a wrong or truncated answer`);
  }
  if (call.kind === 'service') {
    for (const received of [answer, call.resendAnswer]) {
      const isOwn = received?.status !== 201 || received.text.includes(key);
      if (!isOwn) violations.push(`${key} got another call's answer`);
    }
  }
}

/**
 * Checks that each service call ran at most once, that each answered one ran exactly once, and that
 * each ended with an answer or an unknown outcome.
 */
function checkRuns(
  records: readonly { kind: string; detail?: string }[],
  sent: readonly SentCall[],
  violations: string[],
): void {
  for (const call of sent) {
    if (call.kind === 'model') continue;
    const text = JSON.stringify(call.body);
    const runs = records.filter(
      ({ kind, detail }) => kind === 'started' && detail?.endsWith(text),
    ).length;
    if (runs > 1) violations.push(`${call.key} ran ${runs} times`);
    const isAnswered = call.answer?.status === 201 || call.resendAnswer?.status === 201;
    if (isAnswered && runs !== 1) violations.push(`${call.key} was answered but ran ${runs} times`);
    const isResolved = isAnswered || call.resendAnswer?.outcome === 'unknown';
    if (!isResolved) violations.push(`${call.key} has no outcome: ${call.resendAnswer?.problem}`);
  }
}
