/**
 * Quarantine of requests that were in flight when an endpoint crashed ("suspects"). A suspect runs
 * in isolation, one at a time in the whole deployment: a run that completes clears it, and a crash
 * convicts it. A request that crashes every endpoint it runs on therefore takes down only two: one
 * before it is suspected and one during its isolated run.
 */

import type { CrashReport, SoloClose, SoloOpen } from '../generated/keeper.js';
import type { SoloOutcome, Suspect, ThingWriter } from './types.js';

/** How long a request stays suspect or convicted after the crash report. */
export const SUSPECT_RETENTION_MS = 60 * 60 * 1000;

/** All suspects of the deployment. */
export interface Suspects {
  report(command: CrashReport): void;
  open(command: SoloOpen): SoloOutcome;
  close(command: SoloClose): SoloOutcome;
  /** Ends the isolated run of an entry that has left; the request stays suspect. */
  releaseSoloRun(entryIncarnation: string): void;
  save(): [string, Suspect][];
  load(saved: [string, Suspect][]): void;
}

/** Creates an empty collection whose changes are published to `things`. */
export function createSuspects(things: ThingWriter): Suspects {
  const suspects = new Map<string, Suspect>();

  return { report, open, close, releaseSoloRun, save: () => [...suspects], load };

  function report(command: CrashReport): void {
    expire(command.reportedAtMs);
    for (const digest of command.digests) {
      const wasRunningAlone = suspects.get(digest)?.state === 'running';
      const state = wasRunningAlone && command.digests.length === 1 ? 'convicted' : 'suspect';
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

  function releaseSoloRun(entryIncarnation: string): void {
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
