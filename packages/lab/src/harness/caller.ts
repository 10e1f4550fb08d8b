import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';

/** A request to the caller server of an entry. */
export interface CallSpec {
  /** Base URL of the entry. */
  url: string;
  path: string;
  key: string;
  /** Class header; without it the class follows from the route or from the organisation's default. */
  class?: string;
  idempotencyKey?: string;
  body?: unknown;
  method?: 'GET' | 'POST';
  signal?: AbortSignal;
  /** Called with each SSE data line of a streamed response as it arrives. */
  onEvent?: (data: string) => void;
}

/** Outcome of a call, as its caller sees it. */
export type CallOutcome = 'answered' | 'not-run' | 'unknown' | 'error' | 'broken';

/** Result of a call; `broken` means that the connection ended without a full response or an error. */
export interface CallResult {
  outcome: CallOutcome;
  status: number;
  /** Reason of a refusal; empty when the call was answered. */
  reason: string;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** SSE data lines of a streamed response. */
  events: string[];
  firstByteMs: number;
  totalMs: number;
}

interface RefusalBody {
  error?: { reason?: string; outcome?: string };
}

const SSE_TYPE = 'text/event-stream';

const connections = new Agent({
  connections: 512,
  pipelining: 1,
  bodyTimeout: 60_000,
  headersTimeout: 60_000,
});

const parseRefusal = (text: string): { outcome: CallOutcome; reason: string } => {
  try {
    const { error } = JSON.parse(text) as RefusalBody;
    const outcome = error?.outcome === 'not-run' || error?.outcome === 'unknown';
    if (outcome) return { outcome: error.outcome as CallOutcome, reason: error.reason ?? '' };
  } catch {
    // The body is no refusal of an entry: only the status says what happened.
  }
  return { outcome: 'error', reason: '' };
};

interface SseEvent {
  event: string;
  data: string;
}

const parseSseEvent = (block: string): SseEvent => {
  const field = (name: string): string =>
    block
      .split('\n')
      .filter((line) => line.startsWith(`${name}:`))
      .map((line) => line.slice(name.length + 1).trimStart())
      .join('\n');
  return { event: field('event'), data: field('data') };
};

/** Splits text that arrives in chunks into SSE events. */
const createSseReader = (onEvent: (event: SseEvent) => void) => {
  let buffered = '';
  return (text: string): void => {
    buffered += text;
    for (let end = buffered.indexOf('\n\n'); end >= 0; end = buffered.indexOf('\n\n')) {
      const block = buffered.slice(0, end);
      buffered = buffered.slice(end + 2);
      if (block.trim() !== '') onEvent(parseSseEvent(block));
    }
  };
};

const buildHeaders = (spec: CallSpec): Record<string, string> => ({
  authorization: `Bearer ${spec.key}`,
  ...(spec.body === undefined ? {} : { 'content-type': 'application/json' }),
  ...(spec.class === undefined ? {} : { 'x-plantaindrum-class': spec.class }),
  ...(spec.idempotencyKey === undefined ? {} : { 'idempotency-key': spec.idempotencyKey }),
});

const classifyResult = (
  result: CallResult,
  streamed: boolean,
  errorEvent?: SseEvent,
): CallResult => {
  if (errorEvent) return { ...result, ...parseRefusal(errorEvent.data) };
  if (result.status >= 400) return { ...result, ...parseRefusal(result.body) };
  const isComplete = !streamed || result.events.at(-1) === '[DONE]';
  return { ...result, outcome: isComplete ? 'answered' : 'broken' };
};

const readResponse = async (
  res: Dispatcher.ResponseData,
  initial: CallResult,
  onEvent?: (data: string) => void,
): Promise<CallResult> => {
  const streamed = String(res.headers['content-type'] ?? '').startsWith(SSE_TYPE);
  const events: string[] = [];
  const texts: string[] = [];
  let errorEvent: SseEvent | undefined;
  const pushText = createSseReader((event) => {
    if (event.event === 'error') {
      errorEvent = event;
      return;
    }
    events.push(event.data);
    onEvent?.(event.data);
  });
  const decoder = new TextDecoder();
  let ended = false;
  try {
    for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
      const text = decoder.decode(chunk, { stream: true });
      texts.push(text);
      if (streamed) pushText(text);
    }
    ended = true;
  } catch {
    // The entry destroys a refused stream after its error event. Without that event it is broken.
  }
  const result = { ...initial, body: texts.join(''), events };
  return ended || errorEvent ? classifyResult(result, streamed, errorEvent) : result;
};

/** Makes a call and resolves to its result; the promise never rejects. */
export const call = async (spec: CallSpec): Promise<CallResult> => {
  const startedAt = performance.now();
  const result: CallResult = {
    outcome: 'broken',
    status: 0,
    reason: '',
    headers: {},
    body: '',
    events: [],
    firstByteMs: 0,
    totalMs: 0,
  };
  try {
    const res = await request(new URL(spec.path, spec.url), {
      dispatcher: connections,
      method: spec.method ?? (spec.body === undefined ? 'GET' : 'POST'),
      headers: buildHeaders(spec),
      ...(spec.body === undefined ? {} : { body: JSON.stringify(spec.body) }),
      ...(spec.signal ? { signal: spec.signal } : {}),
    });
    result.status = res.statusCode;
    result.headers = res.headers;
    result.firstByteMs = performance.now() - startedAt;
    const done = await readResponse(res, result, spec.onEvent);
    return { ...done, totalMs: performance.now() - startedAt };
  } catch {
    return { ...result, totalMs: performance.now() - startedAt };
  }
};
