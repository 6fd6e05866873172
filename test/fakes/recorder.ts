/** Records what a fake endpoint did, so that tests can check the system against it. */

import { appendFileSync } from 'node:fs';

/** One event at the endpoint. */
export interface EndpointRecord {
  kind: 'arrived' | 'started' | 'firstToken' | 'finished' | 'cancelled' | 'resumed' | 'order';
  id: string;
  /** Wall clock in milliseconds since the epoch. */
  at: number;
  /** Process that wrote the record. */
  pid: number;
  promptTokens?: number;
  cachedTokens?: number;
  computedTokens?: number;
  detail?: string;
}

/** Writes records. */
export interface Recorder {
  readonly records: EndpointRecord[];
  record(kind: EndpointRecord['kind'], id: string, fields?: Partial<EndpointRecord>): void;
}

/** Creates a recorder that also appends to the file `path`, so that records outlive the process. */
export function createRecorder(path: string | undefined): Recorder {
  const records: EndpointRecord[] = [];

  return { records, record };

  function record(
    kind: EndpointRecord['kind'],
    id: string,
    fields: Partial<EndpointRecord> = {},
  ): void {
    const entry = { kind, id, at: Date.now(), pid: process.pid, ...fields };
    records.push(entry);
    if (path !== undefined) appendFileSync(path, `${JSON.stringify(entry)}\n`);
  }
}
