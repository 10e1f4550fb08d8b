import { createByteBuffer } from '@plantaindrum/common';
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
  const body = createByteBuffer();
  let isTooLong = false;

  return {
    head: (code, headers) => {
      status = code;
      contentType = headers['content-type'];
    },
    data: (chunk) => {
      isTooLong ||= body.length() + chunk.length > MAX_COPIED_BYTES;
      if (isTooLong) body.take();
      else body.append(chunk);
    },
    outcome: () => ({
      status,
      ...(contentType !== undefined && { contentType }),
      ...(!isTooLong && { body: body.bytes().toString('base64') }),
    }),
  };
};
