/** What a failure to connect to an endpoint says about it. */

/** `refused` means that nothing listens at the endpoint's address. */
export type ConnectFailure = 'refused' | 'unanswered';

const REFUSED_CODE = 'ECONNREFUSED';

/** Returns what the code of a system error says. */
export function toConnectFailure(code: string | undefined): ConnectFailure {
  return code === REFUSED_CODE ? 'refused' : 'unanswered';
}
