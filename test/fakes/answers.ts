/** Answers of a fake engine: fixed by the request, so that tests can compare whole answers. */

import { createHash } from 'node:crypto';

/** The fields of a request that a fake engine reads. */
export interface FakeModelRequest {
  model: string;
  messages?: { role: string; content: string }[];
  prompt?: string;
  max_tokens?: number;
  stream?: boolean;
}

const DEFAULT_TOKENS = 16;

/** Returns the prompt as one text. */
export function getPrompt(request: FakeModelRequest): string {
  if (request.prompt !== undefined) return request.prompt;
  return (request.messages ?? []).map((message) => message.content).join('\n');
}

/** Returns the tokens of the answer. */
export function getAnswerTokens(request: FakeModelRequest): string[] {
  const seed = createHash('sha256').update(getPrompt(request)).digest('hex').slice(0, 8);
  const count = request.max_tokens ?? DEFAULT_TOKENS;
  return Array.from({ length: count }, (_unused, index) => `${seed}.${index} `);
}

/** Returns the whole text of the answer. */
export function getAnswerText(request: FakeModelRequest): string {
  return getAnswerTokens(request).join('');
}

/** Returns one server-sent event of a streamed answer; `content` is undefined in the last one. */
export function toChunkEvent(model: string, id: string, content: string | undefined): string {
  const finished = content === undefined;
  const choice = {
    index: 0,
    delta: finished ? {} : { content },
    finish_reason: finished ? 'stop' : null,
  };
  const body = { id, object: 'chat.completion.chunk', created: 0, model, choices: [choice] };
  return `data: ${JSON.stringify(body)}\n\n`;
}

/** Returns the JSON body of an answer that is not streamed. */
export function toCompletionBody(
  request: FakeModelRequest,
  id: string,
  promptTokens: number,
  cachedTokens: number,
): string {
  const tokens = getAnswerTokens(request);
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
