/**
 * A replica that writes its answers byte by byte as a faulty one may: now and then, bytes that are no
 * response arrive late, where the next response on the connection is expected.
 */

import { createServer } from 'node:net';
import { getFreePort, delay, HEARTBEAT_MS } from './deployment.mjs';
import { sendHeartbeat } from './replica.mjs';

/** Less than the length of a signature. */
const MAX_VALUE_BYTES = 20;

/**
 * Starts a replica. `plan` holds `id`, `service`, `capacity` and `workMs`; `chooseStatus` returns
 * the status of the next answer, and `isFaulty` whether bytes of
 * a second answer to the request before it precede it.
 */
export async function startFaultyReplica(
  record,
  controlAddresses,
  plan,
  { chooseStatus, isFaulty },
) {
  /** The answers of the replica by attempt id. */
  const answers = new Map();
  const bornAt = Date.now();
  const port = await getFreePort();
  let sequence = 0;
  let faultCount = 0;
  let isClosed = false;
  const sockets = new Set();
  const server = createServer(handleConnection);
  await new Promise((done) => {
    server.listen(port, '127.0.0.1', done);
  });
  void announceRegularly();

  return {
    id: plan.id,
    answers,
    get faultCount() {
      return faultCount;
    },
    async close() {
      isClosed = true;
      for (const socket of sockets) socket.destroy();
      await new Promise((done) => {
        server.close(done);
      });
    },
  };

  function handleConnection(socket) {
    let received = '';
    /** The previous answer on this connection. */
    let previous = '';
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (data) => {
      received += data.toString('latin1');
      void serveNext();
    });

    async function serveNext() {
      const request = takeRequest();
      if (request === undefined) return;
      const { attempt, expected } = request;
      await delay(plan.workMs);
      if (socket.destroyed) return;
      const answer = createAnswer(attempt, expected);
      const isPreceded = previous !== '' && isFaulty();
      if (isPreceded) {
        faultCount += 1;
        // The second answer to the request before breaks off within the value of a header.
        const valueAt = previous.indexOf(': ', previous.indexOf('Signature')) + 2;
        const cut = valueAt + 1 + Math.floor(Math.random() * MAX_VALUE_BYTES);
        record.add('bytes that are no response', {
          replica: plan.id,
          before: attempt,
          length: cut,
        });
        socket.write(previous.slice(0, cut));
      }
      socket.write(answer);
      previous = answer;
    }

    function takeRequest() {
      const headEnd = received.indexOf('\r\n\r\n');
      if (headEnd < 0) return undefined;
      const head = received.slice(0, headEnd);
      const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
      const end = headEnd + 4 + length;
      if (received.length < end) return undefined;
      received = received.slice(end);
      return {
        attempt: /^turmericrack-attempt-id: (.*)$/im.exec(head)?.[1].trim(),
        expected: /^turmericrack-expect-replica: (.*)$/im.exec(head)?.[1].trim(),
      };
    }
  }

  function createAnswer(attempt, expected) {
    if (expected !== undefined && expected !== plan.id) {
      return `HTTP/1.1 421 Misdirected Request\r\nTurmericrack-Attempt-Id: ${attempt}\r\nContent-Length: 0\r\n\r\n`;
    }
    const status = chooseStatus();
    const signature = `3e1b.07.5a2.600.0.${attempt}.${plan.id}`;
    const body = status === 200 ? `ticket for ${attempt}` : `no ticket for ${attempt}`;
    answers.set(attempt, { status, signature, body });
    record.add('run ends', { replica: plan.id, attempt, status });
    return [
      `HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Internal Server Error'}`,
      `Turmericrack-Attempt-Id: ${attempt}`,
      `Turmericrack-Response-Signature: ${signature}`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n');
  }

  async function announceRegularly() {
    for (let next = 0; !isClosed; next += 1) {
      sequence += 1;
      const body = JSON.stringify({
        service: plan.service,
        address: `127.0.0.1:${port}`,
        zone: 'zone-1',
        version: 'v1',
        capacity: plan.capacity,
        state: 'ready',
        warmupLeftMs: 0,
        seq: sequence,
        born: bornAt,
      });
      const address = controlAddresses[next % controlAddresses.length];
      const { status } = await sendHeartbeat(address, plan.id, body);
      if (status === 200) await delay(HEARTBEAT_MS);
    }
  }
}
