/**
 * Permission to run a crash suspect alone. In the whole deployment, one suspected request runs at a
 * time.
 */

import { delay } from '../common/delay.js';
import type { Clock } from '../common/clock.js';
import type { KeeperSession } from '../common/keeperSession.js';
import type { RequestResult } from './types.js';

const SOLO_TIMEOUT_MS = 4_000;
const BUSY_POLL_INTERVAL_MS = 100;

/** Outcome of asking for permission to run a crash suspect. */
export type SoloPermission = 'granted' | 'cleared' | 'convicted' | 'timeout';

/** Dependencies of solo runs. */
export interface SoloRunsHost {
  clock: Clock;
  session: KeeperSession;
  entryId: string;
  incarnation: string;
}

/** Waits until the deadline for permission to run the request with `digest` alone. */
export async function openSolo(
  host: SoloRunsHost,
  digest: string,
  requestId: string,
  deadline: number,
): Promise<SoloPermission> {
  const { entryId, incarnation: entryIncarnation } = host;
  const open = { digest, entryId, entryIncarnation, requestId };
  while (host.clock.now() < deadline) {
    const outcome = await tryChangeSolo(host, { action: { $case: 'open', value: open } });
    if (outcome === 'granted' || outcome === 'cleared' || outcome === 'convicted') return outcome;
    await delay(BUSY_POLL_INTERVAL_MS);
  }
  return 'timeout';
}

/** Reports the verdict of a solo run to the keepers. */
export async function closeSolo(
  host: SoloRunsHost,
  digest: string,
  requestId: string,
  result: RequestResult,
): Promise<void> {
  const verdict = getVerdict(result);
  await tryChangeSolo(host, { action: { $case: 'close', value: { digest, requestId, verdict } } });
}

function getVerdict(result: RequestResult): string {
  if (result.kind === 'complete') return 'cleared';
  const { kind } = result.problem;
  return kind === 'cut' || kind === 'lost' ? 'crashed' : 'undecided';
}

async function tryChangeSolo(
  host: SoloRunsHost,
  request: Parameters<KeeperSession['changeSolo']>[0],
): Promise<string | undefined> {
  try {
    return await host.session.changeSolo(request, SOLO_TIMEOUT_MS);
  } catch {
    return undefined;
  }
}
