import type { Dispatch, Frame, Hello } from '@plantaindrum/link';
import type { CallResult, CallSpec } from '../../src/harness/caller.js';
import { call } from '../../src/harness/caller.js';
import type { RecordedFrame } from '../../src/harness/link-recorder.js';
import { until } from '../../src/harness/until.js';

/** One call of a golden session: its request, its frames on the links and its answer. */
export interface SessionCall {
  call: string;
  request: Record<string, unknown>;
  link: string[];
  answer: Record<string, unknown>;
}

const decoder = new TextDecoder();
const RECORDED_HEADERS = [
  'content-type',
  'x-plantaindrum-outcome',
  'x-plantaindrum-reason',
  'idempotency-key',
  'last-event-id',
];

const selectHeaders = (headers: Record<string, unknown>): Record<string, unknown> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => RECORDED_HEADERS.includes(name)));

const formatDispatch = (frame: Dispatch): string => {
  const { organisation, priority, mayNotRepeat, method, path, idempotency } = frame;
  const rules = [
    `class ${frame.class}`,
    `priority ${priority}`,
    ...(mayNotRepeat ? ['may not repeat'] : []),
    ...(idempotency ? [`key ${idempotency.key}`] : []),
  ];
  return `dispatch ${method} ${path} for ${organisation}, ${rules.join(', ')}, ${frame.body.length} bytes`;
};

/** Formats a frame as a line without the values that vary from run to run: load, time left and ids. */
const formatFrame = (frame: Frame | Hello): string | undefined => {
  switch (frame.t) {
    case 'dispatch':
      return formatDispatch(frame);
    case 'head':
      return `head ${frame.status} ${String(frame.headers['content-type'])}`;
    case 'end':
      return `end after ${frame.length} bytes`;
    case 'not-run':
    case 'unknown':
      return `${frame.t}: ${frame.reason}`;
    case 'started':
    case 'cancel':
      return frame.t;
    default:
      return undefined;
  }
};

/** Formats frames as lines; consecutive chunks become one line, because their boundaries vary. */
const formatFrames = (frames: RecordedFrame[]): string[] => {
  const lines: string[] = [];
  let text = '';
  const flush = (): void => {
    const tokens = text.split('\n').filter((line) => line.startsWith('id:')).length;
    if (text !== '') lines.push(`< ${text.length} bytes, ${tokens} tokens`);
    text = '';
  };
  frames.forEach(({ direction, frame }) => {
    if (frame.t === 'chunk') text += decoder.decode(frame.data);
    const line = formatFrame(frame);
    if (line === undefined) return;
    flush();
    lines.push(`${direction === 'to-target' ? '>' : '<'} ${line}`);
  });
  return lines;
};

const describeRefusal = (body: string): unknown => {
  const { error } = JSON.parse(body) as { error: Record<string, unknown> };
  return { ...error, ...('retry_after_ms' in error ? { retry_after_ms: '(ms)' } : {}) };
};

const extractTokens = (data: string): string => {
  if (!data.startsWith('{')) return data;
  const { choices } = JSON.parse(data) as { choices: { text: string }[] };
  return choices.map((choice) => choice.text).join('');
};

const describeAnswer = (result: CallResult): Record<string, unknown> => ({
  outcome: result.outcome,
  status: result.status,
  headers: {
    ...selectHeaders(result.headers),
    ...('retry-after' in result.headers ? { 'retry-after': '(s)' } : {}),
  },
  ...(result.events.length > 0 ? { tokens: result.events.map(extractTokens) } : {}),
  ...(result.events.length === 0 && result.outcome === 'answered'
    ? { body: JSON.parse(result.body) as unknown }
    : {}),
  ...(result.events.length === 0 && result.outcome !== 'answered'
    ? { error: describeRefusal(result.body) }
    : {}),
});

const describeRequest = (spec: CallSpec): Record<string, unknown> => ({
  path: spec.path,
  key: spec.key,
  ...(spec.class === undefined ? {} : { class: spec.class }),
  ...(spec.idempotencyKey === undefined ? {} : { idempotencyKey: spec.idempotencyKey }),
  body: spec.body,
});

const haveAttemptsEnded = (frames: RecordedFrame[]): boolean => {
  const opened = frames.filter(({ frame }) => frame.t === 'dispatch').length;
  const closed = frames.filter(({ frame }) => ['end', 'not-run', 'unknown'].includes(frame.t));
  return closed.length >= opened;
};

/** Makes the calls one after the other and records each request, its frames and its answer. */
export const recordSession = async (
  calls: [string, CallSpec][],
  frames: RecordedFrame[],
): Promise<SessionCall[]> => {
  const session: SessionCall[] = [];
  for (const [name, spec] of calls) {
    const from = frames.length;
    const result = await call(spec);
    await until('the attempt has ended on its link', () => haveAttemptsEnded(frames.slice(from)));
    session.push({
      call: name,
      request: describeRequest(spec),
      link: formatFrames(frames.slice(from)),
      answer: describeAnswer(result),
    });
  }
  return session;
};
