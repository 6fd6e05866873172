/** What a stand-in engine answers: fixed by the request, so that a test can compare whole answers. */

import { createHash } from 'node:crypto';

/** The fields of a request that a stand-in looks at. */
export interface FakeModelRequest {
  model: string;
  messages?: { role: string; content: string }[];
  prompt?: string;
  max_tokens?: number;
  stream?: boolean;
}

const DEFAULT_TOKENS = 16;

/** The prompt as one text. */
export function getPrompt(request: FakeModelRequest): string {
  if (request.prompt !== undefined) return request.prompt;
  return (request.messages ?? []).map((message) => message.content).join('\n');
}

/** The tokens of the answer. */
export function getTokens(request: FakeModelRequest): string[] {
  const seed = createHash('sha256').update(getPrompt(request)).digest('hex').slice(0, 8);
  const count = request.max_tokens ?? DEFAULT_TOKENS;
  return Array.from({ length: count }, (_unused, index) => `${seed}.${index} `);
}

/** The whole text of the answer. */
export function getAnswerText(request: FakeModelRequest): string {
  return getTokens(request).join('');
}

/** One server-sent event of a streamed answer. */
export function toEvent(model: string, id: string, content: string | undefined): string {
  const finished = content === undefined;
  const choice = {
    index: 0,
    delta: finished ? {} : { content },
    finish_reason: finished ? 'stop' : null,
  };
  const body = { id, object: 'chat.completion.chunk', created: 0, model, choices: [choice] };
  return `data: ${JSON.stringify(body)}\n\n`;
}

/** The whole answer as JSON. */
export function toWholeBody(
  request: FakeModelRequest,
  id: string,
  promptTokens: number,
  cachedTokens: number,
): string {
  const tokens = getTokens(request);
  const message = { role: 'assistant', content: tokens.join('') };
  return JSON.stringify({
    id,
    object: 'chat.completion',
    created: 0,
    model: request.model,
    choices: [{ index: 0, message, finish_reason: 'stop' }],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: tokens.length,
      total_tokens: promptTokens + tokens.length,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    },
  });
}
