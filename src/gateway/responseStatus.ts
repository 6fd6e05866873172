/** Classes of responses by their status. */

import type { ResponseHead } from './types.js';

type Status = Pick<ResponseHead, 'status'>;

/** Whether the endpoint failed. */
export function isFailure({ status }: Status): boolean {
  return status >= 500;
}

/** Whether the response blames the request. */
export function isRejection({ status }: Status): boolean {
  return status >= 400 && status < 500;
}

export function isSuccess({ status }: Status): boolean {
  return status >= 200 && status < 300;
}
