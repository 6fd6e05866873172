/** What the adapter reads from the headers of requests and responses. */

import assert from 'node:assert/strict';
import { validateHeaderValue, type IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';
import { platformDialect } from '../../../platform/dialect.js';

function parse(headers: Record<string, string>) {
  const request = {
    method: 'POST',
    url: '/a/1',
    headers: { host: 'a.example', 'turmericrack-attempt-id': 'call-1', ...headers },
    rawHeaders: Object.entries(headers).flat(),
  } as unknown as IncomingMessage;
  return platformDialect.tryParseRequest(request);
}

describe('the dialect', () => {
  it('names the parts of a prompt that other requests may have in common, in order', () => {
    const head = parse({ 'turmericrack-prefix-hash': '5c1e07a2:800, 91bd3f06:410,e4402b7d:250' });
    assert.deepEqual(head?.sharedParts, ['5c1e07a2', '91bd3f06']);
  });

  it('reads how many requests a second an endpoint takes, and ignores what is no number', () => {
    const read = (value: string) => {
      const rawHeaders = ['Server-Limit', value].map((text) => Buffer.from(text));
      return platformDialect.parseResponse(200, rawHeaders).maxRequestRate;
    };
    assert.deepEqual(['9.3', '0', '', 'many', '-1'].map(read), [
      9.3,
      0,
      undefined,
      undefined,
      undefined,
    ]);
  });

  function parseResponse(status: number, ...headers: string[]) {
    return platformDialect.parseResponse(
      status,
      headers.map((text) => Buffer.from(text)),
    );
  }

  it('reads that an endpoint leaves, but not from a response that another endpoint gave', () => {
    assert.ok(parseResponse(200, 'Server-Leaving', '1').isLeaving);
    assert.ok(!parseResponse(200, 'Server-Leaving', '0').isLeaving);
    assert.ok(!parseResponse(421, 'Server-Leaving', '1').isLeaving);
  });

  it('reads for how long an endpoint wants no requests, from refusals only', () => {
    assert.equal(parseResponse(503, 'Retry-After', '1.5').unwantedForMs, 1_500);
    assert.equal(parseResponse(503, 'Retry-After', 'soon').unwantedForMs, undefined);
    assert.equal(parseResponse(200, 'Retry-After', '1').unwantedForMs, undefined);
  });

  it('reads which stream a request takes up, and forwards the name', () => {
    const head = parse({ resumes: 'call-0', 'last-event-id': '12' });
    assert.equal(head?.resumedCallId, 'call-0');
    assert.equal(head?.resumeAfter, '12');
    assert.deepEqual(head?.headers, ['resumes', 'call-0']);
  });

  // Such counts cannot be reported to the keepers, or would add to a team's quota.
  it('ignores token counts that are no whole numbers of a possible size', () => {
    const read = (value: string) => parse({ 'turmericrack-token-usage': value })?.tokens;
    assert.deepEqual(read('1460,80'), { prompt: 1_460, output: 80 });
    assert.deepEqual(read('0, 80'), { prompt: 0, output: 80 });
    for (const value of ['1e12,80', '-5,80', '1460,-80', '1.5,80', '1e999,1', '5', 'x,y', '']) {
      assert.equal(read(value), undefined, value);
    }
  });

  // No request of such a team could be sent, and each ejected the endpoints that it was tried at.
  it('names the team to the endpoint in UTF-8, whatever letters the name has', () => {
    const head = parse({});
    assert.ok(head);
    for (const team of ['hule930', 'Zürich', 'Плевен', '東京 🚆']) {
      const attempt = { endpointId: 'a', team, remainingMs: 1, resumeAfter: undefined };
      const headers = platformDialect.toEndpointHeaders(head, attempt);
      const value = headers[headers.indexOf('turmericrack-tenant') + 1] ?? '';
      validateHeaderValue('turmericrack-tenant', value);
      assert.equal(Buffer.from(value, 'latin1').toString('utf8'), team);
    }
  });

  it('names no shared parts of a prompt that is all its own, or of a request without one', () => {
    assert.deepEqual(parse({ 'turmericrack-prefix-hash': 'e4402b7d:250' })?.sharedParts, []);
    assert.deepEqual(parse({})?.sharedParts, []);
  });
});
