import { createHash } from 'node:crypto';
import type { ErrorData } from '@plantaindrum/common';
import type { DispatchPayload } from '../attempts/types.js';
import type { EntryRequest } from './types.js';

/** Data of a request that refusals include. */
export const refusalData = ({ class: { name }, target }: EntryRequest): ErrorData => ({
  class: name,
  upstream: target.kind === 'model' ? target.model : target.service,
});

const idempotencyFields = ({
  idempotencyKey,
  body,
}: EntryRequest): Pick<DispatchPayload, 'idempotency'> => {
  if (idempotencyKey === undefined) return {};
  const bodyHash = createHash('sha256').update(body).digest('hex');
  return { idempotency: { key: idempotencyKey, bodyHash } };
};

/** Creates the content of a dispatch; `budgetMs` is the time left until the class's target. */
export const createDispatchPayload = (
  request: EntryRequest,
  budgetMs: number,
  resumeAfter: string | undefined,
): DispatchPayload => ({
  organisation: request.organisation,
  class: request.class.name,
  priority: request.class.priority,
  mayNotRepeat: request.class.mayNotRepeat,
  budgetMs,
  method: request.method,
  path: request.path,
  headers: request.headers,
  body: request.body,
  ...idempotencyFields(request),
  ...(resumeAfter !== undefined && { resumeAfter }),
});
