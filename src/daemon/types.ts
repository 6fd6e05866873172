/** What roles and adapters offer to the daemon. */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { ProcessSettings } from '../common/settings.js';
import type { Announcement } from '../generated/control.js';
import type { Dialect } from '../gateway/types.js';
import type { TableAuthority } from '../keeper/tableAuthority.js';

/** A process that runs its role. */
export interface RunningProcess {
  /** Ends gracefully: nothing in flight is cut off. */
  stop(): Promise<void>;
  /** Takes over what may change while running. */
  reload?(settings: ProcessSettings): void;
}

/** What an adapter's interface for operators and endpoints needs of a keeper. */
export interface ControlApiHost {
  clock: Clock;
  logger: Logger;
  /** host:port. */
  listen: string;
  authority: TableAuthority;
  /** Takes an announcement in and passes it on to all gateways. */
  announce(announcement: Announcement): void;
  /** The newest announcement of an endpoint. */
  tryGetAnnouncement(endpointId: string): Announcement | undefined;
}

/** A running interface. */
export interface ControlApi {
  close(): Promise<void>;
}

/** Connects the product to the protocols of a platform. */
export interface Adapter {
  dialect: Dialect;
  startControlApi(host: ControlApiHost): Promise<ControlApi>;
}
