/** Deployment that the cells of the fault matrix run on. */

import { createDeployment, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createServicePlan,
} from '../fixtures/workloads.js';

/** Processing time of one call at the service. */
const SERVICE_DELAY_MS = 150;

/** Starts the deployment with a fault-injecting proxy on each connection. */
export async function createMatrixDeployment(): Promise<Deployment> {
  const deployment = await createDeployment({
    keepers: 3,
    entries: 2,
    endpoints: [
      createEnginePlan('engine-a'),
      createEnginePlan('engine-b'),
      createServicePlan('desk-a', 'order-desk', SERVICE_DELAY_MS),
      createServicePlan('desk-b', 'order-desk', SERVICE_DELAY_MS),
    ],
    proxied: true,
  });
  await deployment.waitReady();
  await deployment.applyTicket(createBaseTicketToml());
  return deployment;
}
