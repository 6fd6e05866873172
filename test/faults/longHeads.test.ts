/** Heads of many short lines, which stay within the limit on their bytes, to real processes. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, connect, type AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import {
  createGatewayDeployment,
  createTableBody,
  type GatewayDeployment,
} from '../fixtures/gatewayDeployment.js';

const BODY = 'hello';
/** Twice as many lines as the HTTP server of Node.js keeps by default. */
const LINE_COUNT = 1_900;
/** Response of the endpoint, complete once the request has arrived as a whole. */
const ANSWER = 'answer';

function createShortLines(): string[] {
  return Array.from({ length: LINE_COUNT }, () => 'a:b');
}

function createHead(method: string, path: string, lines: readonly string[]): string {
  return [`${method} ${path} HTTP/1.1`, 'Host: a.example', ...lines, '\r\n'].join('\r\n');
}

/** Sends `bytes` on a connection of its own and returns all that arrives until it is closed. */
async function exchange(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  socket.write(bytes);
  await once(socket, 'close');
  return received;
}

/** Starts an endpoint that keeps each request that it gets and closes after its response. */
async function startRecordingEndpoint() {
  const requests: string[] = [];
  const server = createServer((socket) => {
    let received = '';
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      // A body follows its head at once, if there is one.
      setTimeout(() => respond(), 100);
    });

    function respond(): void {
      if (received === '') return;
      const callId = /turmericrack-attempt-id: (\S+)/i.exec(received)?.[1] ?? '';
      requests.push(received);
      received = '';
      const lines = [
        ...createShortLines(),
        `Turmericrack-Attempt-Id: ${callId}`,
        'Turmericrack-Response-Signature: 3e1b.07.5a2',
        `Content-Length: ${ANSWER.length}`,
        'Connection: close',
      ];
      socket.end(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n${ANSWER}`);
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { requests, address: `127.0.0.1:${port}`, close: () => server.close() };
}

describe('a head of many short lines', () => {
  let deployment: GatewayDeployment;
  let endpoint: Awaited<ReturnType<typeof startRecordingEndpoint>>;

  before(async () => {
    deployment = await createGatewayDeployment([]);
    endpoint = await startRecordingEndpoint();
    assert.equal(await deployment.declare(createTableBody(1)), 200);
    const announcement = {
      service: 'desk',
      address: endpoint.address,
      zone: 'local',
      version: 'v1',
      capacity: 8,
      state: 'ready',
      warmupLeftMs: 0,
      seq: 1,
      born: Date.now(),
    };
    await deployment.postHeartbeat(0, 'desk-a', JSON.stringify(announcement));
    await deployment.waitReady();
  });

  after(async () => {
    endpoint.close();
    await deployment.stop();
  });

  // The endpoint ran the request without its body: what framed it stood behind the lines kept.
  it('reaches the endpoint whole, with a body framed by a length at its end', () =>
    checkBody('long-length', `Content-Length: ${BODY.length}`, BODY));

  it('reaches the endpoint whole, with a body framed by chunks at its end', () =>
    checkBody('long-chunks', 'Transfer-Encoding: chunked', `5\r\n${BODY}\r\n0\r\n\r\n`));

  // A configuration is read by its framing, wherever in the head that stands.
  it('declares a table whose length stands at its end', async () => {
    const body = JSON.stringify(createTableBody(2));
    const lines = ['Connection: close', ...createShortLines(), `Content-Length: ${body.length}`];
    const head = createHead('POST', '/turmericrack/config/replace', lines);
    const response = await exchange(deployment.getControlAddress(0), `${head}${body}`);
    assert.match(response, /^HTTP\/1\.1 200 /);
  });

  async function checkBody(id: string, framing: string, body: string): Promise<void> {
    const lines = [
      `Turmericrack-Attempt-Id: ${id}`,
      'Connection: close',
      ...createShortLines(),
      framing,
    ];
    const address = deployment.getGatewayAddress(0);
    const response = await exchange(address, `${createHead('POST', '/work/1', lines)}${body}`);
    assert.match(response, /^HTTP\/1\.1 200 /);
    assert.ok(response.endsWith(ANSWER));
    const request = endpoint.requests.find((text) => text.includes(id)) ?? '';
    assert.ok(request.endsWith(BODY), 'the body has arrived');
    assert.equal(request.split('a: b\r\n').length - 1, LINE_COUNT);
    assert.equal(response.split('a: b\r\n').length - 1, LINE_COUNT);
  }
});
