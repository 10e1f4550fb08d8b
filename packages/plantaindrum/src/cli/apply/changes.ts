import { isDeepStrictEqual } from 'node:util';
import { PlantaindrumError } from '@plantaindrum/common';
import type { IntentChange, IntentDocument, IntentKey, IntentView } from '@plantaindrum/intent';

type Section = keyof IntentDocument;

const changesOfSection = (
  section: Section,
  wanted: Record<string, unknown>,
  view: IntentView,
): IntentChange[] => {
  const current: Record<string, unknown> = view.document[section];
  const names = new Set([...Object.keys(wanted), ...Object.keys(current)]);
  return [...names]
    .filter((name) => !isDeepStrictEqual(wanted[name], current[name]))
    .map((name) => {
      const key: IntentKey = `${section}/${name}`;
      return { key, base: view.versions[key] ?? -1, value: wanted[name] ?? null };
    });
};

/**
 * The changes that bring the intent in force to a file's. A section that the file leaves out stays
 * as it is, so that applying classes does not undo the stop of a data centre.
 */
export const changesFor = (
  sections: readonly string[],
  wanted: IntentDocument,
  view: IntentView,
): IntentChange[] =>
  (Object.keys(wanted) as Section[])
    .filter((section) => sections.includes(section))
    .flatMap((section) => changesOfSection(section, wanted[section], view));

/** Throws when a key has changed since the version that the file was made from. */
export const checkMadeFrom = (changes: IntentChange[], madeFrom: number): void => {
  const newer = changes.find(({ base }) => base > madeFrom);
  if (!newer) return;
  const detail = `made from version ${madeFrom}, now at version ${newer.base}`;
  throw new PlantaindrumError('intent-conflict', { key: newer.key, detail });
};
