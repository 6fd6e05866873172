/** Parses model requests in the common JSON formats and estimates their size in tokens. */

import { createHash } from 'node:crypto';
import { createRejection, type Problem } from './problem.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 256;
/** Length in characters of the prompt prefix that is hashed to find a likely cached prefix. */
const PREFIX_LENGTH = 2_048;
const MAX_OUTPUT_TOKENS = 1_000_000;

/** The properties of a model request that scheduling needs. */
export interface ModelRequest {
  model: string;
  promptTokens: number;
  outputTokens: number;
  prefixHash: string;
}

export type ParsedModelRequest =
  { kind: 'parsed'; request: ModelRequest } | { kind: 'refused'; problem: Problem };

/** Parses the body of a request to `/v1/chat/completions` or `/v1/completions`. */
export function parseModelRequest(body: Buffer): ParsedModelRequest {
  const fields = tryParseObject(body);
  if (fields === undefined) return reject('the body is not a JSON object');
  const { model } = fields;
  if (typeof model !== 'string' || model === '') return reject("'model' must be a string");
  const prompt = tryGetPrompt(fields);
  if (prompt === undefined) return reject("'messages' or 'prompt' is missing or malformed");
  const limit = fields.max_completion_tokens ?? fields.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
  if (!isTokenLimit(limit)) return reject("'max_tokens' must be a positive integer");
  const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
  const prefixHash = hashPrefix(model, prompt);
  return {
    kind: 'parsed',
    request: { model, promptTokens, outputTokens: limit, prefixHash },
  };
}

function tryParseObject(body: Buffer): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

function tryGetPrompt(fields: Record<string, unknown>): string | undefined {
  const { messages, prompt } = fields;
  if (typeof prompt === 'string') return prompt;
  if (!Array.isArray(messages) || messages.length === 0) return undefined;
  const parts: string[] = [];
  for (const message of messages as unknown[]) {
    if (typeof message !== 'object' || message === null) return undefined;
    const { role, content } = message as { role?: unknown; content?: unknown };
    if (typeof role !== 'string') return undefined;
    parts.push(typeof content === 'string' ? content : JSON.stringify(content ?? ''));
  }
  return parts.join('\n');
}

function isTokenLimit(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAX_OUTPUT_TOKENS;
}

function hashPrefix(model: string, prompt: string): string {
  const head = prompt.slice(0, PREFIX_LENGTH);
  return createHash('sha256').update(`${model}\n${head}`).digest('base64url').slice(0, 16);
}

function reject(detail: string): ParsedModelRequest {
  return { kind: 'refused', problem: createRejection('bad_request', detail) };
}
