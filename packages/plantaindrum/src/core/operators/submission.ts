import { z } from 'zod';
import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { IntentKey, IntentSubmission } from '@plantaindrum/intent';

const SECTIONS = ['classes', 'organisations', 'routes', 'balance', 'dataCentres'];

const isKey = (text: string): text is IntentKey => {
  const [section = '', ...name] = text.split('/');
  return SECTIONS.includes(section) && name.join('/') !== '';
};

const submissionSchema = z.strictObject({
  id: z.string().min(1).max(200),
  author: z.string().min(1).max(200),
  changes: z
    .array(
      z.strictObject({
        key: z.string().refine(isKey, 'a section and a name, for example classes/live-sale'),
        base: z.number().int().min(-1),
        value: z.unknown(),
      }),
    )
    .min(1)
    .max(10_000),
});

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
};

/** Parses the body of `POST /intent`; the faults are texts for the operator. */
export const parseSubmission = (body: Buffer): Result<IntentSubmission, string[]> => {
  const checked = submissionSchema.safeParse(parseJson(body));
  if (!checked.success) {
    return fail(
      checked.error.issues.map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`),
    );
  }
  const changes = checked.data.changes.map(({ key, base, value }) => ({
    key,
    base,
    value: value ?? null,
  }));
  return ok({ ...checked.data, changes });
};
