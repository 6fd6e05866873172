/**
 * The HTTP client and connection pool of undici. They are imported from its internal modules,
 * because its main module also loads fetch, WebSocket and caches, which cost an agent 7 MB of its
 * memory budget. The request methods are added to the dispatcher as undici's main module does it.
 */

import api from 'undici/lib/api/index.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export { Client, Pool };
