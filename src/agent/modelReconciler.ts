/**
 * Tells the endpoint which models to load. Each order carries the agent's fencing token. An
 * endpoint that does not check the token is protected by the lease, which two agents never hold at
 * once.
 */

import type { Pool } from '../generated/schemas.js';
import type { EndpointClient } from './endpointClient.js';

const RETRY_INTERVAL_MS = 1_000;

/** Dependencies of the reconciler. */
export interface ModelReconcilerHost {
  client: EndpointClient;
  hasLease(): boolean;
  getFencingToken(): number;
}

/** Keeps the models of one endpoint in line with its pool. */
export interface ModelReconciler {
  /** Sends orders until the endpoint has accepted the models of the pool. */
  reconcile(pool: Pool | undefined): void;
  stop(): void;
}

/** Creates a reconciler that has not sent any order. */
export function createModelReconciler(host: ModelReconcilerHost): ModelReconciler {
  let desiredModels: string | undefined;
  let acceptedModels: string | undefined;
  let isRunning = false;
  let timer: NodeJS.Timeout | undefined;

  return { reconcile, stop: () => clearTimeout(timer) };

  function reconcile(pool: Pool | undefined): void {
    desiredModels = pool?.models === undefined ? undefined : JSON.stringify(pool.models);
    void run();
  }

  async function run(): Promise<void> {
    clearTimeout(timer);
    if (isRunning || desiredModels === undefined || desiredModels === acceptedModels) return;
    isRunning = true;
    const models = desiredModels;
    const isAccepted = host.hasLease() && (await sendLoadOrder(models));
    isRunning = false;
    if (isAccepted) acceptedModels = models;
    if (desiredModels !== acceptedModels) timer = setTimeout(() => void run(), RETRY_INTERVAL_MS);
  }

  function sendLoadOrder(models: string): Promise<boolean> {
    const body = { action: 'load', models: JSON.parse(models) as string[] };
    return host.client.sendOrder(body, host.getFencingToken());
  }
}
