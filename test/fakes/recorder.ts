/** Ground truth of a stand-in: what arrived, started and ended, written down at the endpoint. */

import { appendFileSync } from 'node:fs';

/** One thing that happened at the endpoint. */
export interface EndpointRecord {
  kind: 'arrived' | 'started' | 'firstToken' | 'finished' | 'cancelled' | 'resumed' | 'order';
  id: string;
  /** Wall clock, milliseconds. */
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
  record(kind: EndpointRecord['kind'], id: string, more?: Partial<EndpointRecord>): void;
}

/** Creates a recorder that also appends to `path`, so that records outlive the process. */
export function createRecorder(path: string | undefined): Recorder {
  const records: EndpointRecord[] = [];

  return { records, record: note };

  function note(
    kind: EndpointRecord['kind'],
    id: string,
    more: Partial<EndpointRecord> = {},
  ): void {
    const record = { kind, id, at: Date.now(), pid: process.pid, ...more };
    records.push(record);
    if (path !== undefined) appendFileSync(path, `${JSON.stringify(record)}\n`);
  }
}
