/** Configurations in the operator's format. */

import { HOST } from './deployment.mjs';

export function createRoute(name, service, fields = {}) {
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: 5_000,
    sloMs: 300,
    priority: 1,
    service,
    attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
    ...fields,
  };
}

export function createService(name, fields = {}) {
  return { name, healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false, ...fields };
}

export function createTable(version, routes, services, tenants) {
  return {
    version,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...(tenants === undefined ? {} : { tenants }),
  };
}
