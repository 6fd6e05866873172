/** Entry point of turmericrackd, the daemon without a platform adapter. */

import { createSignals } from './signals.js';

const signals = createSignals();
// Loading the other modules takes a while, in which signals may arrive.
const { runDaemon } = await import('./daemon.js');
await runDaemon(signals, undefined);
