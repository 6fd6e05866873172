/**
 * Tells crashes of endpoints from responses that broke off for another reason: an endpoint has
 * crashed if it accepts no connections right after. One probe serves all responses that an endpoint
 * breaks off at a time.
 */

import type { Logger } from '../common/logging.js';
import type { Endpoint } from './endpointTracker.js';
import type { Call } from './types.js';

/** Bounds of what one log line lists. */
const MAX_LOGGED_REQUESTS = 16;
const MAX_LOGGED_PARTS = 48;

/** A request whose response an endpoint broke off. */
export interface InterruptedCall {
  call: Call;
  /** Whether a part of the response had arrived. */
  hasBegun: boolean;
}

/** Dependencies of the detector. */
export interface CrashDetectorHost {
  logger: Logger;
  /** `isRefused` means that nothing listened at the address, so that the process has ended. */
  onCrash(endpoint: Endpoint, interrupted: readonly InterruptedCall[], isRefused: boolean): void;
}

/** Detects crashes of all endpoints of a gateway. */
export interface CrashDetector {
  /** Records a response that an endpoint broke off. */
  recordInterruption(endpoint: Endpoint, interrupted: InterruptedCall): void;
}

/** Creates a detector. */
export function createCrashDetector(host: CrashDetectorHost): CrashDetector {
  /** Interrupted requests of the endpoints that are being probed. */
  const probed = new Map<Endpoint, InterruptedCall[]>();

  return { recordInterruption };

  function recordInterruption(endpoint: Endpoint, interrupted: InterruptedCall): void {
    const known = probed.get(endpoint);
    if (known !== undefined) {
      known.push(interrupted);
      return;
    }
    probed.set(endpoint, [interrupted]);
    void probe(endpoint);
  }

  async function probe(endpoint: Endpoint): Promise<void> {
    const outcome = await endpoint.client.probe();
    const interrupted = probed.get(endpoint) ?? [];
    probed.delete(endpoint);
    if (outcome === 'accepted' || outcome === 'notTried') return;
    logCrash(endpoint, interrupted);
    host.onCrash(endpoint, interrupted, outcome === 'refused');
  }

  function logCrash({ announcement }: Endpoint, interrupted: readonly InterruptedCall[]): void {
    const waiting = interrupted.filter(({ hasBegun }) => !hasBegun);
    const parts = new Set(waiting.flatMap(({ call }) => call.head.sharedParts));
    const requests = waiting.map(({ call }) => call.head.id);
    host.logger.event('endpointCrashed', {
      endpoint: announcement.endpointId,
      bornAtMs: announcement.bornAtMs,
      interrupted: interrupted.length,
      notBegun: requests.slice(0, MAX_LOGGED_REQUESTS).join(','),
      sharedParts: [...parts].slice(0, MAX_LOGGED_PARTS).join(','),
    });
  }
}
