/** Interfaces between the daemon, its roles and platform adapters. */

import type { BodyAdmission } from '../common/bodyAdmission.js';
import type { ClientLimits } from '../common/clientConnections.js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { ProcessSettings } from '../common/settings.js';
import type { Announcement } from '../generated/control.js';
import type { Dialect } from '../gateway/types.js';
import type { RolloutAuthority } from '../keeper/rolloutAuthority.js';
import type { TableAuthority } from '../keeper/tableAuthority.js';
import type { MergeOutcome } from '../registry/registry.js';

/** A started role. */
export interface RunningProcess {
  /**
   * Shuts down gracefully, without cutting off requests in flight. The time that it may take counts
   * from `signalledAt`, a monotonic time.
   */
  stop(signalledAt: number): Promise<void>;
  /** Applies the settings that may change at run time. */
  reload?(settings: ProcessSettings): void;
}

/** Parts of a keeper that an adapter's API for operators and endpoints uses. */
export interface ControlApiHost {
  clock: Clock;
  logger: Logger;
  /** host:port. */
  listen: string;
  authority: TableAuthority;
  rollouts: Pick<RolloutAuthority, 'begin' | 'read'>;
  /** Admits the bodies of all operators' calls. */
  bodies: BodyAdmission;
  clients: ClientLimits;
  /** Registers an announcement and forwards it to all gateways, unless it is not valid. */
  announce(announcement: Announcement): MergeOutcome;
  /** Returns the newest announcement of an endpoint in each pool that it has named. */
  listAnnouncements(endpointId: string): Announcement[];
}

/** A running control API. */
export interface ControlApi {
  close(): Promise<void>;
}

/** Integration with the protocols of a platform. */
export interface Adapter {
  /** Settings file of a process that is started without `--config`. */
  settingsPath: string;
  dialect: Dialect;
  startControlApi(host: ControlApiHost): Promise<ControlApi>;
}
