/** Runs a suspected request alone, one in the whole deployment at a time. */

import { delay } from '../common/delay.js';
import type { Clock } from '../common/clock.js';
import type { KeeperSession } from '../common/keeperSession.js';
import type { RequestResult } from './types.js';

const SOLO_TIMEOUT_MS = 4_000;
const BUSY_POLL_MS = 100;

/** Whether a suspect may run now. */
export type SoloPermission = 'granted' | 'cleared' | 'convicted' | 'timeout';

/** What solo runs need from outside. */
export interface SoloRunsHost {
  clock: Clock;
  session: KeeperSession;
  entryId: string;
  incarnation: string;
}

/** Waits for the right to run `digest` alone. */
export async function openSolo(
  host: SoloRunsHost,
  digest: string,
  requestId: string,
  deadline: number,
): Promise<SoloPermission> {
  const { entryId, incarnation: entryIncarnation } = host;
  const open = { digest, entryId, entryIncarnation, requestId };
  while (host.clock.now() < deadline) {
    const outcome = await tryChange(host, { action: { $case: 'open', value: open } });
    if (outcome === 'granted' || outcome === 'cleared' || outcome === 'convicted') return outcome;
    await delay(BUSY_POLL_MS);
  }
  return 'timeout';
}

/** Tells how the solo run ended. */
export async function closeSolo(
  host: SoloRunsHost,
  digest: string,
  requestId: string,
  end: RequestResult,
): Promise<void> {
  const verdict = getVerdict(end);
  await tryChange(host, { action: { $case: 'close', value: { digest, requestId, verdict } } });
}

function getVerdict(end: RequestResult): string {
  if (end.kind === 'complete') return 'cleared';
  const { kind } = end.problem;
  return kind === 'cut' || kind === 'lost' ? 'crashed' : 'undecided';
}

async function tryChange(
  host: SoloRunsHost,
  request: Parameters<KeeperSession['changeSolo']>[0],
): Promise<string | undefined> {
  try {
    return await host.session.changeSolo(request, SOLO_TIMEOUT_MS);
  } catch {
    return undefined;
  }
}
