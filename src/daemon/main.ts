/** Entry point of turmericrackd, the daemon without a platform adapter. */

import { runDaemon } from './daemon.js';

await runDaemon(undefined);
