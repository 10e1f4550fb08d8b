/** Type guards for decoded frames. */

import { isObject } from '@plantaindrum/common';
import type { Frame, Hello } from './messages.js';

type Check = (value: unknown) => boolean;
type Shape = Record<string, Check>;

const isText: Check = (value) => typeof value === 'string';
const isFlag: Check = (value) => typeof value === 'boolean';
const isAnything: Check = () => true;
const isBytes: Check = (value) => value instanceof Uint8Array;
const isInteger: Check = (value) => Number.isSafeInteger(value);
const isCount: Check = (value) => Number.isSafeInteger(value) && (value as number) >= 0;
const isFinite: Check = (value) => Number.isFinite(value);
const isAttemptId: Check = (value) => typeof value === 'string' && /^[^:]+:\d+$/.test(value);

const oneOf =
  (...allowed: string[]): Check =>
  (value) =>
    typeof value === 'string' && allowed.includes(value);

const optional =
  (check: Check): Check =>
  (value) =>
    value === undefined || check(value);

const isTextMap: Check = (value) => isObject(value) && Object.values(value).every(isText);

const hasShape = (value: unknown, shape: Shape): boolean =>
  isObject(value) && Object.entries(shape).every(([key, check]) => check(value[key]));

const isLoad: Check = (value) =>
  hasShape(value, {
    queued: isCount,
    running: isCount,
    drainPerSecond: isFinite,
    leaving: isFlag,
  });

const isIdempotency: Check = (value) => hasShape(value, { key: isText, bodyHash: isText });

const helloShape: Shape = {
  v: isInteger,
  role: oneOf('entry', 'agent'),
  node: isText,
  instance: isText,
  dataCentre: isText,
  region: isText,
  intentOffset: isInteger,
};

const shapes: Record<Frame['t'], Shape> = {
  ping: { seq: isCount, intentOffset: isInteger },
  pong: { seq: isCount, intentOffset: isInteger, load: optional(isLoad) },
  dispatch: {
    id: isAttemptId,
    organisation: isText,
    class: isText,
    priority: oneOf('live', 'normal', 'background'),
    mayNotRepeat: isFlag,
    budgetMs: isFinite,
    method: isText,
    path: isText,
    headers: isTextMap,
    body: isBytes,
    idempotency: optional(isIdempotency),
    resumeAfter: optional(isText),
  },
  cancel: { id: isAttemptId },
  query: { id: isAttemptId, headReceived: isFlag, received: isCount },
  credit: { id: isAttemptId, bytes: isCount },
  started: { id: isAttemptId },
  head: { id: isAttemptId, status: isCount, headers: isTextMap },
  chunk: { id: isAttemptId, offset: isCount, data: isBytes },
  end: { id: isAttemptId, length: isCount, load: isLoad },
  'not-run': { id: isAttemptId, reason: isText, retryAfterMs: isFinite, load: isLoad },
  unknown: { id: isAttemptId, reason: isText, load: isLoad },
  'in-progress': { id: isAttemptId, started: isFlag },
  leaving: {},
  call: { seq: isCount, method: isText, args: isAnything },
  reply: { seq: isCount, ok: isFlag, value: isAnything },
  note: { method: isText, args: isAnything },
};

/** Whether a decoded value is a frame. */
export const isFrame = (value: unknown): value is Frame => {
  if (!isObject(value) || typeof value.t !== 'string') return false;
  if (!Object.hasOwn(shapes, value.t)) return false;
  return hasShape(value, shapes[value.t as Frame['t']]);
};

/** Whether a decoded value is a hello of any version. */
export const isHello = (value: unknown): value is Omit<Hello, 'v'> & { v: number } =>
  isObject(value) && value.t === 'hello' && hasShape(value, helloShape);
