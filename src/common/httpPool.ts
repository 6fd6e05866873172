/**
 * undici's connections without the rest of undici (fetch, WebSocket, caches), which would cost
 * an agent 7 MB of the memory it may use. Does what undici's own index does to make the methods.
 */

import api from 'undici/lib/api/index.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export { Client, Pool };
