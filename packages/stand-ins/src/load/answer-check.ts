/**
 * Checks that an answer is whole and the caller's own, against the text that its prompt implies.
 */
import { createHash } from 'node:crypto';
import { answerText, completionId, tokenText } from '../engine/text.js';

/** What a call came to, as its caller can tell. */
export type CallOutcome = 'answered' | 'not-run' | 'unknown' | 'lost' | 'wrong' | 'error';

/** An outcome and its reason; the reason of an answer is empty. */
export interface Verdict {
  outcome: CallOutcome;
  reason: string;
}

const WHOLE: Verdict = { outcome: 'answered', reason: '' };
const wrong = (reason: string): Verdict => ({ outcome: 'wrong', reason });

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** The verdict that a refusal's body asks for. */
export const refusalVerdict = (text: string, status: number): Verdict => {
  const err = (parse(text) as { error?: { outcome?: string; reason?: string } } | undefined)?.error;
  const outcome = err?.outcome;
  if (outcome !== 'not-run' && outcome !== 'unknown') {
    return { outcome: 'error', reason: `status-${status}` };
  }
  return { outcome, reason: err?.reason ?? '' };
};

interface CompletionData {
  id?: string;
  choices?: { text?: string }[];
}

/** Checks a stream while it arrives. */
export interface StreamCheck {
  /** Takes a piece of the body; the number of tokens that it completed. */
  feed(text: string): number;
  /** The verdict on a body that ended cleanly (`true`) or was cut (`false`). */
  end(clean: boolean): Verdict;
}

/** Creates a check of the streamed answer to `prompt`. */
export const createStreamCheck = (prompt: string, maxTokens: number): StreamCheck => {
  const id = completionId(prompt);
  let rest = '';
  let next = 0;
  let done = false;
  let verdict: Verdict | undefined;

  const takeToken = (data: string): boolean => {
    const value = parse(data) as CompletionData | undefined;
    const own = value?.id === id && value.choices?.[0]?.text === tokenText(prompt, next);
    if (!own || done || next >= maxTokens) {
      verdict ??= wrong(`token-${next}`);
      return false;
    }
    next += 1;
    return true;
  };

  const takeEvent = (event: string): boolean => {
    const fields = new Map(
      event.split('\n').map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon), line.slice(colon + 1).trimStart()] as const;
      }),
    );
    const data = fields.get('data');
    if (data === undefined) return false;
    if (fields.get('event') === 'error') {
      verdict ??= refusalVerdict(data, 200);
      return false;
    }
    if (data === '[DONE]') {
      done = true;
      return false;
    }
    return takeToken(data);
  };

  return {
    feed: (text) => {
      const events = (rest + text).split('\n\n');
      rest = events.pop() ?? '';
      return events.filter(takeEvent).length;
    },
    end: (clean) => {
      if (verdict) return verdict;
      if (!clean) return { outcome: 'lost', reason: 'cut' };
      const whole = done && next === maxTokens && rest === '';
      return whole ? WHOLE : wrong('short');
    },
  };
};

/** Checks an answer that is not streamed. */
export const checkCompletion = (text: string, prompt: string, maxTokens: number): Verdict => {
  const value = parse(text) as CompletionData | undefined;
  const own = value?.id === completionId(prompt);
  const whole = value?.choices?.[0]?.text === answerText(prompt, maxTokens);
  return own && whole ? WHOLE : wrong('text');
};

/** Checks the answer of a service stand-in to the call with this path, key and body. */
export const checkService = (
  text: string,
  path: string,
  key: string | undefined,
  body: string,
): Verdict => {
  const value = parse(text) as { path?: string; key?: string; bodyHash?: string } | undefined;
  const hash = createHash('sha256').update(body).digest('hex');
  const own = value?.path === path && value.bodyHash === hash;
  return own && (value.key ?? undefined) === key ? WHOLE : wrong('answer');
};
