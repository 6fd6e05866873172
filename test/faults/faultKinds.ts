/**
 * Faults that the matrix injects into a deployment: killed and frozen processes, a lost disk, and
 * connections that are closed, reset or silently drop traffic.
 */

import type { Deployment } from '../fixtures/deployment.js';
import type { Fault } from './cells.js';

const FREEZE_MS = 4_000;
const CUT_MS = 2_000;
/** How long links drop traffic in one direction, or the leader is isolated. */
const SILENCE_MS = 7_000;
const RESTART_DELAY_MS = 500;

/** All faults, by the name that `npm run faults -- --fault NAME` takes. */
export const faults: Record<string, Fault> = {
  nothing: createFault(
    0,
    () => {},
    () => {},
  ),
  agentKilled: createKill((deployment) => [...deployment.agentIds]),
  agentFrozen: createFreeze((deployment) => [...deployment.agentIds], FREEZE_MS),
  entryKilled: {
    ...createKill((deployment) => [deployment.entryIds[0] ?? '']),
    killedEntries: [0],
  },
  entryFrozen: createFreeze((deployment) => [deployment.entryIds[0] ?? ''], FREEZE_MS),
  endpointKilled: createKill((deployment) => deployment.agentIds.map((id) => `${id}/endpoint`)),
  endpointFrozen: createFreeze(
    (deployment) => deployment.agentIds.map((id) => `${id}/endpoint`),
    FREEZE_MS,
  ),
  leaderKilled: createKill(async (deployment) => [(await deployment.status()).leader]),
  leaderFrozen: createLeaderFreeze(),
  leaderDiskLost: createLeaderDiskLoss(),
  linkCut: createLinkFault(CUT_MS, (proxy) => proxy.cut()),
  linkReset: createLinkFault(0, (proxy) => proxy.reset()),
  linkSilentToAgent: createLinkFault(SILENCE_MS, (proxy) => proxy.setFlow('drop', 'pass')),
  linkSilentToEntry: createLinkFault(SILENCE_MS, (proxy) => proxy.setFlow('pass', 'drop')),
  entryCutFromKeepers: createKeeperPartition((deployment) => [...deployment.entryIds]),
  agentsCutFromKeepers: createKeeperPartition((deployment) => [...deployment.agentIds]),
  leaderSilent: createLeaderIsolation(),
  agentKilledLinkCut: combineFaults('agentKilled', 'linkCut'),
  leaderKilledEntryKilled: { ...combineFaults('leaderKilled', 'entryKilled'), killedEntries: [0] },
};

type SelectIds = (deployment: Deployment) => string[] | Promise<string[]>;
type LinkProxy = ReturnType<Deployment['getProxy']>;

function createFault(
  durationMs: number,
  inject: (deployment: Deployment) => void | Promise<void>,
  undo: (deployment: Deployment) => void | Promise<void>,
): Fault {
  return {
    durationMs,
    inject: async (deployment) => inject(deployment),
    undo: async (deployment) => undo(deployment),
  };
}

function createKill(getIds: SelectIds): Fault {
  let killed: string[] = [];
  return createFault(
    RESTART_DELAY_MS,
    async (deployment) => {
      killed = await getIds(deployment);
      await Promise.all(killed.map((id) => deployment.getProcess(id).kill()));
    },
    (deployment) => {
      for (const id of killed) deployment.restart(id);
    },
  );
}

function createFreeze(getIds: SelectIds, durationMs: number): Fault {
  let frozen: string[] = [];
  return createFault(
    durationMs,
    async (deployment) => {
      frozen = await getIds(deployment);
      for (const id of frozen) deployment.getProcess(id).signal('SIGSTOP');
    },
    (deployment) => {
      for (const id of frozen) deployment.getProcess(id).signal('SIGCONT');
    },
  );
}

function createLeaderFreeze(): Fault {
  return createFreeze(async (deployment) => [(await deployment.status()).leader], FREEZE_MS);
}

function createLeaderDiskLoss(): Fault {
  let lost = '';
  return createFault(
    RESTART_DELAY_MS,
    async (deployment) => {
      lost = (await deployment.status()).leader;
      await deployment.getProcess(lost).kill();
      deployment.loseDisk(lost);
    },
    (deployment) => {
      deployment.restart(lost);
    },
  );
}

function createLinkFault(durationMs: number, change: (proxy: LinkProxy) => void): Fault {
  const forEachProxy = (deployment: Deployment, action: (proxy: LinkProxy) => void) => {
    for (const entry of deployment.entryIds) {
      for (const agent of deployment.agentIds) action(deployment.getProxy(entry, agent));
    }
  };
  return createFault(
    durationMs,
    (deployment) => forEachProxy(deployment, change),
    (deployment) => forEachProxy(deployment, (proxy) => proxy.heal()),
  );
}

function createKeeperPartition(getIds: (deployment: Deployment) => string[]): Fault {
  const forEachProxy = (deployment: Deployment, action: (proxy: LinkProxy) => void) => {
    for (const id of getIds(deployment)) {
      for (const keeper of deployment.keeperIds) action(deployment.getProxy(id, keeper));
    }
  };
  return createFault(
    FREEZE_MS,
    (deployment) => forEachProxy(deployment, (proxy) => proxy.setFlow('drop', 'drop')),
    (deployment) => forEachProxy(deployment, (proxy) => proxy.heal()),
  );
}

function createLeaderIsolation(): Fault {
  let leader = '';
  return createFault(
    SILENCE_MS,
    async (deployment) => {
      leader = (await deployment.status()).leader;
      for (const proxy of deployment.listProxies(leader)) proxy.setFlow('drop', 'drop');
    },
    (deployment) => {
      for (const proxy of deployment.listProxies(leader)) proxy.heal();
    },
  );
}

function combineFaults(first: string, second: string): Fault {
  const getFaults = () => [faults[first], faults[second]].flatMap((fault) => fault ?? []);
  return {
    durationMs: CUT_MS,
    async inject(deployment) {
      for (const fault of getFaults()) await fault.inject(deployment);
    },
    async undo(deployment) {
      for (const fault of getFaults()) await fault.undo(deployment);
    },
  };
}
