/** Settings that the users' platform renders from the template of the adapter. */

import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { readSettings, type ProcessSettings } from '../../../src/common/settings.js';
import { startProcess } from '../../fixtures/processes.js';
import { bounds, renderTemplate } from '../../fixtures/settingsTemplate.js';

const ip = '127.0.3.25';
const common = {
  nodeName: 'edge-plovdiv-a-1',
  ip,
  zone: 'plovdiv-a',
  region: 'bg-south',
  portRange: [7_600, 7_615],
  seeds: [`${ip}:8229`, '127.0.3.26:8229', '127.0.3.27:8229'],
  bootstrap: true,
  faultTolerance: { machines: 1, zones: 0, regions: 0 },
  bounds,
};
const gateway = {
  ...common,
  role: 'gateway',
  listen: { http: `${ip}:8221`, readiness: `${ip}:8224` },
  dataDir: null,
};
const keeper = { ...common, role: 'keeper', listen: { admin: `${ip}:8229` }, dataDir: '/data' };

function renderFile<T>(fields: object, use: (path: string) => T): T {
  const folder = mkdtempSync(join(tmpdir(), 'turmericrack-'));
  const path = join(folder, 'settings.yaml');
  const template = readFileSync('platform/settings.toml', 'utf8');
  writeFileSync(path, renderTemplate(template, { ...fields }));
  const used = use(path);
  if (used instanceof Promise) void used.finally(() => rmSync(folder, { recursive: true }));
  else rmSync(folder, { recursive: true });
  return used;
}

function read(fields: object): ProcessSettings {
  return renderFile(fields, readSettings);
}

describe('the settings on the platform', () => {
  it('have the bounds in milliseconds, whole or fractional', () => {
    assert.equal(read(gateway).gateway?.drainLimitMs, 8_000);
    const fractional = { ...bounds, graceS: 8.5, retryWindowS: 2.5, retryBurst: 7.5 };
    const settings = read({ ...gateway, bounds: fractional }).gateway;
    assert.equal(settings?.drainLimitMs, 8_500);
    assert.equal(settings?.retryWindowMs, 2_500);
    assert.equal(settings?.retryBurst, 7.5);
    assert.equal(read({ ...gateway, bounds: { graceS: 0.5 } }).gateway?.drainLimitMs, 500);
  });

  it('are valid without bounds, zones, regions or a tolerance', () => {
    const bare = { bounds: {}, zone: '', region: null, faultTolerance: {}, bootstrap: null };
    assert.ok((read({ ...gateway, ...bare }).gateway?.drainLimitMs ?? 0) > 0);
    assert.equal(read({ ...keeper, ...bare }).keeper?.bootstrap, false);
    const few = { ...keeper, seeds: [`${ip}:8229`], nodeName: 'Core_1' };
    assert.deepEqual(read(few).keepers, [`${ip}:7600`]);
  });

  it('keep what is true and what is zero', () => {
    const strict = { ...bounds, strictRevoke: true, retryBurst: 0 };
    assert.equal(read({ ...gateway, bounds: strict }).gateway?.strictRevocation, true);
    assert.equal(read({ ...gateway, bounds: strict }).gateway?.retryBurst, 0);
    assert.equal(read(keeper).keeper?.bootstrap, true);
  });

  // Deployments whose platform states no bounds of rollouts must be served as before.
  it('allow rollouts only where their bounds are stated', () => {
    const canary = { ...bounds, canaryShare: 0.1, canaryExcess: 50, revertMs: 5_000 };
    const rollout = { maxShare: 0.1, maxExcess: 50, revertMs: 5_000 };
    assert.deepEqual({ ...read({ ...keeper, bounds: canary }).keeper?.rollout }, rollout);
    assert.equal(read({ ...gateway, bounds: canary }).keeper, undefined);
    assert.equal(read(keeper).keeper?.rollout, undefined);
  });

  it('use only ports of the range between keepers, wherever it lies', () => {
    for (const portRange of [
      [7_600, 7_615],
      [7_601, 7_616],
      [7_614, 7_629],
      [20_000, 20_015],
    ]) {
      const [first = 0, last = 0] = portRange;
      const settings = read({ ...keeper, portRange });
      const { listen, operatorListen } = settings.keeper!;
      const operatorPort = Number(operatorListen.split(':')[1]);
      assert.equal(listen, `${ip}:${first}`);
      assert.equal(settings.keepers[1], `127.0.3.26:${first}`);
      assert.ok(operatorPort > first && operatorPort <= last, operatorListen);
      assert.notEqual(operatorListen, settings.metrics?.listen);
    }
  });

  it('never give one port to two listeners of a process', () => {
    for (const port of [7_601, 7_615]) {
      for (const portRange of [
        [7_600, 7_602],
        [port, port],
      ]) {
        const admin = portRange[0] === port ? 8_229 : port;
        const settings = read({ ...keeper, portRange, listen: { admin: `${ip}:${admin}` } });
        const { listen, operatorListen, controlListen } = settings.keeper!;
        const listeners = [listen, operatorListen, controlListen, settings.metrics?.listen];
        const set = listeners.filter((listener) => listener !== undefined);
        assert.equal(new Set(set).size, set.length, set.join(' '));
      }
      const listen = { http: `${ip}:${port}`, readiness: `${ip}:8224` };
      assert.notEqual(read({ ...gateway, listen }).metrics?.listen, `${ip}:${port}`);
    }
  });

  it('are read from the file that the environment names', async () => {
    const { code, output } = await renderFile(gateway, async (path) => {
      const child = startProcess('check', 'dist/platform.mjs', ['--check'], [], {
        TURMERICRACK_SETTINGS: path,
      });
      return { code: await child.exited, output: child.output };
    });
    assert.equal(code, 0, output.join('\n'));
  });

  it('are read from the default file if the variable of the environment is empty', async () => {
    const child = startProcess('check', 'dist/platform.mjs', ['--check'], [], {
      TURMERICRACK_SETTINGS: '',
    });
    await child.exited;
    assert.match(child.output.join('\n'), /\/etc\/turmericrack\/settings\.yaml: /);
  });
});
