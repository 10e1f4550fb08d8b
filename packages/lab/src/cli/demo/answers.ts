/** Checks answers against the text that the stand-ins derive from a call, not by status codes. */
import { checkCompletion, checkService, createStreamCheck } from '@plantaindrum/stand-ins';
import type { LoadCall } from '../../harness/load.js';

interface CompletionBody {
  prompt: string;
  max_tokens: number;
  stream: boolean;
}

const isCompletion = (body: unknown): body is CompletionBody =>
  typeof (body as CompletionBody | undefined)?.prompt === 'string';

const isCorrectCompletion = (text: string, body: CompletionBody): boolean => {
  if (!body.stream) {
    return checkCompletion(text, body.prompt, body.max_tokens).outcome === 'answered';
  }
  const check = createStreamCheck(body.prompt, body.max_tokens);
  check.feed(text);
  return check.end(true).outcome === 'answered';
};

/** Whether the answer of an answered call is complete and belongs to this call. */
export const isCorrectAnswer = ({ spec, result }: LoadCall): boolean => {
  if (isCompletion(spec.body)) return isCorrectCompletion(result.body, spec.body);
  const sent = spec.body === undefined ? '' : JSON.stringify(spec.body);
  const checked = checkService(result.body, spec.path, spec.idempotencyKey, sent);
  return checked.outcome === 'answered';
};
