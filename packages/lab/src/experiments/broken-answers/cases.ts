/** The cases of the experiment: how upstreams end answers, how the answers are framed, and how busy the entry is. */

import type { Random } from '@plantaindrum/common';
import type { AnswerPlan, CutPoint, Ending, Framing } from '@plantaindrum/stand-ins';

/** Kinds of requests: streams and calls, that may be resumed or repeated or not. */
export type RequestKind = 'resumable-stream' | 'single-stream' | 'safe-call' | 'unsafe-call';

/** How busy an entry is. */
export const ENTRY_LOADS = ['idle', 'held-3-ms', 'held-20-ms', 'hundreds-at-once'] as const;
/** How busy an entry is. */
export type EntryLoad = (typeof ENTRY_LOADS)[number];

/** What becomes of the process of an upstream around the end of an answer. */
export type ProcessFate =
  | 'runs'
  | 'killed'
  /** Killed while it is leaving. */
  | 'leaving'
  /** Killed right after other answers of it have ended. */
  | 'checked'
  /** Killed, and another process listens at its address within milliseconds. */
  | 'succeeded';

/** How the answers of one case end. */
export interface EndingCase {
  name: string;
  endings: readonly Ending[];
  fate: ProcessFate;
  leavesUnread: boolean;
}

const KILLED: Pick<EndingCase, 'endings' | 'leavesUnread'> = {
  endings: ['kill'],
  leavesUnread: false,
};

/** All ways in which answers end. */
export const ENDING_CASES: readonly EndingCase[] = [
  { name: 'reset-with-last-bytes', endings: ['reset'], fate: 'runs', leavesUnread: false },
  { name: 'reset-later', endings: ['reset-later'], fate: 'runs', leavesUnread: false },
  { name: 'cut-or-half-closed', endings: ['cut'], fate: 'runs', leavesUnread: false },
  { name: 'head-cut', endings: ['head-cut'], fate: 'runs', leavesUnread: false },
  { name: 'silence', endings: ['silence'], fate: 'runs', leavesUnread: false },
  { name: 'killed', ...KILLED, fate: 'killed' },
  { name: 'killed-with-unread-bytes', ...KILLED, leavesUnread: true, fate: 'killed' },
  { name: 'killed-while-leaving', ...KILLED, fate: 'leaving' },
  { name: 'killed-during-a-check', ...KILLED, fate: 'checked' },
  { name: 'killed-with-a-successor', ...KILLED, fate: 'succeeded' },
];

/** One request of the experiment. */
export interface PlannedCall {
  kind: RequestKind;
  plan: AnswerPlan;
}

const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'none', 'none'];
const EVENTS = 8;
const MAX_RESET_DELAY_MS = 50;
const MAX_KILL_DELAY_MS = 3;

const pick = <T>(random: Random, values: readonly T[]): T =>
  values[Math.floor(random() * values.length)] as T;

const isStreamKind = (kind: RequestKind): boolean => kind.endsWith('stream');

/** Whether a request of this kind may run more than once. */
export const mayRepeat = (kind: RequestKind): boolean =>
  kind === 'resumable-stream' || kind === 'safe-call';

/**
 * Where an answer may be cut. A body without framing whose upstream ends its side of the connection between two events,
 * or after a part that is a whole, can't be told from a complete one: these are left to `undecidable`.
 */
const cutPointsOf = (ending: Ending, framing: Framing, isStream: boolean): CutPoint[] => {
  if (!isStream) return ['inside'];
  const isUndecidable = ending === 'cut' && framing === 'none';
  return isUndecidable ? ['before-first', 'inside'] : ['before-first', 'between', 'inside'];
};

/** Three of ten may be repeated: retries of a third of the requests stay within a budget of a tenth of them. */
const KINDS: readonly RequestKind[] = [
  ...(['resumable-stream', 'resumable-stream', 'safe-call'] as const),
  ...(['single-stream', 'single-stream', 'single-stream'] as const),
  ...(['unsafe-call', 'unsafe-call', 'unsafe-call', 'unsafe-call'] as const),
];

/** Of requests that come at once fewer may be repeated: a budget allows ten retries at a moment, however many come. */
const SINGLE_KINDS = KINDS.filter((kind) => !mayRepeat(kind));
const BURST_KINDS: readonly RequestKind[] = [...KINDS, ...SINGLE_KINDS, ...SINGLE_KINDS];

/** Draws a request whose answer is broken off. */
export const drawBroken = (
  random: Random,
  id: string,
  { endings, fate, leavesUnread }: EndingCase,
  load: EntryLoad,
): PlannedCall => {
  const kind = pick(random, load === 'hundreds-at-once' ? BURST_KINDS : KINDS);
  const isStream = isStreamKind(kind);
  const ending = pick(random, endings);
  const framing = pick(random, FRAMINGS);
  const cutPoint = pick(random, cutPointsOf(ending, framing, isStream));
  const maxDelayMs = ending === 'kill' ? MAX_KILL_DELAY_MS : MAX_RESET_DELAY_MS;
  const cut = { cutPoint, cutAfter: 1 + Math.floor(random() * (EVENTS - 2)) };
  const process = { leavesUnread, endsOthers: fate === 'checked' };
  const delayMs = Math.floor(random() * (maxDelayMs + 1));
  return {
    kind,
    plan: { id, isStream, framing, ending, ...cut, events: EVENTS, delayMs, ...process },
  };
};

/** Draws a request whose answer is complete. */
export const drawComplete = (random: Random, id: string, framing: Framing): PlannedCall => {
  const kind = pick(random, KINDS);
  const ending = pick(random, ['complete', 'complete', 'half-close'] as const);
  const end = { ending, cutPoint: 'between', cutAfter: 0, delayMs: 0 } as const;
  const process = { leavesUnread: false, endsOthers: false };
  return {
    kind,
    plan: { id, isStream: isStreamKind(kind), framing, events: EVENTS, ...end, ...process },
  };
};
