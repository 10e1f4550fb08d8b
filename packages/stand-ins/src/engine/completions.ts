/** `POST /v1/completions`: queues a generation and writes its tokens as they are produced. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { getHeader, readJson, sendJson } from '../http.js';
import type { Engine } from './engine.js';
import { completionBody, completionId, DONE_EVENT, tokenEvent } from './text.js';

interface CompletionRequest {
  model?: string;
  prompt?: unknown;
  max_tokens?: number;
  stream?: boolean;
  priority?: number;
}

const DEFAULT_MAX_TOKENS = 16;

const recordStart = (engine: Engine, prompt: string): void => {
  const { counts, starts } = engine;
  const id = completionId(prompt);
  counts.started += 1;
  starts.set(id, (starts.get(id) ?? 0) + 1);
};

const findRequestError = (
  engine: Engine,
  body: CompletionRequest,
): [number, string] | undefined => {
  const { models, adapters } = engine.memory;
  if (typeof body.prompt !== 'string') return [400, 'prompt must be a string'];
  if ((body.max_tokens ?? 1) < 1) return [400, 'max_tokens must be at least 1'];
  const isKnown = body.model !== undefined && (models.has(body.model) || adapters.has(body.model));
  if (!isKnown) return [404, `The model \`${body.model}\` does not exist.`];
  if (engine.faults.refuses) return [503, 'unavailable'];
  return undefined;
};

/**
 * Returns after how many tokens a fault resets this stream (Infinity: none); counts the fault down.
 */
const consumeStreamBreak = (engine: Engine): number => {
  const { breakStreams } = engine.faults;
  if (breakStreams.count <= 0) return Infinity;
  breakStreams.count -= 1;
  return breakStreams.afterTokens;
};

/** Handles one completion request. */
export const serveCompletion = async (
  engine: Engine,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> => {
  const body = await readJson<CompletionRequest>(req);
  const requestError = findRequestError(engine, body);
  if (requestError) {
    const [status, message] = requestError;
    sendJson(res, status, { error: { message, type: 'invalid_request_error', code: status } });
    return;
  }
  const { model = '', max_tokens: maxTokens = DEFAULT_MAX_TOKENS, stream = false } = body;
  const prompt = body.prompt as string;
  const resumeAfter = getHeader(req, 'last-event-id');
  const firstToken = stream && resumeAfter !== undefined ? Number(resumeAfter) + 1 : 0;
  const { counts } = engine;
  const breakAfter = stream ? consumeStreamBreak(engine) : Infinity;
  let written = 0;
  recordStart(engine, prompt);
  if (stream) {
    res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    res.flushHeaders();
  }
  const cancel = engine.memory.batch.add({
    prompt,
    maxTokens,
    priority: body.priority ?? 0,
    from: firstToken,
    onToken: (offset) => {
      counts.tokens += 1;
      if (!stream) return;
      res.write(tokenEvent(model, prompt, offset, maxTokens));
      written += 1;
      if (written >= breakAfter) req.socket.destroy();
    },
    onEnd: () => {
      counts.finished += 1;
      if (stream) {
        res.end(DONE_EVENT);
        return;
      }
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(completionBody(model, prompt, maxTokens));
    },
  });
  res.once('close', () => {
    if (res.writableEnded) return;
    counts.cancelled += 1;
    cancel();
  });
};
