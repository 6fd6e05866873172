/**
 * Requests that were in flight when an endpoint crashed. A suspect runs alone, one in the whole
 * deployment at a time; a run that ends clears it and a crash convicts it. So a request that
 * crashes each endpoint costs one endpoint as an unknown and one as a suspect.
 */

import type { CrashReport, SoloClose, SoloOpen } from '../generated/keeper.js';
import type { SoloOutcome, Suspect, ThingSink } from './types.js';

/** How long a suspicion or conviction lasts; milliseconds. */
export const SUSPECT_RETENTION_MS = 60 * 60 * 1000;

/** All suspects of the deployment. */
export interface Suspects {
  report(command: CrashReport): void;
  open(command: SoloOpen): SoloOutcome;
  close(command: SoloClose): SoloOutcome;
  /** Gives up the solo run of an entry that is gone. */
  abandon(entryIncarnation: string): void;
  save(): [string, Suspect][];
  load(saved: [string, Suspect][]): void;
}

/** Creates an empty collection whose changes are published to `things`. */
export function createSuspects(things: ThingSink): Suspects {
  const suspects = new Map<string, Suspect>();

  return { report, open, close, abandon, save: () => [...suspects], load };

  function report(command: CrashReport): void {
    expire(command.reportedAtMs);
    for (const digest of command.digests) {
      const wasAlone = suspects.get(digest)?.state === 'running';
      const state = wasAlone && command.digests.length === 1 ? 'convicted' : 'suspect';
      if (suspects.get(digest)?.state === 'convicted') continue;
      put(digest, { state, holder: '', requestId: '', changedAtMs: command.reportedAtMs });
    }
  }

  function open(command: SoloOpen): SoloOutcome {
    const suspect = suspects.get(command.digest);
    if (suspect === undefined) return 'cleared';
    if (suspect.state === 'convicted') return 'convicted';
    if (suspect.state === 'running' && suspect.requestId === command.requestId) return 'granted';
    for (const other of suspects.values()) {
      if (other.state === 'running') return 'busy';
    }
    const { entryIncarnation: holder, requestId } = command;
    put(command.digest, { ...suspect, state: 'running', holder, requestId });
    return 'granted';
  }

  function close(command: SoloClose): SoloOutcome {
    const suspect = suspects.get(command.digest);
    if (suspect?.state !== 'running' || suspect.requestId !== command.requestId) return 'closed';
    if (command.verdict === 'cleared') {
      suspects.delete(command.digest);
      things.remove('suspect', command.digest, 0);
      return 'closed';
    }
    const state = command.verdict === 'crashed' ? 'convicted' : 'suspect';
    put(command.digest, { ...suspect, state, holder: '', requestId: '' });
    return 'closed';
  }

  function abandon(entryIncarnation: string): void {
    for (const [digest, suspect] of suspects) {
      if (suspect.holder !== entryIncarnation || suspect.state !== 'running') continue;
      put(digest, { ...suspect, state: 'suspect', holder: '', requestId: '' });
    }
  }

  function put(digest: string, suspect: Suspect): void {
    suspects.set(digest, suspect);
    things.put('suspect', digest, { state: suspect.state }, 0);
  }

  function expire(nowMs: number): void {
    for (const [digest, suspect] of suspects) {
      const isRecent = suspect.changedAtMs > nowMs - SUSPECT_RETENTION_MS;
      if (isRecent || suspect.state === 'running') continue;
      suspects.delete(digest);
      things.remove('suspect', digest, 0);
    }
  }

  function load(saved: [string, Suspect][]): void {
    suspects.clear();
    for (const [digest, suspect] of saved) suspects.set(digest, suspect);
  }
}
