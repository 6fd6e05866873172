/**
 * Requests with a certain part of a prompt crash each replica that begins to write an answer on it.
 * The replicas' answers have neither a length nor chunks, so that a crash looks like their end.
 */
import { playCrashes } from '../lib-3/crashes.mjs';

await playCrashes('review/12', { isFramed: false, crashAfterEvents: 0, by: 'part' });
