/** What a failure to connect to an endpoint says about it. */

/**
 * `refused` means that nothing listens at the endpoint's address; `notTried` that this process or
 * its host lacks what a connection needs, which says nothing about the endpoint.
 */
export type ConnectFailure = 'refused' | 'unanswered' | 'notTried';

const REFUSED_CODE = 'ECONNREFUSED';
/** No descriptor, no port for an outgoing connection, or no memory. */
const LACK_CODES = new Set(['EMFILE', 'ENFILE', 'EADDRNOTAVAIL', 'ENOBUFS', 'ENOMEM']);

/** Returns what the code of a system error says. */
export function toConnectFailure(code: string | undefined): ConnectFailure {
  if (code === REFUSED_CODE) return 'refused';
  return code !== undefined && LACK_CODES.has(code) ? 'notTried' : 'unanswered';
}
