/** Reads and checks the settings of a process. */

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

/** Settings of an entry process. */
export type EntryProcessSettings = Settings & { role: 'entry'; entry: EntrySettings };
/** Settings of an agent process. */
export type AgentProcessSettings = Settings & { role: 'agent'; agent: AgentSettings };
/** Settings of a keeper process. */
export type KeeperProcessSettings = Settings & { role: 'keeper'; keeper: KeeperSettings };
/** Settings of a gateway process. */
export type GatewayProcessSettings = Settings & { role: 'gateway'; gateway: GatewaySettings };
/** Settings of any process, told apart by `role`. */
export type ProcessSettings =
  EntryProcessSettings | AgentProcessSettings | KeeperProcessSettings | GatewayProcessSettings;

/** Reads settings from `path`; raises `unreadableFile` or `invalidToml`. */
export function readSettings(path: string): ProcessSettings {
  const settings = readTomlFile<Settings>(path, isSettings);
  if (settings[settings.role] === undefined) {
    const problem = { line: undefined, key: settings.role, message: 'missing table' };
    return raise({ kind: 'invalidToml', path, problems: [problem] });
  }
  return withKeeperPort(settings) as ProcessSettings;
}

/** Settings whose keepers have the port that is stated for all of them. */
function withKeeperPort(settings: Settings): Settings {
  const { keeperPort, keepers } = settings;
  if (keeperPort === undefined) return settings;
  const addresses = keepers.map((address) => `${splitAddress(address).host}:${keeperPort}`);
  return { ...settings, keepers: addresses as Settings['keepers'] };
}

/** Splits `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
