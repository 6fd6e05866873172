/** Reads and validates the settings of a process. */

import { isSettings } from '../generated/validators.js';
import type {
  AgentSettings,
  EntrySettings,
  GatewaySettings,
  KeeperSettings,
  Settings,
} from '../generated/schemas.js';
import { raise } from './failure.js';
import { readTomlFile } from './tomlFile.js';

/** The kernel selects a port. */
const ANY_PORT = 0;

export type EntryProcessSettings = Settings & { role: 'entry'; entry: EntrySettings };
export type AgentProcessSettings = Settings & { role: 'agent'; agent: AgentSettings };
export type KeeperProcessSettings = Settings & { role: 'keeper'; keeper: KeeperSettings };
export type GatewayProcessSettings = Settings & { role: 'gateway'; gateway: GatewaySettings };
/** Settings of a process of any role; `role` is the discriminant. */
export type ProcessSettings =
  EntryProcessSettings | AgentProcessSettings | KeeperProcessSettings | GatewayProcessSettings;

/** Reads the settings from `path`. Raises `unreadableFile` or `invalidToml`. */
export function readSettings(path: string): ProcessSettings {
  const settings = readTomlFile<Settings>(path, isSettings);
  if (settings[settings.role] === undefined) {
    const problem = { line: undefined, key: settings.role, message: 'missing table' };
    return raise({ kind: 'invalidToml', path, problems: [problem] });
  }
  return removeTakenMetricsPort(applyPortRange(settings)) as ProcessSettings;
}

/** Assigns the ports of the range, if there is one, to keepers' listeners. */
function applyPortRange(settings: Settings): Settings {
  const { portRange, keepers, keeper } = settings;
  if (portRange === undefined) return settings;
  const [first, last] = portRange;
  const keeperAddresses = keepers.map((address) => withPort(address, first));
  const withPorts = { ...settings, keepers: keeperAddresses as Settings['keepers'] };
  if (keeper === undefined) return withPorts;
  const listen = withPort(keeper.listen, first);
  const taken = new Set([listen, keeper.controlListen, settings.metrics?.listen]);
  const operatorListen = findFreeAddress(keeper.operatorListen, first + 1, last, taken);
  return { ...withPorts, keeper: { ...keeper, listen, operatorListen } };
}

function findFreeAddress(
  address: string,
  first: number,
  last: number,
  taken: ReadonlySet<string | undefined>,
): string {
  for (let port = first; port <= last; port += 1) {
    const candidate = withPort(address, port);
    if (!taken.has(candidate)) return candidate;
  }
  return withPort(address, ANY_PORT);
}

/** Without metrics a process still serves; without one of its other listeners it cannot. */
function removeTakenMetricsPort(settings: Settings): Settings {
  const { metrics, entry, agent, keeper, gateway } = settings;
  const listeners = [
    entry?.listen,
    agent?.listen,
    keeper?.listen,
    keeper?.operatorListen,
    keeper?.controlListen,
    gateway?.listen,
    gateway?.readyListen,
  ];
  if (metrics?.listen === undefined || !listeners.includes(metrics.listen)) return settings;
  return { ...settings, metrics: { ...metrics, listen: undefined } };
}

function withPort(address: string, port: number): string {
  return `${splitAddress(address).host}:${port}`;
}

/** Splits `host:port` at its last colon. */
export function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
