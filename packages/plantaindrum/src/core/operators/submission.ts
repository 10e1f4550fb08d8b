import { z } from 'zod';
import type { Result } from '@plantaindrum/common';
import { decodeJson, fail, ok } from '@plantaindrum/common';
import type { IntentKey, IntentSubmission } from '@plantaindrum/intent';

const SECTIONS = ['classes', 'organisations', 'routes', 'balance', 'dataCentres'];

const isIntentKey = (text: string): text is IntentKey => {
  const [section = '', ...name] = text.split('/');
  return SECTIONS.includes(section) && name.join('/') !== '';
};

const submissionSchema = z.strictObject({
  id: z.string().min(1).max(200),
  author: z.string().min(1).max(200),
  changes: z
    .array(
      z.strictObject({
        key: z.string().refine(isIntentKey, 'a section and a name, for example classes/live-sale'),
        base: z.number().int().min(-1),
        value: z.unknown(),
      }),
    )
    .min(1)
    .max(10_000),
});

/** Parses the body of `POST /intent`; faults are messages for the operator. */
export const parseSubmission = (body: Buffer): Result<IntentSubmission, string[]> => {
  const parsed = submissionSchema.safeParse(decodeJson(body));
  if (!parsed.success) {
    return fail(
      parsed.error.issues.map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`),
    );
  }
  const changes = parsed.data.changes.map(({ key, base, value }) => ({
    key,
    base,
    value: value ?? null,
  }));
  return ok({ ...parsed.data, changes });
};
