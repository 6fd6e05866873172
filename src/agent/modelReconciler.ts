/**
 * Orders to the endpoint, such as which models to load. Each carries the agent's fencing token;
 * an endpoint that does not check it is protected by the lease, which two agents never hold at once.
 */

import type { Pool } from '../generated/schemas.js';
import type { EndpointClient } from './endpointClient.js';

const RETRY_MS = 1_000;

/** What orders need from outside. */
export interface ModelReconcilerHost {
  client: EndpointClient;
  hasLease(): boolean;
  getFencingToken(): number;
}

/** The order-giver of one endpoint. */
export interface ModelReconciler {
  /** Brings the endpoint to the state that the pool asks for. */
  reconcile(pool: Pool | undefined): void;
  stop(): void;
}

/** Creates an order-giver that has not given any order yet. */
export function createModelReconciler(host: ModelReconcilerHost): ModelReconciler {
  let wanted: string | undefined;
  let done: string | undefined;
  let isRunning = false;
  let timer: NodeJS.Timeout | undefined;

  return { reconcile: follow, stop: () => clearTimeout(timer) };

  function follow(pool: Pool | undefined): void {
    wanted = pool?.models === undefined ? undefined : JSON.stringify(pool.models);
    void run();
  }

  async function run(): Promise<void> {
    clearTimeout(timer);
    if (isRunning || wanted === undefined || wanted === done) return;
    isRunning = true;
    const models = wanted;
    const isTaken = host.hasLease() && (await giveOrder(models));
    isRunning = false;
    if (isTaken) done = models;
    if (wanted !== done) timer = setTimeout(() => void run(), RETRY_MS);
  }

  function giveOrder(models: string): Promise<boolean> {
    const body = { action: 'load', models: JSON.parse(models) as string[] };
    return host.client.order(body, host.getFencingToken());
  }
}
