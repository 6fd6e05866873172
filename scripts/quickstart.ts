/**
 * Starts a deployment on the loopback interface, sends model requests and service calls, and prints
 * the result of each.
 */

import { formatTable } from '../src/cli/table.js';
import { askModel, callService, isExpected, type CallerAnswer } from '../test/fixtures/caller.js';
import { createDeployment, type Deployment } from '../test/fixtures/deployment.js';
import {
  createBaseTicketToml,
  createDraftBody,
  createEnginePlan,
  createExplanationBody,
  createLabelBody,
  createServicePlan,
} from '../test/fixtures/workloads.js';

interface Sample {
  team: string;
  tier: string;
  kind: string;
  answer: CallerAnswer;
  isCorrect: boolean;
}

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function sendModelRequests(deployment: Deployment): Promise<Sample[]> {
  const kinds: { team: string; tier: string; kind: string; body: (index: number) => object }[] = [
    { team: 'sorters', tier: 'now', kind: 'grade label', body: (i) => createLabelBody(`lot ${i}`) },
    {
      team: 'weighers',
      tier: 'soon',
      kind: 'streamed explanation',
      body: (i) => createExplanationBody(`T-${i}`),
    },
    {
      team: 'drafts',
      tier: 'later',
      kind: 'restock draft',
      body: (i) => createDraftBody(`catalogue ${i % 2}`, `shop ${i}`),
    },
  ];
  const samples: Promise<Sample>[] = [];
  for (const { team, tier, kind, body: createBody } of kinds) {
    for (let index = 0; index < 6; index += 1) {
      const body = createBody(index);
      const url = deployment.entryUrl(index % deployment.entryIds.length);
      const sample = askModel(url, body, { team }).then((answer) => {
        const isCorrect = answer.status === 200 && isExpected(body, answer);
        return { team, tier, kind, answer, isCorrect };
      });
      samples.push(sample);
    }
  }
  return Promise.all(samples);
}

async function sendServiceCalls(deployment: Deployment): Promise<Sample[]> {
  const samples: Sample[] = [];
  for (let index = 0; index < 3; index += 1) {
    const url = deployment.entryUrl(index % deployment.entryIds.length);
    const headers = { 'idempotency-key': `order-${index}`, 'content-type': 'application/json' };
    const body = JSON.stringify({ item: 'bridge', pieces: index + 1 });
    const options = { team: 'shops', headers };
    const firstAnswer = await callService(url, 'POST', 'order-desk/orders', body, options);
    samples.push(createServiceSample('order placement', firstAnswer, 201));
    const repeatedAnswer = await callService(url, 'POST', 'order-desk/orders', body, options);
    const repeatedSample = createServiceSample('repeated order', repeatedAnswer, 201);
    const isCorrect =
      repeatedSample.isCorrect &&
      repeatedAnswer.isReplay &&
      repeatedAnswer.text === firstAnswer.text;
    samples.push({ ...repeatedSample, isCorrect });
    const stockAnswer = await callService(
      url,
      'GET',
      'order-desk/stock/bridge',
      undefined,
      options,
    );
    samples.push(createServiceSample('stock look-up', stockAnswer, 200));
  }
  return samples;
}

function createServiceSample(kind: string, answer: CallerAnswer, status: number): Sample {
  return { team: 'shops', tier: 'now', kind, answer, isCorrect: answer.status === status };
}

function formatSamples(samples: readonly Sample[]): string {
  const rows = samples.map(({ tier, team, kind, answer, isCorrect }) => [
    tier,
    team,
    kind,
    answer.endpoint || (answer.isReplay ? '(replayed)' : '-'),
    String(answer.status),
    `${Math.round(answer.firstTokenMs)} ms`,
    `${Math.round(answer.totalMs)} ms`,
    isCorrect ? 'ok' : `WRONG ${answer.problem ?? ''}`,
  ]);
  const heading = ['TIER', 'TEAM', 'KIND', 'ENDPOINT', 'STATUS', 'FIRST', 'TOTAL', 'RESULT'];
  return formatTable(heading, rows);
}

async function main(): Promise<number> {
  writeLine('starting keepers, entries, agents and fake endpoints');
  const deployment = await createDeployment({
    keepers: 3,
    entries: 2,
    endpoints: [
      createEnginePlan('kernel-a'),
      createEnginePlan('kernel-b', 'kernel-lm', { decodeRate: 100, slots: 2 }),
      createEnginePlan('assistant-a', 'assistant-fleet'),
      createEnginePlan('assistant-b', 'assistant-fleet', { prefillRate: 4_000 }),
      createServicePlan('desk-a', 'order-desk'),
      createServicePlan('tickets-a', 'ticket-app'),
    ],
  });
  try {
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
    writeLine('ticket 1 is in force');
    const samples = [
      ...(await sendModelRequests(deployment)),
      ...(await sendServiceCalls(deployment)),
    ];
    writeLine(formatSamples(samples));
    const processes = deployment.countProcesses();
    await deployment.stop();
    const incorrectSamples = samples.filter((sample) => !sample.isCorrect);
    const uncleanProcessIds = [
      ...deployment.keeperIds,
      ...deployment.entryIds,
      ...deployment.agentIds,
    ].filter((id) => deployment.getProcess(id).exitCode !== 0);
    if (incorrectSamples.length > 0 || uncleanProcessIds.length > 0) {
      const failure = {
        kind: 'quickstartFailed',
        badAnswers: incorrectSamples.length,
        uncleanExits: uncleanProcessIds,
      };
      process.stderr.write(`${JSON.stringify(failure)}\n`);
      return 1;
    }
    const endpoints = new Set(
      samples.map(({ answer }) => answer.endpoint).filter((id) => id !== ''),
    );
    writeLine(
      `quickstart ok: ${samples.length} answers, ${endpoints.size} endpoints, ${processes} processes`,
    );
    return 0;
  } finally {
    await deployment.stop();
  }
}

process.exitCode = await main();
