import type { Dispatch, Frame, Hello } from '@plantaindrum/link';
import type { CallResult, CallSpec } from '../../src/harness/caller.js';
import { call } from '../../src/harness/caller.js';
import type { RecordedFrame } from '../../src/harness/link-recorder.js';
import { until } from '../../src/harness/until.js';

/** One call of a golden session, as the caller and the links saw it. */
export interface SessionCall {
  call: string;
  request: Record<string, unknown>;
  link: string[];
  answer: Record<string, unknown>;
}

const decoder = new TextDecoder();
const SEEN_HEADERS = [
  'content-type',
  'x-plantaindrum-outcome',
  'x-plantaindrum-reason',
  'idempotency-key',
  'last-event-id',
];

const headersSeen = (headers: Record<string, unknown>): Record<string, unknown> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => SEEN_HEADERS.includes(name)));

const dispatchText = (frame: Dispatch): string => {
  const { organisation, priority, mayNotRepeat, method, path, idempotency } = frame;
  const rules = [
    `class ${frame.class}`,
    `priority ${priority}`,
    ...(mayNotRepeat ? ['may not repeat'] : []),
    ...(idempotency ? [`key ${idempotency.key}`] : []),
  ];
  return `dispatch ${method} ${path} for ${organisation}, ${rules.join(', ')}, ${frame.body.length} bytes`;
};

/** A frame as a line; load figures, time left and ids change from run to run and are left out. */
const frameText = (frame: Frame | Hello): string | undefined => {
  switch (frame.t) {
    case 'dispatch':
      return dispatchText(frame);
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

/** Frames as lines; the chunks between two others become one line, however they were cut. */
const frameLines = (frames: RecordedFrame[]): string[] => {
  const lines: string[] = [];
  let text = '';
  const flush = (): void => {
    const tokens = text.split('\n').filter((line) => line.startsWith('id:')).length;
    if (text !== '') lines.push(`< ${text.length} bytes, ${tokens} tokens`);
    text = '';
  };
  frames.forEach(({ direction, frame }) => {
    if (frame.t === 'chunk') text += decoder.decode(frame.data);
    const line = frameText(frame);
    if (line === undefined) return;
    flush();
    lines.push(`${direction === 'to-target' ? '>' : '<'} ${line}`);
  });
  return lines;
};

const refusalSeen = (body: string): unknown => {
  const { error } = JSON.parse(body) as { error: Record<string, unknown> };
  return { ...error, ...('retry_after_ms' in error ? { retry_after_ms: '(ms)' } : {}) };
};

const eventText = (data: string): string => {
  if (!data.startsWith('{')) return data;
  const { choices } = JSON.parse(data) as { choices: { text: string }[] };
  return choices.map((choice) => choice.text).join('');
};

const answerSeen = (result: CallResult): Record<string, unknown> => ({
  outcome: result.outcome,
  status: result.status,
  headers: {
    ...headersSeen(result.headers),
    ...('retry-after' in result.headers ? { 'retry-after': '(s)' } : {}),
  },
  ...(result.events.length > 0 ? { tokens: result.events.map(eventText) } : {}),
  ...(result.events.length === 0 && result.outcome === 'answered'
    ? { body: JSON.parse(result.body) as unknown }
    : {}),
  ...(result.events.length === 0 && result.outcome !== 'answered'
    ? { error: refusalSeen(result.body) }
    : {}),
});

const requestSeen = (spec: CallSpec): Record<string, unknown> => ({
  path: spec.path,
  key: spec.key,
  ...(spec.class === undefined ? {} : { class: spec.class }),
  ...(spec.idempotencyKey === undefined ? {} : { idempotencyKey: spec.idempotencyKey }),
  body: spec.body,
});

const settled = (frames: RecordedFrame[]): boolean => {
  const opened = frames.filter(({ frame }) => frame.t === 'dispatch').length;
  const closed = frames.filter(({ frame }) => ['end', 'not-run', 'unknown'].includes(frame.t));
  return closed.length >= opened;
};

/** Makes the calls one after the other and writes down what caller and links saw. */
export const recordSession = async (
  calls: [string, CallSpec][],
  frames: RecordedFrame[],
): Promise<SessionCall[]> => {
  const session: SessionCall[] = [];
  for (const [name, spec] of calls) {
    const from = frames.length;
    const result = await call(spec);
    await until('the attempt has ended on its link', () => settled(frames.slice(from)));
    session.push({
      call: name,
      request: requestSeen(spec),
      link: frameLines(frames.slice(from)),
      answer: answerSeen(result),
    });
  }
  return session;
};
