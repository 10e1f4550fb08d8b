import { isDeepStrictEqual } from 'node:util';
import { PlantaindrumError } from '@plantaindrum/common';
import type { IntentChange, IntentDocument, IntentKey, IntentView } from '@plantaindrum/intent';

type Section = keyof IntentDocument;

const compareSection = (
  section: Section,
  desired: Record<string, unknown>,
  view: IntentView,
): IntentChange[] => {
  const current: Record<string, unknown> = view.document[section];
  const names = new Set([...Object.keys(desired), ...Object.keys(current)]);
  return [...names]
    .filter((name) => !isDeepStrictEqual(desired[name], current[name]))
    .map((name) => {
      const key: IntentKey = `${section}/${name}`;
      return { key, base: view.versions[key] ?? -1, value: desired[name] ?? null };
    });
};

/**
 * Computes the changes that turn the intent in force into the document of a file. Sections that the
 * file leaves out are not compared, so applying `classes` does not undo the stop of a data centre.
 */
export const computeChanges = (
  sections: readonly string[],
  desired: IntentDocument,
  view: IntentView,
): IntentChange[] =>
  (Object.keys(desired) as Section[])
    .filter((section) => sections.includes(section))
    .flatMap((section) => compareSection(section, desired[section], view));

/** Throws `intent-conflict` when one of the keys has changed since `baseVersion`. */
export const checkBaseVersion = (changes: IntentChange[], baseVersion: number): void => {
  const conflicting = changes.find(({ base }) => base > baseVersion);
  if (!conflicting) return;
  const detail = `made from version ${baseVersion}, now at version ${conflicting.base}`;
  throw new PlantaindrumError('intent-conflict', { key: conflicting.key, detail });
};
