/** Runs the role that the settings file on the command line selects, until a signal stops it. */

import { randomUUID } from 'node:crypto';
import { watchFile } from 'node:fs';
import { parseArgs } from 'node:util';
import { SystemClock } from '../common/clock.js';
import { assertNever } from '../common/debug.js';
import { describeFailure, raise, toFailure } from '../common/failure.js';
import { abortProcess, createLogger, endProcess } from '../common/logging.js';
import { createMetricsRecorder, type MetricsRecorder } from '../common/metricsRecorder.js';
import { readSettings, type ProcessSettings } from '../common/settings.js';
import type { Adapter, RunningProcess } from './types.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const SETTINGS_POLL_MS = 2_000;
const usage = `Usage: turmericrackd --config FILE [--check]

  --config FILE  settings (TOML)
  --check        check the settings and exit
  --help         print this text
`;

function writeError(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Runs the daemon. Roles that implement the protocols of a platform need `adapter`. */
export async function runDaemon(adapter: Adapter | undefined): Promise<void> {
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
  await run(options.config, settings, adapter);
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

async function run(
  path: string,
  settings: ProcessSettings,
  adapter: Adapter | undefined,
): Promise<void> {
  const incarnation = randomUUID();
  const clock = new SystemClock();
  const logger = createLogger(settings.id, settings.log?.level);
  const fail = (caught: unknown): void => {
    logger.event('processFailed', { failure: describeFailure(toFailure(caught)) });
    abortProcess(EXIT_FAILED);
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  const { role } = settings;
  logger.event('processStarting', { role, incarnation });
  let metrics: MetricsRecorder;
  let running: RunningProcess;
  try {
    metrics = await createMetricsRecorder(settings.metrics);
    running = await startRole();
  } catch (caught) {
    fail(caught);
    return;
  }
  logger.event('processStarted', { role, incarnation });
  process.on('SIGHUP', reload);
  // The settings are also reloaded if the file changes without a SIGHUP.
  watchFile(path, { interval: SETTINGS_POLL_MS, persistent: false }, reload);
  process.once('SIGTERM', () => void stop('SIGTERM'));
  process.once('SIGINT', () => void stop('SIGINT'));

  /** Imports only the modules of the role, which keeps the memory of each process small. */
  async function startRole(): Promise<RunningProcess> {
    switch (settings.role) {
      case 'entry': {
        const { startEntry } = await import('./entryProcess.js');
        return startEntry(settings, incarnation, clock, logger, metrics);
      }
      case 'agent': {
        const { startAgent } = await import('./agentProcess.js');
        return startAgent(settings, incarnation, clock, logger, metrics);
      }
      case 'keeper': {
        const { startKeeper } = await import('./keeperProcess.js');
        return startKeeper(settings, clock, logger, metrics, fail, adapter);
      }
      case 'gateway': {
        const { startGateway } = await import('./gatewayProcess.js');
        const { dialect } =
          adapter ?? raise({ kind: 'usage', message: 'a gateway needs an adapter' });
        return startGateway(settings, incarnation, clock, logger, metrics, dialect);
      }
      default:
        return assertNever(settings);
    }
  }

  function reload(): void {
    try {
      const changed = readSettings(path);
      running.reload?.(changed);
      logger.event('settingsReloaded', { keepers: changed.keepers.join(',') });
    } catch (caught) {
      logger.event('settingsRefused', { failure: describeFailure(toFailure(caught)) });
    }
  }

  async function stop(signal: string): Promise<void> {
    logger.event('processStopping', { signal });
    await running.stop();
    metrics.close();
    logger.event('processStopped', {});
    await endProcess(0);
  }
}
