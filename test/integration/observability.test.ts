/** Spans of each hop in one trace, metrics, and log lines with event codes. */

import assert from 'node:assert/strict';
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { after, before, describe, it } from 'node:test';
import { events } from '../../src/generated/events.js';
import { askModel } from '../fixtures/caller.js';
import { createDeployment, waitFor, type Deployment } from '../fixtures/deployment.js';
import { createTraceReceiver, type TraceReceiver } from '../fixtures/traceReceiver.js';
import { createBaseTicketToml, createEnginePlan, createLabelBody } from '../fixtures/workloads.js';

describe('telemetry', () => {
  const metrics: string[] = [];
  let receiver: TraceReceiver;
  let statsd: Socket;
  let deployment: Deployment;

  before(async () => {
    receiver = await createTraceReceiver();
    statsd = createSocket('udp4');
    statsd.on('message', (message) => metrics.push(message.toString('utf8')));
    statsd.bind(0, '127.0.0.1');
    await once(statsd, 'listening');
    deployment = await createDeployment({
      keepers: 1,
      entries: 1,
      endpoints: [createEnginePlan('engine-a')],
      settings: {
        tracing: { otlp: receiver.url },
        metrics: { statsd: `127.0.0.1:${statsd.address().port}` },
      },
    });
    await deployment.waitReady();
    await deployment.applyTicket(createBaseTicketToml());
  });

  after(async () => {
    await deployment.stop();
    receiver.close();
    statsd.close();
  });

  it("has a span for each hop in the caller's trace", async () => {
    const traceId = '4bf92f3577b34da6a3ce929d0e0e4736';
    const callerSpan = '00f067aa0ba902b7';
    const headers = { traceparent: `00-${traceId}-${callerSpan}-01` };
    const answer = await askModel(deployment.entryUrl(), createLabelBody('x'), {
      team: 'sorters',
      headers,
    });
    assert.equal(answer.status, 200);
    const callSpans = await waitFor('the spans', () => {
      const found = receiver.spans.filter((span) => span.traceId === traceId);
      return found.length >= 2 ? found : undefined;
    });
    const entry = callSpans.find(({ name }) => name.startsWith('entry '));
    const agent = callSpans.find(({ name }) => name.startsWith('agent '));
    assert.equal(entry?.parentSpanId, callerSpan);
    assert.equal(agent?.parentSpanId, entry?.spanId);
    const arrived = deployment.readRecords('engine-a').find(({ kind }) => kind === 'arrived');
    assert.equal(arrived?.detail, `00-${traceId}-${agent?.spanId}-01`);
    const times = agent?.events?.map(({ name }) => name);
    assert.deepEqual(times, ['granted', 'dispatched', 'first byte']);
  });

  it('has metrics by tier and outcome', async () => {
    await waitFor('the metrics', () => {
      const text = metrics.join('\n');
      return text.includes('turmericrack.entry.goodput:1|c') && text.includes('tier:now');
    });
  });

  it('has log lines whose codes and names match the event catalogue', () => {
    const codes = new Map(Object.entries(events).map(([name, { code }]) => [code, name]));
    for (const id of [...deployment.keeperIds, ...deployment.entryIds, ...deployment.agentIds]) {
      for (const line of deployment.getProcess(id).output) {
        const { code, event } = JSON.parse(line) as { code: number; event: string };
        assert.equal(codes.get(code as never), event, line);
      }
    }
  });
});
