/** Seeded random traces of the kinds of requests that users send. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kind of request in a trace. */
export interface RequestKind {
  name: string;
  team: string;
  tier: 'now' | 'soon' | 'later';
  /** Share of all requests. */
  share: number;
  promptCharacters: number;
  outputTokens: number;
  usefulMs: number;
  /** Whether the prompt begins with one of the shared catalogues. */
  hasCatalogue: boolean;
}

/** One request of the trace. */
export interface TraceRequest {
  /** Time at which the request is sent, in milliseconds after the start of the trace. */
  offsetMs: number;
  kind: RequestKind;
  body: object;
  /** Number of the shared catalogue, if any. */
  catalogue: number | undefined;
}

export const CATALOGUE_COUNT = 24;
/** Characters per catalogue; four characters make one token. */
export const CATALOGUE_CHARACTERS = 10_000;

const requestKinds: RequestKind[] = [
  createKind('label', 'sorters', 'now', 0.4, 100, 4, 1_500),
  createKind('counter question', 'shops', 'now', 0.1, 400, 25, 3_000),
  createKind('explanation', 'weighers', 'soon', 0.2, 400, 60, 5_000),
  createKind('summary', 'buyers', 'later', 0.1, 6_000, 150, 8_000),
  { ...createKind('draft', 'drafts', 'later', 0.2, 10_200, 40, 6_000), hasCatalogue: true },
];

function createKind(
  name: string,
  team: string,
  tier: RequestKind['tier'],
  share: number,
  promptCharacters: number,
  outputTokens: number,
  usefulMs: number,
): RequestKind {
  return { name, team, tier, share, promptCharacters, outputTokens, usefulMs, hasCatalogue: false };
}

/** Options of a trace. */
export interface TraceOptions {
  seed: number;
  seconds: number;
  perSecond: number;
  /** Arrival rate relative to `perSecond` at a time after the start of the trace. */
  getIntensity?: (offsetMs: number) => number;
  /** Keeps only requests of these tiers, which arrive at the same times as in the whole trace. */
  tiers?: readonly string[];
}

/** Creates a trace. The same options give the same trace. */
export function createTrace(options: TraceOptions): TraceRequest[] {
  const random = xoroshiro128plus(options.seed);
  const draw = () => uniformFloat64(random);
  const requests: TraceRequest[] = [];
  let offsetMs = 0;
  while (offsetMs < options.seconds * 1_000) {
    const intensity = options.getIntensity?.(offsetMs) ?? 1;
    offsetMs += (-Math.log(1 - draw()) * 1_000) / (options.perSecond * intensity);
    const chosen = chooseKind(draw());
    const catalogue = chosen.hasCatalogue ? chooseCatalogue(draw()) : undefined;
    const body = createBody(chosen, requests.length, options.seed, catalogue);
    requests.push({ offsetMs, kind: chosen, body, catalogue });
  }
  const { tiers } = options;
  return tiers === undefined
    ? requests
    : requests.filter((request) => tiers.includes(request.kind.tier));
}

function chooseKind(sample: number): RequestKind {
  let sum = 0;
  for (const candidate of requestKinds) {
    sum += candidate.share;
    if (sample < sum) return candidate;
  }
  return requestKinds[0] as RequestKind;
}

/** Chooses a catalogue. A few are requested often: popularity falls with the catalogue number. */
function chooseCatalogue(sample: number): number {
  return Math.min(CATALOGUE_COUNT - 1, Math.floor(CATALOGUE_COUNT * sample * sample));
}

function createBody(
  chosen: RequestKind,
  index: number,
  seed: number,
  catalogue: number | undefined,
): object {
  const head =
    catalogue === undefined ? '' : createText(`catalogue ${catalogue}`, CATALOGUE_CHARACTERS);
  const rest = createText(`${chosen.name} ${seed} ${index}`, chosen.promptCharacters - head.length);
  const model = 'kernel-lm';
  const messages = [{ role: 'user', content: head + rest }];
  return { model, max_tokens: chosen.outputTokens, stream: true, messages };
}

function createText(words: string, length: number): string {
  return `${words}; `.repeat(Math.ceil(length / (words.length + 2))).slice(0, length);
}
