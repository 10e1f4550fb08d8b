import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';

/** A call at the callers' door. */
export interface CallSpec {
  /** Base address of the entry. */
  url: string;
  path: string;
  key: string;
  /** Class header; without it the route or the organisation's default decides. */
  class?: string;
  idempotencyKey?: string;
  body?: unknown;
  method?: 'GET' | 'POST';
  signal?: AbortSignal;
  /** Sees each SSE data line of a streamed answer as it arrives. */
  onEvent?: (data: string) => void;
}

/** What became of a call, as its caller sees it. */
export type CallOutcome = 'answered' | 'not-run' | 'unknown' | 'error' | 'broken';

/** A call's result; `broken` is a connection that ended with no explanation. */
export interface CallResult {
  outcome: CallOutcome;
  status: number;
  /** Reason of a refusal, empty for an answer. */
  reason: string;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** SSE data lines of a streamed answer. */
  events: string[];
  firstByteMs: number;
  wholeMs: number;
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

const refusalOf = (text: string): { outcome: CallOutcome; reason: string } => {
  try {
    const { error } = JSON.parse(text) as RefusalBody;
    const outcome = error?.outcome === 'not-run' || error?.outcome === 'unknown';
    if (outcome) return { outcome: error.outcome as CallOutcome, reason: error.reason ?? '' };
  } catch {
    // Not a refusal of ours: the status alone speaks.
  }
  return { outcome: 'error', reason: '' };
};

interface SseEvent {
  event: string;
  data: string;
}

const parseBlock = (block: string): SseEvent => {
  const field = (name: string): string =>
    block
      .split('\n')
      .filter((line) => line.startsWith(`${name}:`))
      .map((line) => line.slice(name.length + 1).trimStart())
      .join('\n');
  return { event: field('event'), data: field('data') };
};

/** Splits a text that arrives in pieces into SSE events. */
const createSseReader = (onEvent: (event: SseEvent) => void) => {
  let rest = '';
  return (text: string): void => {
    rest += text;
    for (let end = rest.indexOf('\n\n'); end >= 0; end = rest.indexOf('\n\n')) {
      const block = rest.slice(0, end);
      rest = rest.slice(end + 2);
      if (block.trim() !== '') onEvent(parseBlock(block));
    }
  };
};

const headersOf = (spec: CallSpec): Record<string, string> => ({
  authorization: `Bearer ${spec.key}`,
  ...(spec.body === undefined ? {} : { 'content-type': 'application/json' }),
  ...(spec.class === undefined ? {} : { 'x-plantaindrum-class': spec.class }),
  ...(spec.idempotencyKey === undefined ? {} : { 'idempotency-key': spec.idempotencyKey }),
});

const judge = (result: CallResult, streamed: boolean, failed?: SseEvent): CallResult => {
  if (failed) return { ...result, ...refusalOf(failed.data) };
  if (result.status >= 400) return { ...result, ...refusalOf(result.body) };
  const whole = !streamed || result.events.at(-1) === '[DONE]';
  return { ...result, outcome: whole ? 'answered' : 'broken' };
};

const read = async (
  res: Dispatcher.ResponseData,
  begun: CallResult,
  onEvent?: (data: string) => void,
): Promise<CallResult> => {
  const streamed = String(res.headers['content-type'] ?? '').startsWith(SSE_TYPE);
  const events: string[] = [];
  const texts: string[] = [];
  let failed: SseEvent | undefined;
  const feed = createSseReader((event) => {
    if (event.event === 'error') {
      failed = event;
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
      if (streamed) feed(text);
    }
    ended = true;
  } catch {
    // A refused stream is destroyed after its error event; without one it is broken.
  }
  const result = { ...begun, body: texts.join(''), events };
  return ended || failed ? judge(result, streamed, failed) : result;
};

/** Makes a call and says what became of it; it never rejects. */
export const call = async (spec: CallSpec): Promise<CallResult> => {
  const begun = performance.now();
  const result: CallResult = {
    outcome: 'broken',
    status: 0,
    reason: '',
    headers: {},
    body: '',
    events: [],
    firstByteMs: 0,
    wholeMs: 0,
  };
  try {
    const res = await request(new URL(spec.path, spec.url), {
      dispatcher: connections,
      method: spec.method ?? (spec.body === undefined ? 'GET' : 'POST'),
      headers: headersOf(spec),
      ...(spec.body === undefined ? {} : { body: JSON.stringify(spec.body) }),
      ...(spec.signal ? { signal: spec.signal } : {}),
    });
    result.status = res.statusCode;
    result.headers = res.headers;
    result.firstByteMs = performance.now() - begun;
    const done = await read(res, result, spec.onEvent);
    return { ...done, wholeMs: performance.now() - begun };
  } catch {
    return { ...result, wholeMs: performance.now() - begun };
  }
};
