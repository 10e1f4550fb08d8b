/** How an upstream ends one answer, told to the stand-in in the query of the request. */

/** How the end of an answer is marked. */
export type Framing = 'length' | 'chunks' | 'none';

/** How the upstream ends an answer. */
export type Ending =
  | 'complete'
  /** All bytes, then the end of its side of the connection only. */
  | 'half-close'
  /** The end of its side of the connection in the middle of the answer. */
  | 'cut'
  /** The head is cut off. */
  | 'head-cut'
  /** Reset together with the last bytes, or later. */
  | 'reset'
  | 'reset-later'
  /** Nothing more, on an open connection. */
  | 'silence'
  /** The process is killed. */
  | 'kill';

/** Where an answer is cut. */
export type CutPoint = 'before-first' | 'between' | 'inside';

/** The plan of one answer. */
export interface AnswerPlan {
  id: string;
  isStream: boolean;
  framing: Framing;
  ending: Ending;
  cutPoint: CutPoint;
  /** Events of a stream, and how many of them are sent before the cut. */
  events: number;
  cutAfter: number;
  /** Time between the last bytes and a later reset, or the end of the process, in ms. */
  delayMs: number;
  /** Whether the process leaves a part of the request unread. */
  leavesUnread: boolean;
  /** Whether the process ends other answers completely right before its own end. */
  endsOthers: boolean;
}

const QUERY = 'plan=';

/** Query of a request for an answer with this plan. */
export const planQuery = (plan: AnswerPlan): string =>
  `${QUERY}${Buffer.from(JSON.stringify(plan)).toString('base64url')}`;

/** Reads the plan from the target of a request; undefined without one. */
export const readPlan = (target: string): AnswerPlan | undefined => {
  const at = target.indexOf(QUERY);
  if (at < 0) return undefined;
  const text = Buffer.from(target.slice(at + QUERY.length), 'base64url').toString();
  return JSON.parse(text) as AnswerPlan;
};

/** Bytes of one event. */
export const eventText = (id: number): string => `id: ${id}\ndata: token ${id}\n\n`;

/** Complete body of an answer after the event with number `resumeAfter`. */
export const bodyOf = ({ id, isStream, events }: AnswerPlan, resumeAfter = 0): string => {
  if (!isStream) return JSON.stringify({ id, lines: Array.from({ length: 40 }, (_, n) => n) });
  const numbers = Array.from({ length: events - resumeAfter }, (_, n) => resumeAfter + n + 1);
  return numbers.map(eventText).join('');
};

/** The part of the body that is sent before the cut. */
export const partOf = (plan: AnswerPlan): string => {
  const whole = bodyOf(plan);
  if (plan.cutPoint === 'before-first') return '';
  if (!plan.isStream) return whole.slice(0, Math.floor(whole.length / 2));
  const sent = Array.from({ length: plan.cutAfter }, (_, n) => eventText(n + 1)).join('');
  return plan.cutPoint === 'inside' ? `${sent}id: ${plan.cutAfter + 1}\nda` : sent;
};
