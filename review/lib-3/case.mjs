/**
 * Runs a case: starts the deployment, plays `play`, writes `record.txt` and ends all processes. Exits
 * with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import { clearTimeout, setTimeout } from 'node:timers';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { sendAttempt } from './client.mjs';
import { startDeployment, waitFor } from './deployment.mjs';
import { createReplicas } from './replicas.mjs';

const LIMIT_MS = 112_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * `play` gets the deployment, the replicas, `note` (adds a line to the record) and `hasTrouble`; it
 * returns `{ broken, verdict }`.
 */
export async function runCase(folder, options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const startedAt = Date.now();
  const lines = [];
  const note = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms ${text}`);
  let deployment;
  let replicas;
  let code = NOT_RUN;
  const limit = setTimeout(() => {
    note('the case took too long');
    writeRecord();
    deployment?.killAll();
    process.exit(NOT_RUN);
  }, LIMIT_MS);
  const giveUp = () => {
    deployment?.killAll();
    process.exit(NOT_RUN);
  };
  for (const name of ['SIGTERM', 'SIGINT']) process.once(name, giveUp);
  process.on('uncaughtException', (caught) => {
    process.stderr.write(`${caught.stack}\n`);
    giveUp();
  });
  try {
    note(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
    deployment = await startDeployment(options);
    replicas = createReplicas(deployment);
    const { broken, verdict } = await play({ deployment, replicas, note, hasTrouble });
    code = broken ? BROKEN : HELD;
    note(verdict);
    process.stdout.write(`${verdict}\n`);
  } catch (caught) {
    note(`the case could not run: ${caught.stack}`);
    process.stderr.write(`${caught.stack}\n`);
  } finally {
    noteReplicas();
    await replicas?.stop();
    if (process.env.KEEP_LOGS !== undefined) saveLogs();
    await deployment?.stop();
    writeRecord();
    clearTimeout(limit);
  }
  process.exit(code);

  function noteReplicas() {
    for (const { at, kind, ...fields } of replicas?.readRecords() ?? []) {
      const time = String(at - startedAt).padStart(6);
      if (kind !== 'beat') lines.push(`${time} ms replica: ${kind} ${JSON.stringify(fields)}`);
    }
  }

  function saveLogs() {
    for (const machine of [...(deployment?.gateways ?? []), ...(deployment?.keepers ?? [])]) {
      writeFileSync(join(process.env.KEEP_LOGS, `${machine.name}.log`), machine.output.join('\n'));
    }
  }

  function writeRecord() {
    const byTime = lines.toSorted(
      (left, right) => Number.parseInt(left, 10) - Number.parseInt(right, 10),
    );
    writeFileSync(join(folder, 'record.txt'), `${byTime.join('\n')}\n`);
  }
}

/** Waits until all gateways are ready and serve `path`. */
export async function waitServing(deployment, path, headers = {}) {
  await waitFor('all gateways to serve', async () => {
    const answers = await Promise.all(
      deployment.gateways.map((gateway, index) =>
        sendAttempt({
          address: deployment.getAddress(gateway),
          path,
          id: `ready-${index}-${Date.now()}`,
          headers,
          deadlineMs: 1_000,
        }),
      ),
    );
    return answers.every(({ status }) => status === 200);
  });
}
