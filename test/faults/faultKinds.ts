/** The faults of the matrix. */

import type { Deployment } from '../fixtures/deployment.js';
import type { Fault } from './cells.js';

const FREEZE_MS = 4_000;
const CUT_MS = 2_000;
const LONG_SILENCE_MS = 7_000;
const RESTART_MS = 500;

/** All faults by name. */
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
  leaderDiskLost: createLeaderLoss(),
  linkCut: createLinkFault(CUT_MS, (proxy) => proxy.cut()),
  linkReset: createLinkFault(0, (proxy) => proxy.reset()),
  linkSilentToAgent: createLinkFault(LONG_SILENCE_MS, (proxy) => proxy.setFlow('drop', 'pass')),
  linkSilentToEntry: createLinkFault(LONG_SILENCE_MS, (proxy) => proxy.setFlow('pass', 'drop')),
  entryCutFromKeepers: createKeeperCut((deployment) => [...deployment.entryIds]),
  agentsCutFromKeepers: createKeeperCut((deployment) => [...deployment.agentIds]),
  leaderSilent: createLeaderSilence(),
  agentKilledLinkCut: createPair('agentKilled', 'linkCut'),
  leaderKilledEntryKilled: { ...createPair('leaderKilled', 'entryKilled'), killedEntries: [0] },
};

type Ids = (deployment: Deployment) => string[] | Promise<string[]>;
type Proxy = ReturnType<Deployment['getProxy']>;

function createFault(
  holdMs: number,
  inject: (deployment: Deployment) => void | Promise<void>,
  undo: (deployment: Deployment) => void | Promise<void>,
): Fault {
  return {
    holdMs,
    inject: async (deployment) => inject(deployment),
    undo: async (deployment) => undo(deployment),
  };
}

function createKill(getIds: Ids): Fault {
  let killed: string[] = [];
  return createFault(
    RESTART_MS,
    async (deployment) => {
      killed = await getIds(deployment);
      await Promise.all(killed.map((id) => deployment.getProcess(id).kill()));
    },
    (deployment) => {
      for (const id of killed) deployment.restart(id);
    },
  );
}

function createFreeze(getIds: Ids, holdMs: number): Fault {
  let frozen: string[] = [];
  return createFault(
    holdMs,
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

function createLeaderLoss(): Fault {
  let lost = '';
  return createFault(
    RESTART_MS,
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

function createLinkFault(holdMs: number, change: (proxy: Proxy) => void): Fault {
  const forEach = (deployment: Deployment, action: (proxy: Proxy) => void) => {
    for (const entry of deployment.entryIds) {
      for (const agent of deployment.agentIds) action(deployment.getProxy(entry, agent));
    }
  };
  return createFault(
    holdMs,
    (deployment) => forEach(deployment, change),
    (deployment) => forEach(deployment, (proxy) => proxy.heal()),
  );
}

function createKeeperCut(getIds: (deployment: Deployment) => string[]): Fault {
  const forEach = (deployment: Deployment, action: (proxy: Proxy) => void) => {
    for (const id of getIds(deployment)) {
      for (const keeper of deployment.keeperIds) action(deployment.getProxy(id, keeper));
    }
  };
  return createFault(
    FREEZE_MS,
    (deployment) => forEach(deployment, (proxy) => proxy.setFlow('drop', 'drop')),
    (deployment) => forEach(deployment, (proxy) => proxy.heal()),
  );
}

function createLeaderSilence(): Fault {
  let leader = '';
  return createFault(
    LONG_SILENCE_MS,
    async (deployment) => {
      leader = (await deployment.status()).leader;
      for (const proxy of deployment.listProxies(leader)) proxy.setFlow('drop', 'drop');
    },
    (deployment) => {
      for (const proxy of deployment.listProxies(leader)) proxy.heal();
    },
  );
}

function createPair(first: string, second: string): Fault {
  const getFaults = () => [faults[first], faults[second]].flatMap((fault) => fault ?? []);
  return {
    holdMs: CUT_MS,
    async inject(deployment) {
      for (const fault of getFaults()) await fault.inject(deployment);
    },
    async undo(deployment) {
      for (const fault of getFaults()) await fault.undo(deployment);
    },
  };
}
