/** Types of the internal undici modules that are imported individually. */

declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export default Pool;
}

declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici';

  export default Client;
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
  import { Dispatcher } from 'undici';

  export default Dispatcher;
}

declare module 'undici/lib/api/index.js' {
  const api: Record<string, (...parameters: never[]) => unknown>;
  export default api;
}
