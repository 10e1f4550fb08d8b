/**
 * The tables of docs/OPERATING.md, made from the catalogues of the code. `npm run docs` writes
 * them between the markers of the page; a test compares.
 */

import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { format } from 'prettier';
import {
  agentSettingsSchema,
  commandErrors,
  describeKeys,
  entrySettingsSchema,
  exitCodes,
  fileErrors,
  metricHelp,
  refusals,
} from '@plantaindrum/common';
import type { KeyDescription } from '@plantaindrum/common';
import { repositoryRoot } from '../harness/child.js';

/** Path of the page. */
export const OPERATING_PAGE = join(repositoryRoot, 'docs/OPERATING.md');

const cell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ');

const table = (head: string[], rows: string[][]): string =>
  [head, head.map(() => '---'), ...rows]
    .map((row) => `| ${row.map(cell).join(' | ')} |`)
    .join('\n');

const code = (text: string): string => `\`${text}\``;

const standardText = ({ standard, required }: KeyDescription): string => {
  if (standard !== undefined) return code(standard);
  return required ? 'required' : 'none';
};

const settingsTable = (keys: KeyDescription[]): string =>
  table(
    ['key', 'value', 'default', 'meaning'],
    keys.map((key) => [code(key.key), key.expected, standardText(key), key.description]),
  );

const agentOnly = (): KeyDescription[] =>
  describeKeys(agentSettingsSchema).filter(({ key }) => key.startsWith('upstream.'));

const tables: Record<string, () => string> = {
  refusals: () =>
    table(
      ['reason', 'status', 'outcome', 'what happened', 'what to do'],
      Object.entries(refusals).map(([reason, { status, outcome, title, hint }]) => [
        code(reason),
        String(status),
        outcome,
        title,
        hint,
      ]),
    ),
  'command-errors': () =>
    table(
      ['name', 'exit code', 'what happened', 'what to do'],
      Object.entries({ ...fileErrors, ...commandErrors }).map(
        ([name, { exitCode, title, hint }]) => [code(name), String(exitCode), title, hint],
      ),
    ),
  'exit-codes': () =>
    table(
      ['exit code', 'name'],
      Object.entries(exitCodes).map(([name, value]) => [String(value), name]),
    ),
  'entry-settings': () => settingsTable(describeKeys(entrySettingsSchema)),
  'agent-settings': () => settingsTable(agentOnly()),
  metrics: () =>
    table(
      ['metric', 'meaning'],
      Object.entries(metricHelp).map(([name, help]) => [code(`plantaindrum_${name}`), help]),
    ),
};

const fill = (page: string, name: string, text: string): string => {
  const begin = `<!-- table: ${name} -->`;
  const end = `<!-- end: ${name} -->`;
  const [from, to] = [page.indexOf(begin), page.indexOf(end)];
  if (from < 0 || to < from) throw new Error(`the page has no place for the table ${name}`);
  return `${page.slice(0, from)}${begin}\n\n${text}\n\n${page.slice(to)}`;
};

/** The page with all its tables as the code has them now. */
export const currentPage = (): Promise<string> => {
  const filled = Object.entries(tables).reduce(
    (page, [name, make]) => fill(page, name, make()),
    readFileSync(OPERATING_PAGE, 'utf8'),
  );
  return format(filled, { parser: 'markdown', printWidth: 100 });
};

/** The page as it stands. */
export const committedPage = (): string => readFileSync(OPERATING_PAGE, 'utf8');
