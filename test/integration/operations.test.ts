/** The command-line tool with a running deployment, and the check of settings files. */

import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { stringify } from 'smol-toml';
import type { StatusDescription, TicketDescription } from '../../src/cli/types.js';
import { createDeployment, waitFor, type Deployment } from '../fixtures/deployment.js';
import { startProcess } from '../fixtures/processes.js';
import { createBaseTicketToml, createEnginePlan } from '../fixtures/workloads.js';

describe('the command-line tool', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({
      keepers: 3,
      entries: 1,
      endpoints: [createEnginePlan('engine-a'), createEnginePlan('engine-b')],
    });
    await deployment.waitReady();
  });

  after(() => deployment.stop());

  function writeTicket(toml: string): string {
    const path = join(deployment.folder, 'ticket.toml');
    writeFileSync(path, toml);
    return path;
  }

  it('checks, diffs, applies and lists tickets', async () => {
    const path = writeTicket(createBaseTicketToml(4));
    const checked = await deployment.cli('ticket', 'check', path);
    assert.equal(checked.code, 0, checked.output);
    const difference = await deployment.cli('ticket', 'diff', path);
    assert.match(difference.output, /^\+ tier\/now /m);
    const applied = await deployment.cli('ticket', 'apply', '--wait', '--json', path);
    const description = JSON.parse(applied.output) as TicketDescription;
    assert.ok(description.inForce && description.number === 4);
    const repeated = await deployment.cli('ticket', 'apply', path);
    assert.match(repeated.output, /had been accepted before/);
    const shown = await deployment.cli('ticket', 'show', '4', '--json');
    assert.equal((JSON.parse(shown.output) as TicketDescription).digest, description.digest);
    const history = await deployment.cli('ticket', 'history');
    assert.match(history.output, /^4 .*in force/m);
  });

  it('refuses stale and conflicting tickets with exit code 4', async () => {
    const stale = writeTicket(stringify({ number: 3, tier: [{ name: 'now', rank: 0 }] }));
    const staleResult = await deployment.cli('ticket', 'apply', stale);
    assert.equal(staleResult.code, 4);
    assert.match(staleResult.output, /tier\/now was changed by ticket 4/);
    const conflict = writeTicket(stringify({ number: 4, tier: [{ name: 'x', rank: 8 }] }));
    assert.equal((await deployment.cli('ticket', 'apply', conflict)).code, 4);
  });

  it('shows status and endpoints, drains an endpoint and writes a snapshot', async () => {
    const status = await deployment.cli('status', '--json');
    const parsed = JSON.parse(status.output) as StatusDescription;
    assert.equal(parsed.keepers.voters.length, 3);
    assert.match((await deployment.cli('status')).output, /ticket 4 in force/);
    assert.match((await deployment.cli('endpoints')).output, /engine-a +kernel-lm +engine/);
    assert.equal((await deployment.cli('drain', 'engine-a')).code, 0);
    await waitFor('the agent to start draining', () =>
      deployment.getProcess('engine-a').output.some((line) => line.includes('"code":4003')),
    );
    assert.match((await deployment.cli('endpoints')).output, /engine-a .*draining/);
    assert.equal((await deployment.cli('undrain', 'engine-a')).code, 0);
    assert.equal((await deployment.cli('drain', 'nobody')).code, 5);
    assert.match((await deployment.cli('snapshot')).output, /snapshot up to entry \d+/);
  });

  it('refuses incorrect usage with exit code 2', async () => {
    assert.equal((await deployment.cli('frobnicate')).code, 2);
    assert.equal((await deployment.cli('ticket', 'apply')).code, 2);
    assert.equal((await deployment.cli('ticket', 'apply', '/no/such/file')).code, 2);
    assert.equal((await deployment.cli('--colour')).code, 2);
    assert.match((await deployment.cli('--help')).output, /ticket apply FILE/);
  });
});

describe('settings', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await createDeployment({ keepers: 1, entries: 0, endpoints: [] });
  });

  after(() => deployment.stop());

  async function checkSettings(toml: string): Promise<{ code: number | null; output: string }> {
    const path = join(deployment.folder, 'settings.toml');
    writeFileSync(path, toml);
    const child = startProcess('check', 'dist/turmericrackd.mjs', ['--check', '--config', path]);
    const code = await child.exited;
    await waitFor('the output', () => child.output.length > 0);
    return { code, output: child.output.join('\n') };
  }

  const commonSettings = [
    'role = "entry"',
    'id = "entry-1"',
    'deployment = "d"',
    'failureDomain = "a"',
    'keepers = ["127.0.0.1:7401"]',
  ].join('\n');

  it('are checked, and errors are reported with line and key', async () => {
    const good = await checkSettings(`${commonSettings}\n[entry]\nlisten = "127.0.0.1:80"\n`);
    assert.deepEqual([good.code, /ok/.test(good.output)], [0, true]);
    const unknown = await checkSettings(
      `${commonSettings}\n[entry]\nlisten = "127.0.0.1:80"\nspeed = 3\n`,
    );
    assert.equal(unknown.code, 2);
    assert.match(unknown.output, /:8: entry\.speed: unknown key/);
    const missing = await checkSettings(commonSettings);
    assert.match(missing.output, /entry: missing table/);
    const wrong = await checkSettings(`${commonSettings}\n[entry]\nlisten = "nowhere"\n`);
    assert.match(wrong.output, /:7: entry\.listen: must match pattern/);
  });
});
