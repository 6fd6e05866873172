/** turmericrackd: runs one role, given by its settings. */

import { runDaemon } from './daemon.js';

await runDaemon(undefined);
