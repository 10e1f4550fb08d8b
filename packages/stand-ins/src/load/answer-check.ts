/**
 * Checks that a response is complete and belongs to its request: its text follows from the prompt.
 */
import { createHash } from 'node:crypto';
import { answerText, completionId, tokenText } from '../engine/text.js';

/** Outcome of a call from the caller's point of view. */
export type CallOutcome = 'answered' | 'not-run' | 'unknown' | 'lost' | 'wrong' | 'error';

/** An outcome and its reason; the reason is empty for `answered`. */
export interface Verdict {
  outcome: CallOutcome;
  reason: string;
}

const ANSWERED: Verdict = { outcome: 'answered', reason: '' };
const wrong = (reason: string): Verdict => ({ outcome: 'wrong', reason });

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Derives the verdict from the error body of a refusal. */
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

/** Checks a streamed response incrementally. */
export interface StreamCheck {
  /** Processes a chunk of the body; returns the number of tokens that it completed. */
  feed(text: string): number;
  /**
   * Returns the verdict; `clean` is false if the connection was lost before the end of the body.
   */
  end(clean: boolean): Verdict;
}

/** Creates a check for the streamed response to `prompt`. */
export const createStreamCheck = (prompt: string, maxTokens: number): StreamCheck => {
  const id = completionId(prompt);
  let buffered = '';
  let nextToken = 0;
  let done = false;
  let verdict: Verdict | undefined;

  const checkToken = (data: string): boolean => {
    const value = parse(data) as CompletionData | undefined;
    const isExpected =
      value?.id === id && value.choices?.[0]?.text === tokenText(prompt, nextToken);
    if (!isExpected || done || nextToken >= maxTokens) {
      verdict ??= wrong(`token-${nextToken}`);
      return false;
    }
    nextToken += 1;
    return true;
  };

  const checkEvent = (event: string): boolean => {
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
    return checkToken(data);
  };

  return {
    feed: (text) => {
      const events = (buffered + text).split('\n\n');
      buffered = events.pop() ?? '';
      return events.filter(checkEvent).length;
    },
    end: (clean) => {
      if (verdict) return verdict;
      if (!clean) return { outcome: 'lost', reason: 'cut' };
      const isComplete = done && nextToken === maxTokens && buffered === '';
      return isComplete ? ANSWERED : wrong('short');
    },
  };
};

/** Checks a response that is not streamed. */
export const checkCompletion = (text: string, prompt: string, maxTokens: number): Verdict => {
  const value = parse(text) as CompletionData | undefined;
  const hasExpectedId = value?.id === completionId(prompt);
  const hasExpectedText = value?.choices?.[0]?.text === answerText(prompt, maxTokens);
  return hasExpectedId && hasExpectedText ? ANSWERED : wrong('text');
};

/** Checks a service stand-in's response to the call with this path, key and body. */
export const checkService = (
  text: string,
  path: string,
  key: string | undefined,
  body: string,
): Verdict => {
  const value = parse(text) as { path?: string; key?: string; bodyHash?: string } | undefined;
  const hash = createHash('sha256').update(body).digest('hex');
  const isExpected = value?.path === path && value.bodyHash === hash;
  return isExpected && (value.key ?? undefined) === key ? ANSWERED : wrong('answer');
};
