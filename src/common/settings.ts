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
  return applyKeeperPort(settings) as ProcessSettings;
}

/** Replaces the port of every keeper address by `keeperPort`, if that is set. */
function applyKeeperPort(settings: Settings): Settings {
  const { keeperPort, keepers } = settings;
  if (keeperPort === undefined) return settings;
  const addresses = keepers.map((address) => `${splitAddress(address).host}:${keeperPort}`);
  return { ...settings, keepers: addresses as Settings['keepers'] };
}

/** Splits `host:port` at its last colon. */
export function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
