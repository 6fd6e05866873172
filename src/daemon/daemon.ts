/** Runs the role that the settings file on the command line selects, until a signal stops it. */

import { randomUUID } from 'node:crypto';
import { watchFile } from 'node:fs';
import { parseArgs } from 'node:util';
import { createClientMemory } from '../common/clientMemory.js';
import { SystemClock } from '../common/clock.js';
import { assertNever } from '../common/debug.js';
import { describeFailure, raise, toFailure } from '../common/failure.js';
import { abortProcess, createLogger, endProcess } from '../common/logging.js';
import { createMetricsRecorder, type MetricsRecorder } from '../common/metricsRecorder.js';
import { startPauseMonitor } from '../common/pauseMonitor.js';
import { readSettings, type ProcessSettings } from '../common/settings.js';
import { startLifecycle } from './lifecycle.js';
import type { Signals } from './signals.js';
import type { Adapter, RunningProcess } from './types.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const SETTINGS_POLL_MS = 2_000;
const KEEPER_STOP_TIMEOUT_MS = 30_000;
/** Added to the drain limit of a gateway. */
const GATEWAY_STOP_MARGIN_MS = 10_000;
/** Longer than any request runs, as entries and agents wait for their requests. */
const REQUESTS_STOP_TIMEOUT_MS = 3_600_000;
const usage = `Usage: turmericrackd --config FILE [--check]

  --config FILE  settings (TOML)
  --check        check the settings and exit
  --help         print this text
`;

function writeError(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Runs the daemon. Roles that implement the protocols of a platform need `adapter`. */
export async function runDaemon(signals: Signals, adapter: Adapter | undefined): Promise<void> {
  const options = readOptions(adapter?.settingsPath);
  if (options === undefined) return;
  let settings: ProcessSettings;
  try {
    settings = readSettings(options.config);
  } catch (caught) {
    writeError(describeFailure(toFailure(caught)));
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (options.check) {
    process.stdout.write(`${options.config}: ok\n`);
    return;
  }
  run(options.config, settings, signals, adapter);
}

function readOptions(
  settingsPath: string | undefined,
): { config: string; check: boolean } | undefined {
  try {
    const { values } = parseArgs({
      options: {
        config: { type: 'string' },
        check: { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    });
    if (values.help) {
      process.stdout.write(usage);
      return undefined;
    }
    const config = values.config ?? settingsPath;
    if (config !== undefined) return { config, check: values.check };
    writeError(usage);
  } catch (caught) {
    writeError(`${(caught as Error).message}\n\n${usage}`);
  }
  process.exitCode = EXIT_USAGE;
  return undefined;
}

function run(
  path: string,
  settings: ProcessSettings,
  signals: Signals,
  adapter: Adapter | undefined,
): void {
  const incarnation = randomUUID();
  const clock = new SystemClock();
  const logger = createLogger(settings.id, settings.log?.level);
  let metrics: MetricsRecorder | undefined;
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  const { role } = settings;
  const memory = createClientMemory({
    memoryMb: settings.memoryMb,
    clientMemoryMb: settings.clientMemoryMb,
    logger,
    onLimited: (reason) => metrics?.count('clientLimits', 1, { reason }),
  });
  logger.event('processStarting', { role, incarnation });
  const pauseMonitor = startPauseMonitor(clock, logger);
  const lifecycle = startLifecycle({
    logger,
    signals,
    getSignalledAt: () => pauseMonitor.getEarliestArrivalAt(),
    stopTimeoutMs: getStopTimeoutMs(settings),
    async start(stopping) {
      metrics = await createMetricsRecorder(settings.metrics, logger, { memory });
      return startRole(metrics, stopping);
    },
    onStarted: () => logger.event('processStarted', { role, incarnation }),
    reload,
    fail,
    end,
  });
  // The settings are also reloaded if the file changes without a SIGHUP.
  watchFile(path, { interval: SETTINGS_POLL_MS, persistent: false }, () => lifecycle.reload());

  function fail(caught: unknown): void {
    logger.event('processFailed', { failure: describeFailure(toFailure(caught)) });
    abortProcess(EXIT_FAILED);
  }

  /** Imports only the modules of the role, which keeps the memory of each process small. */
  async function startRole(
    recorder: MetricsRecorder,
    stopping: AbortSignal,
  ): Promise<RunningProcess> {
    switch (settings.role) {
      case 'entry': {
        const { startEntry } = await import('./entryProcess.js');
        return startEntry(settings, incarnation, clock, logger, recorder);
      }
      case 'agent': {
        const { startAgent } = await import('./agentProcess.js');
        return startAgent(settings, incarnation, clock, logger, recorder);
      }
      case 'keeper': {
        const { startKeeper } = await import('./keeperProcess.js');
        return startKeeper(settings, clock, logger, recorder, fail, stopping, adapter, memory);
      }
      case 'gateway': {
        const { startGateway } = await import('./gatewayProcess.js');
        const { dialect } =
          adapter ?? raise({ kind: 'usage', message: 'a gateway needs an adapter' });
        return startGateway(settings, incarnation, clock, logger, recorder, dialect, memory);
      }
      default:
        return assertNever(settings);
    }
  }

  function reload(running: RunningProcess): void {
    try {
      const changed = readSettings(path);
      running.reload?.(changed);
      logger.event('settingsReloaded', { keepers: changed.keepers.join(',') });
    } catch (caught) {
      logger.event('settingsRefused', { failure: describeFailure(toFailure(caught)) });
    }
  }

  async function end(stopMs: number): Promise<void> {
    metrics?.close();
    await endProcess(0, getGraceMs(settings) - stopMs);
  }
}

/** Returns the time after which a process that stops may be killed. */
function getGraceMs({ role, gateway }: ProcessSettings): number {
  return role === 'gateway' ? gateway.drainLimitMs : Number.POSITIVE_INFINITY;
}

/** Returns a time that no graceful shutdown of the role takes. */
function getStopTimeoutMs(settings: ProcessSettings): number {
  switch (settings.role) {
    case 'keeper':
      return KEEPER_STOP_TIMEOUT_MS;
    case 'gateway':
      return settings.gateway.drainLimitMs + GATEWAY_STOP_MARGIN_MS;
    default:
      return REQUESTS_STOP_TIMEOUT_MS;
  }
}
