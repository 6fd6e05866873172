/** The deployment on which the fault matrix runs. */

import { createDeployment, type Deployment } from '../fixtures/deployment.js';
import {
  createBaseTicketToml,
  createEnginePlan,
  createServicePlan,
} from '../fixtures/workloads.js';

/** Time of one call of the plain service; milliseconds. */
const SERVICE_DELAY_MS = 150;

/** Starts the deployment with a fault proxy on each connection. */
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
