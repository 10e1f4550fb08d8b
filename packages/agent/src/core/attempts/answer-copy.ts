import type { ClaimOutcome } from '@plantaindrum/requests';
import type { AnswerObserver } from './run-attempt.js';

/** Longer answers are not stored with their idempotency key. */
const MAX_COPIED_BYTES = 768;

/** Records a small answer while it is forwarded. */
export interface AnswerCopy extends AnswerObserver {
  /** The answer in the form that a claim stores; without a body if it was too long. */
  outcome(): ClaimOutcome;
}

/** Creates an empty copy. */
export const createAnswerCopy = (): AnswerCopy => {
  let status = 0;
  let contentType: string | undefined;
  let chunks: Uint8Array[] | undefined = [];
  let bytes = 0;

  return {
    head: (code, headers) => {
      status = code;
      contentType = headers['content-type'];
    },
    data: (chunk) => {
      bytes += chunk.length;
      if (bytes > MAX_COPIED_BYTES) chunks = undefined;
      chunks?.push(chunk);
    },
    outcome: () => ({
      status,
      ...(contentType !== undefined && { contentType }),
      ...(chunks && { body: Buffer.concat(chunks).toString('base64') }),
    }),
  };
};
