/** Validates changes of the intent document. All readers apply the same rules. */

import { z } from 'zod';
import type {
  IntentChange,
  IntentDocument,
  IntentKey,
  IntentRecord,
  IntentSubmission,
} from '../../types.js';
import {
  balanceSchema,
  classSchema,
  dataCentreSchema,
  organisationSchema,
  routeSchema,
} from '../../types.js';

/** A section of the document. */
export type Section = keyof IntentDocument;

/** The values of all keys, by key. */
export type IntentValues = ReadonlyMap<IntentKey, unknown>;

const sectionSchemas: Record<Section, z.ZodType> = {
  classes: classSchema,
  organisations: organisationSchema,
  routes: routeSchema,
  balance: balanceSchema,
  dataCentres: dataCentreSchema,
};

/** The document's sections, in the order in which they are shown. */
export const sections = Object.keys(sectionSchemas) as Section[];

const MAX_CHANGES = 1_024;
const NAME = /^[\p{L}\p{N}][\p{L}\p{N} ._:-]{0,127}$/u;

const submissionShape = {
  id: z.string().min(1).max(128),
  author: z.string().max(256),
  changes: z
    .array(
      z.object({ key: z.string(), base: z.number().int().min(-1), value: z.unknown().nullable() }),
    )
    .min(1)
    .max(MAX_CHANGES),
};

/** Schema of a submission; whether its changes are valid depends on the document. */
export const submissionSchema = z.object(submissionShape) as unknown as z.ZodType<IntentSubmission>;

/** Schema of a change record. */
export const recordSchema = z.object({
  kind: z.literal('change'),
  at: z.number(),
  ...submissionShape,
}) as unknown as z.ZodType<IntentRecord>;

/** Splits a key into section and name; undefined if it isn't a key of the document. */
export const splitKey = (key: string): { section: Section; name: string } | undefined => {
  const slash = key.indexOf('/');
  const section = sections.find((known) => known === key.slice(0, slash));
  const name = key.slice(slash + 1);
  return section && NAME.test(name) ? { section, name } : undefined;
};

interface CheckedChange {
  value: unknown;
  faults: string[];
}

const checkChange = ({ key, value }: IntentChange): CheckedChange => {
  const parts = splitKey(key);
  if (!parts) return { value: null, faults: [`${key}: no such section, or not a usable name`] };
  if (value === null || value === undefined) return { value: null, faults: [] };
  const checked = sectionSchemas[parts.section].safeParse(value);
  if (checked.success) return { value: checked.data, faults: [] };
  const faults = checked.error.issues.map(
    (issue) => `${[key, ...issue.path].join('.')}: ${issue.message}`,
  );
  return { value: null, faults };
};

/** Name of the class that a route or an organisation refers to. */
const referencedClass = (key: IntentKey, value: unknown): string | undefined => {
  if (key.startsWith('routes/')) return (value as { class: string }).class;
  if (key.startsWith('organisations/')) return (value as { defaultClass?: string }).defaultClass;
  return undefined;
};

const findDanglingReference = (key: IntentKey, values: IntentValues): string[] => {
  const name = referencedClass(key, values.get(key));
  if (name === undefined || values.has(`classes/${name}`)) return [];
  return [`${key}: class ${name} does not exist`];
};

/**
 * Checks the references of the changed keys only, as the document was valid before. If a class is
 * removed, any key may refer to it, so all are checked.
 */
const checkReferences = (changed: Map<IntentKey, unknown>, after: IntentValues): string[] => {
  const removesClass = [...changed].some(
    ([key, value]) => value === null && key.startsWith('classes/'),
  );
  const keys = removesClass ? [...after.keys()] : [...changed.keys()];
  return keys.filter((key) => after.has(key)).flatMap((key) => findDanglingReference(key, after));
};

/** The changed values (null: removed), or the faults that make the change invalid. */
export type CheckedChanges =
  { valid: true; changed: Map<IntentKey, unknown> } | { valid: false; faults: string[] };

/** A view of `values` with `changed` applied, without copying. */
const overlay = (values: IntentValues, changed: Map<IntentKey, unknown>): IntentValues => {
  const has = (key: IntentKey): boolean =>
    changed.has(key) ? changed.get(key) !== null : values.has(key);
  const get = (key: IntentKey): unknown => (changed.has(key) ? changed.get(key) : values.get(key));
  const keys = () => new Set([...values.keys(), ...changed.keys()]).keys();
  return { has, get, keys } as unknown as IntentValues;
};

/** Validates changes against the current values. */
export const checkChanges = (changes: IntentChange[], values: IntentValues): CheckedChanges => {
  const checked = changes.map((change) => ({ key: change.key, ...checkChange(change) }));
  const faults = checked.flatMap((change) => change.faults);
  const changed = new Map(checked.map(({ key, value }) => [key, value]));
  if (changed.size < changes.length) faults.push('a key is changed twice');
  if (faults.length === 0) faults.push(...checkReferences(changed, overlay(values, changed)));
  return faults.length > 0 ? { valid: false, faults } : { valid: true, changed };
};
