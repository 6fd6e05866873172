/** Memory of the processes of a deployment. */

import { readFileSync } from 'node:fs';

const KIB_PER_MB = 1_024;

/** Memory that the process of a machine uses now, in MB; 0 if it has ended. */
export function readMemoryMb({ child }) {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
    return Math.round(Number(/VmRSS:\s*(\d+)/.exec(status)?.[1] ?? 0) / KIB_PER_MB);
  } catch {
    return 0;
  }
}
